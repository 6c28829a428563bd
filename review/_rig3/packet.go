package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

const (
	flagAck     = 2
	flagSyn     = 4
	flagRst     = 8
	flagBounced = 16
	flagFin     = 64
	headSize    = 34
	maxDatagram = headSize + 1200
)

// packet is one packet of a flow, as PROTOCOL.md describes it.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// sum returns the keyed sum of an encoded packet: over all fields but echo, pad and BOUNCED.
func sum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("the ends' key"))
	_, _ = h.Write(b[4:12])
	_, _ = h.Write([]byte{b[16] &^ flagBounced})
	_, _ = h.Write(b[20:])
	return h.Sum32() | 1
}

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint32(b[4:], p.seq)
	binary.BigEndian.PutUint32(b[8:], p.ack)
	b[16] = p.flags
	binary.BigEndian.PutUint16(b[20:], uint16(len(p.data)))
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[22:], dst[:])
	copy(b[26:], src[:])
	binary.BigEndian.PutUint16(b[30:], p.dst.Port())
	binary.BigEndian.PutUint16(b[32:], p.src.Port())
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b, sum(b))
	return b
}

// decode returns the packet in a datagram. signed is false if it is not as one of the ends wrote
// it: a reset of the system's own, or a forged packet.
func decode(b []byte) (p packet, signed, ok bool) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[20:])) {
		return p, false, false
	}
	address := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p = packet{
		src: address(26, 32), dst: address(22, 30), flags: b[16],
		seq: binary.BigEndian.Uint32(b[4:]), ack: binary.BigEndian.Uint32(b[8:]),
		data: append([]byte(nil), b[headSize:]...),
	}
	return p, binary.BigEndian.Uint32(b) == sum(b), true
}
