package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags and sizes of the users' packet format (PROTOCOL.md, "Packets").
const (
	flagACK     = 2
	flagSYN     = 4
	flagRST     = 8
	flagBounced = 16
	flagFIN     = 64
	headerSize  = 34
	maxDatagram = 2048
)

// packet is one datagram of a flow.
type packet struct {
	seq, ack, echo uint32
	flags          byte
	dst, src       netip.AddrPort
	data           []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// sum stands for the users' keyed sum: it covers everything but echo, pad and BOUNCED.
func sum(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte("key of the rig"))
	h.Write(b[4:12])
	h.Write([]byte{b[16] &^ flagBounced})
	h.Write(b[20:])
	return h.Sum32()
}

func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[4:], p.seq)
	binary.BigEndian.PutUint32(b[8:], p.ack)
	binary.BigEndian.PutUint32(b[12:], p.echo)
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

// decode parses a packet. sound is false if its sum is wrong; ownReset is true for a reset of the
// system's own, which has no data and the sum 0.
func decode(b []byte) (p packet, sound, ownReset bool) {
	if len(b) < headerSize || headerSize+int(binary.BigEndian.Uint16(b[20:])) != len(b) {
		return packet{}, false, false
	}
	p.seq, p.ack, p.echo = binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint32(b[8:]), binary.BigEndian.Uint32(b[12:])
	p.flags = b[16]
	p.dst = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[30:]))
	p.src = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[26:30])), binary.BigEndian.Uint16(b[32:]))
	p.data = append([]byte(nil), b[headerSize:]...)
	stated := binary.BigEndian.Uint32(b)
	if stated == 0 && p.flags == flagRST && len(p.data) == 0 {
		return p, true, true
	}
	return p, stated == sum(b), false
}

// flowKey names a flow by the client's and the route's end.
type flowKey struct{ client, route netip.AddrPort }
