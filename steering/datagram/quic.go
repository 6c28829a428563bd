// Package datagram is the traffic side of steering: it reads what RFC 8999
// lets anyone read of a QUIC datagram, and the envelope between processes.
package datagram

import (
	"net/netip"

	"cactustray/steering"

	"github.com/cespare/xxhash/v2"
)

// Invariants of QUIC headers in every version (RFC 8999).
const (
	longHeaderBit       = 0x80
	longHeaderIDLength  = 5
	longHeaderID        = 6
	shortHeaderID       = 1
	maxConnectionIDSize = 20
)

// Classify reads a caller's datagram as an abstract packet; ok is false when
// it is no QUIC datagram.
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

// FlowKeyOf hashes the connection id that opens a flow with the caller's
// address.
func FlowKeyOf(id []byte, caller netip.AddrPort) steering.FlowKey {
	var key [maxConnectionIDSize + 18]byte
	n := copy(key[:], id)
	ip := caller.Addr().As16()
	n += copy(key[n:], ip[:])
	key[n] = byte(caller.Port() >> 8)
	key[n+1] = byte(caller.Port())
	return steering.FlowKey(xxhash.Sum64(key[:n+2]))
}

// connectionID returns the destination connection id, or nil, and whether the
// datagram has a long header, as every datagram that opens a flow has.
func connectionID(payload []byte) (id []byte, long bool) {
	if len(payload) == 0 {
		return nil, false
	}
	if payload[0]&longHeaderBit == 0 {
		return slice(payload, shortHeaderID, steering.TokenSize), false
	}
	if len(payload) < longHeaderID {
		return nil, false
	}
	size := int(payload[longHeaderIDLength])
	if size > maxConnectionIDSize {
		return nil, false
	}
	return slice(payload, longHeaderID, size), true
}

func slice(payload []byte, start, size int) []byte {
	if len(payload) < start+size {
		return nil
	}
	return payload[start : start+size]
}
