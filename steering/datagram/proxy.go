package datagram

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"net/netip"

	proxyproto "github.com/pires/go-proxyproto"
)

// Layout of a PROXY version 2 header, in bytes. The length of the addresses
// follows the signature, the command and the family.
const (
	proxyLengthAt  = 14
	proxyFixedSize = 16
)

// cacheGenerationSize bounds the number of headers in one generation of a
// header cache.
const cacheGenerationSize = 16384

// ProxyHeader is the content of a PROXY header: the sender of a datagram and
// the address it was sent to.
type ProxyHeader struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
}

// ParseProxyHeader splits a datagram from the fabric into its PROXY version 2
// header and the payload; ok is false if it has no valid header.
func ParseProxyHeader(raw []byte) (proxyHeader ProxyHeader, payload []byte, ok bool) {
	size, ok := proxyHeaderSize(raw)
	if !ok {
		return ProxyHeader{}, nil, false
	}
	proxyHeader, ok = parseHeader(raw[:size])
	return proxyHeader, raw[size:], ok
}

func parseHeader(raw []byte) (ProxyHeader, bool) {
	header, err := proxyproto.Read(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		return ProxyHeader{}, false
	}
	source, destination, ok := header.UDPAddrs()
	if !ok {
		return ProxyHeader{}, false
	}
	return ProxyHeader{Source: unmapped(source.AddrPort()), Destination: unmapped(destination.AddrPort())}, true
}

// FormatProxyHeader returns the PROXY version 2 header for a datagram to the
// fabric.
func FormatProxyHeader(proxyHeader ProxyHeader) ([]byte, error) {
	header := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(proxyHeader.Source), net.UDPAddrFromAddrPort(proxyHeader.Destination))
	return header.Format()
}

func proxyHeaderSize(raw []byte) (int, bool) {
	if len(raw) < proxyFixedSize {
		return 0, false
	}
	size := proxyFixedSize + int(binary.BigEndian.Uint16(raw[proxyLengthAt:]))
	return size, size <= len(raw)
}

// headerCache caches parsed and formatted headers, since all datagrams of a
// flow have the same one. It is bounded, and one goroutine owns it.
type headerCache struct {
	parsed    generationCache[string, ProxyHeader]
	formatted generationCache[ProxyHeader, []byte]
}

// parse does the same as ParseProxyHeader.
func (c *headerCache) parse(raw []byte) (proxyHeader ProxyHeader, payload []byte, ok bool) {
	size, ok := proxyHeaderSize(raw)
	if !ok {
		return ProxyHeader{}, nil, false
	}
	header, payload := raw[:size], raw[size:]
	if proxyHeader, ok = c.parsed.current[string(header)]; ok {
		return proxyHeader, payload, true
	}
	if proxyHeader, ok = c.parsed.previous[string(header)]; !ok {
		if proxyHeader, ok = parseHeader(header); !ok {
			return ProxyHeader{}, nil, false
		}
	}
	c.parsed.set(string(header), proxyHeader)
	return proxyHeader, payload, true
}

// format does the same as FormatProxyHeader. The caller must not change the
// returned header.
func (c *headerCache) format(proxyHeader ProxyHeader) ([]byte, error) {
	if header, ok := c.formatted.current[proxyHeader]; ok {
		return header, nil
	}
	header, ok := c.formatted.previous[proxyHeader]
	if !ok {
		var err error
		if header, err = FormatProxyHeader(proxyHeader); err != nil {
			return nil, err
		}
	}
	c.formatted.set(proxyHeader, header)
	return header, nil
}

// generationCache is a bounded map of two generations. When the current one is
// full, it becomes the previous one, and the former previous one is discarded.
// Callers copy an entry that they find in the previous generation to the
// current one, so that entries in use are retained.
type generationCache[K comparable, V any] struct {
	current, previous map[K]V
}

func (g *generationCache[K, V]) set(key K, value V) {
	if g.current == nil || len(g.current) >= cacheGenerationSize {
		g.previous = g.current
		g.current = make(map[K]V)
	}
	g.current[key] = value
}
