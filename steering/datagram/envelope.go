package datagram

import (
	"net/netip"

	"cactustray/steering/steeringpb"

	"google.golang.org/protobuf/proto"
)

const (
	// MaxDatagram is the largest datagram read from a socket, in bytes.
	MaxDatagram = 1 << 16
	portSize    = 2
)

// EncodeCaller writes an address as an envelope carries it.
func EncodeCaller(caller netip.AddrPort) []byte {
	raw := caller.Addr().Unmap().AsSlice()
	return append(raw, byte(caller.Port()>>8), byte(caller.Port()))
}

// DecodeCaller reads an address as an envelope carries it.
func DecodeCaller(raw []byte) (caller netip.AddrPort, ok bool) {
	if len(raw) < portSize {
		return netip.AddrPort{}, false
	}
	host, port := raw[:len(raw)-portSize], raw[len(raw)-portSize:]
	addr, ok := netip.AddrFromSlice(host)
	return netip.AddrPortFrom(addr, uint16(port[0])<<8|uint16(port[1])), ok
}

// Seal appends the encoded envelope to buffer.
func Seal(buffer []byte, envelope *steeringpb.Envelope) ([]byte, error) {
	return proto.MarshalOptions{}.MarshalAppend(buffer, envelope)
}

// Open decodes an envelope; ok is false when it is not one.
func Open(raw []byte, envelope *steeringpb.Envelope) (ok bool) {
	return proto.Unmarshal(raw, envelope) == nil
}
