// The stand-ins of the review's cases: the platform's store, endpoints, routers and callers
// around the project's daemons, which run as separate processes.
package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagAck     = 2
	flagSyn     = 4
	flagReset   = 8
	flagBounced = 16
	flagFin     = 64

	headerSize  = 34
	maxDatagram = 2048
)

// packet is one datagram between a caller and an endpoint.
type packet struct {
	seq, ack uint32
	flags    byte
	to, from netip.AddrPort
	data     []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the datagram. Callers and endpoints write 0 into echo and pad.
func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[4:], p.seq)
	binary.BigEndian.PutUint32(b[8:], p.ack)
	b[16] = p.flags
	binary.BigEndian.PutUint16(b[20:], uint16(len(p.data)))
	to, from := p.to.Addr().As4(), p.from.Addr().As4()
	copy(b[22:], to[:])
	copy(b[26:], from[:])
	binary.BigEndian.PutUint16(b[30:], p.to.Port())
	binary.BigEndian.PutUint16(b[32:], p.from.Port())
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b, checksum(b))
	return b
}

// checksum is an unkeyed hash in place of the platform's keyed sum. It covers all but sum,
// echo, pad and the flag BOUNCED.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write(b[4:12])
	_, _ = h.Write([]byte{b[16] &^ flagBounced})
	_, _ = h.Write(b[20:])
	return h.Sum32() | 1
}

// decode parses a datagram. valid reports whether its sum is right; own whether it is a reset
// of the load balancer's own, whose sum is 0.
func decode(b []byte) (p packet, valid, own bool) {
	if len(b) < headerSize || headerSize+int(binary.BigEndian.Uint16(b[20:])) != len(b) {
		return packet{}, false, false
	}
	p.seq, p.ack, p.flags = binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint32(b[8:]), b[16]
	p.to = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[30:]))
	p.from = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[26:30])), binary.BigEndian.Uint16(b[32:]))
	p.data = append([]byte(nil), b[headerSize:]...)
	sum := binary.BigEndian.Uint32(b)
	own = sum == 0 && p.flags == flagReset && len(p.data) == 0
	return p, sum == checksum(b), own
}
