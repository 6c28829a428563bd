package wire

import (
	"encoding/binary"

	"cactustray/flow"
)

const (
	keySize   = 2 * addressSize
	querySize = keySize + 4
	// MaxQueries bounds the queries of a datagram, so that it fits into one packet of
	// 1,500 bytes.
	MaxQueries = 80
)

func appendKey(b []byte, k flow.Key) []byte {
	return appendAddress(appendAddress(b, k.Caller), k.Service)
}

func decodeKey(b []byte) flow.Key {
	return flow.Key{Caller: decodeAddress(b), Service: decodeAddress(b[addressSize:])}
}

func appendKeys(b []byte, keys []flow.Key) []byte {
	for _, k := range keys {
		b = appendKey(b, k)
	}
	return b
}

func decodeKeys(b []byte) []flow.Key {
	var keys []flow.Key
	for ; len(b) >= keySize; b = b[keySize:] {
		keys = append(keys, decodeKey(b))
	}
	return keys
}

func appendQueries(b []byte, queries []flow.Query) []byte {
	for _, q := range queries {
		b = binary.BigEndian.AppendUint32(appendKey(b, q.Flow), q.Acknowledged)
	}
	return b
}

func decodeQueries(b []byte) []flow.Query {
	var queries []flow.Query
	for ; len(b) >= querySize; b = b[querySize:] {
		queries = append(queries, flow.Query{Flow: decodeKey(b), Acknowledged: binary.BigEndian.Uint32(b[keySize:])})
	}
	return queries
}

const fingerprintSize = 4

// BulkQuery queries an agent for which of many flows its endpoint may hold, at most flow.MaxBulk.
type BulkQuery flow.BulkQuery

// BulkAnswer is an agent's answer to BulkQuery.
type BulkAnswer flow.BulkAnswer

func appendFingerprints(b []byte, fingerprints []flow.Fingerprint) []byte {
	for _, f := range fingerprints {
		b = binary.BigEndian.AppendUint32(b, uint32(f))
	}
	return b
}

func decodeFingerprints(b []byte) []flow.Fingerprint {
	var fingerprints []flow.Fingerprint
	for ; len(b) >= fingerprintSize; b = b[fingerprintSize:] {
		fingerprints = append(fingerprints, flow.Fingerprint(binary.BigEndian.Uint32(b)))
	}
	return fingerprints
}
