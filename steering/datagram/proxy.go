package datagram

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"net/netip"

	proxyproto "github.com/pires/go-proxyproto"
)

// Layout of a PROXY version 2 header: the length of the addresses follows the
// signature, the command and the family.
const (
	proxyLengthAt  = 14
	proxyFixedSize = 16
)

// Edge is what the fabric says of a datagram: who sent it to which address.
type Edge struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
}

// ParseEdge splits a datagram of the fabric into its PROXY version 2 header
// and the payload; ok is false when it has no valid header.
func ParseEdge(raw []byte) (edge Edge, payload []byte, ok bool) {
	size, ok := proxyHeaderSize(raw)
	if !ok {
		return Edge{}, nil, false
	}
	header, err := proxyproto.Read(bufio.NewReader(bytes.NewReader(raw[:size])))
	if err != nil {
		return Edge{}, nil, false
	}
	source, destination, ok := header.UDPAddrs()
	if !ok {
		return Edge{}, nil, false
	}
	edge = Edge{Source: unmap(source), Destination: unmap(destination)}
	return edge, raw[size:], true
}

// FormatEdge returns the PROXY version 2 header for a datagram to the fabric.
func FormatEdge(edge Edge) ([]byte, error) {
	header := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(edge.Source), net.UDPAddrFromAddrPort(edge.Destination))
	return header.Format()
}

func proxyHeaderSize(raw []byte) (int, bool) {
	if len(raw) < proxyFixedSize {
		return 0, false
	}
	size := proxyFixedSize + int(binary.BigEndian.Uint16(raw[proxyLengthAt:]))
	return size, size <= len(raw)
}

func unmap(address *net.UDPAddr) netip.AddrPort {
	ap := address.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
