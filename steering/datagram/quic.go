// Package datagram does steering for UDP traffic. It reads the header fields
// that all versions of QUIC share (RFC 8999), and the envelope in which
// processes forward datagrams to each other.
package datagram

import (
	"net/netip"

	"cactustray/steering"

	"github.com/cespare/xxhash/v2"
)

// Header layout that all versions of QUIC share (RFC 8999): bit masks, offsets
// and sizes in bytes.
const (
	longHeaderBit       = 0x80
	longHeaderIDLength  = 5
	longHeaderID        = 6
	shortHeaderID       = 1
	maxConnectionIDSize = 20
)

// Classify reads a caller's datagram as an abstract packet; ok is false if it
// is not a QUIC datagram.
func Classify(payload []byte, caller, address netip.AddrPort, opener *steering.Opener) (p steering.Packet, ok bool) {
	id, opening := connectionID(payload)
	if id == nil {
		return steering.Packet{}, false
	}
	p.Address = address
	p.Opening = opening
	p.Owner, p.HasOwner = opener.Open(id)
	if opening {
		p.Flow = FlowKeyOf(id, caller)
	}
	return p, true
}

// FlowKeyOf returns the hash of a caller's address and the connection id with
// which it opens a flow.
func FlowKeyOf(id []byte, caller netip.AddrPort) steering.FlowKey {
	var key [maxConnectionIDSize + 18]byte
	n := copy(key[:], id)
	ip := caller.Addr().As16()
	n += copy(key[n:], ip[:])
	key[n] = byte(caller.Port() >> 8)
	key[n+1] = byte(caller.Port())
	return steering.FlowKey(xxhash.Sum64(key[:n+2]))
}

// connectionID returns the destination connection id, or nil if there is no
// valid one. long reports whether the datagram has a long header, as every
// datagram that opens a flow has.
func connectionID(payload []byte) (id []byte, long bool) {
	if len(payload) == 0 {
		return nil, false
	}
	if payload[0]&longHeaderBit == 0 {
		return byteRange(payload, shortHeaderID, steering.TokenSize), false
	}
	if len(payload) < longHeaderID {
		return nil, false
	}
	size := int(payload[longHeaderIDLength])
	if size > maxConnectionIDSize {
		return nil, false
	}
	return byteRange(payload, longHeaderID, size), true
}

func byteRange(payload []byte, start, size int) []byte {
	if len(payload) < start+size {
		return nil
	}
	return payload[start : start+size]
}
