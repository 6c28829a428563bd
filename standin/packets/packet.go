// Package packets provides stand-ins for the platform around the packet roles: the store in
// which endpoints register, endpoints and callers that speak the packet protocol, and the
// routers between callers and balancers.
package packets

import (
	"encoding/binary"
	"net/netip"
)

// Flags of a packet.
const (
	flagAcknowledge = 2
	flagOpen        = 4
	flagReset       = 8
	flagReturned    = 16
	flagFinish      = 64

	headerSize  = 34
	maxDatagram = 2048
)

// packet is one datagram between a caller and an endpoint.
type packet struct {
	sequence, acknowledged, echo uint32
	flags                        byte
	to, from                     netip.AddrPort
	data                         []byte
}

func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.checksum())
	binary.BigEndian.PutUint32(b[4:], p.sequence)
	binary.BigEndian.PutUint32(b[8:], p.acknowledged)
	binary.BigEndian.PutUint32(b[12:], p.echo)
	b[16] = p.flags
	binary.BigEndian.PutUint16(b[20:], uint16(len(p.data)))
	to, from := p.to.Addr().As4(), p.from.Addr().As4()
	copy(b[22:], to[:])
	copy(b[26:], from[:])
	binary.BigEndian.PutUint16(b[30:], p.to.Port())
	binary.BigEndian.PutUint16(b[32:], p.from.Port())
	return append(b, p.data...)
}

// checksum returns an unkeyed FNV-1a hash in place of the platform's keyed sum. It covers the
// fields that must arrive unchanged, so neither echo nor flagReturned.
func (p packet) checksum() uint32 {
	checksum := uint32(2166136261)
	add := func(b byte) { checksum = (checksum ^ uint32(b)) * 16777619 }
	for _, word := range []uint32{p.sequence, p.acknowledged, uint32(p.flags &^ flagReturned)} {
		for shift := 0; shift < 32; shift += 8 {
			add(byte(word >> shift))
		}
	}
	for _, end := range []netip.AddrPort{p.to, p.from} {
		for _, b := range []byte(end.String()) {
			add(b)
		}
	}
	for _, b := range p.data {
		add(b)
	}
	return checksum
}

// decode parses a packet and reports whether its checksum is right; a reset by the load
// balancer has the checksum 0.
func decode(b []byte) (p packet, valid bool) {
	if len(b) < headerSize {
		return packet{}, false
	}
	p.sequence = binary.BigEndian.Uint32(b[4:])
	p.acknowledged = binary.BigEndian.Uint32(b[8:])
	p.echo = binary.BigEndian.Uint32(b[12:])
	p.flags = b[16]
	p.to = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[30:]))
	p.from = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[26:30])), binary.BigEndian.Uint16(b[32:]))
	p.data = append([]byte(nil), b[headerSize:]...)
	checksum := binary.BigEndian.Uint32(b)
	return p, checksum == p.checksum() || checksum == 0 && p.flags == flagReset && len(p.data) == 0
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }
