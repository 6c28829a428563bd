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

// edgeLimit bounds the headers that one generation of an edge cache holds.
const edgeLimit = 16384

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
	edge, ok = parseHeader(raw[:size])
	return edge, raw[size:], ok
}

func parseHeader(raw []byte) (Edge, bool) {
	header, err := proxyproto.Read(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		return Edge{}, false
	}
	source, destination, ok := header.UDPAddrs()
	if !ok {
		return Edge{}, false
	}
	return Edge{Source: unmapped(source.AddrPort()), Destination: unmapped(destination.AddrPort())}, true
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

// edgeCache remembers headers that were parsed or formatted: the datagrams of
// a flow repeat theirs. It is bounded, and one goroutine owns it.
type edgeCache struct {
	parsed    generations[string, Edge]
	formatted generations[Edge, []byte]
}

// parse is ParseEdge.
func (c *edgeCache) parse(raw []byte) (edge Edge, payload []byte, ok bool) {
	size, ok := proxyHeaderSize(raw)
	if !ok {
		return Edge{}, nil, false
	}
	header, payload := raw[:size], raw[size:]
	if edge, ok = c.parsed.current[string(header)]; ok {
		return edge, payload, true
	}
	if edge, ok = c.parsed.previous[string(header)]; !ok {
		if edge, ok = parseHeader(header); !ok {
			return Edge{}, nil, false
		}
	}
	c.parsed.set(string(header), edge)
	return edge, payload, true
}

// format is FormatEdge; the caller must not change the header.
func (c *edgeCache) format(edge Edge) ([]byte, error) {
	if header, ok := c.formatted.current[edge]; ok {
		return header, nil
	}
	header, ok := c.formatted.previous[edge]
	if !ok {
		var err error
		if header, err = FormatEdge(edge); err != nil {
			return nil, err
		}
	}
	c.formatted.set(edge, header)
	return header, nil
}

// generations is a bounded map: when the current generation is full, it becomes
// the previous one, and what the one before held and nobody used is forgotten.
type generations[K comparable, V any] struct {
	current, previous map[K]V
}

func (g *generations[K, V]) set(key K, value V) {
	if g.current == nil || len(g.current) >= edgeLimit {
		g.previous = g.current
		g.current = make(map[K]V)
	}
	g.current[key] = value
}
