// Package flow tracks which endpoint holds a flow whose packets carry no token. A
// balancer records the agent to which it assigned each flow, an agent the flows of its
// endpoint. Both decide on decoded packets and use no socket, clock or encoding.
package flow

import (
	"bytes"
	"cmp"
	"net/netip"
	"time"
)

// Address is an IPv4 address and port in a small, comparable form, since tables hold
// hundreds of thousands of them. The zero Address means none.
type Address struct {
	IP   [4]byte
	Port uint16
}

// AddressOf returns the compact form of an IPv4 address; any other address
// gives the zero Address.
func AddressOf(a netip.AddrPort) Address {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return Address{}
	}
	return Address{IP: ip.As4(), Port: a.Port()}
}

// AddrPort returns the address as a netip.AddrPort.
func (a Address) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(a.IP), a.Port)
}

// IsZero reports whether the address is the zero Address.
func (a Address) IsZero() bool { return a == Address{} }

func (a Address) compare(b Address) int {
	return cmp.Or(bytes.Compare(a.IP[:], b.IP[:]), cmp.Compare(a.Port, b.Port))
}

func (a Address) String() string { return a.AddrPort().String() }

// Key identifies a flow by the caller's address and the service's address that the
// caller uses.
type Key struct{ Caller, Service Address }

func (k Key) String() string { return k.Caller.String() + "->" + k.Service.String() }

// TagOf returns the tag of a service, given the hash of its name. It is never 0.
func TagOf(hash uint64) uint16 { return uint16(hash) | 1 }

// Packet is what a front end decodes from a datagram. The tables expect the same Flow for
// both directions; Codec.Decode returns it with the packet's sender as the caller.
type Packet struct {
	Flow Key
	// Opening is true if the caller requests a new flow.
	Opening bool
	// Copy numbers the caller's transmissions of an opening packet, from 0.
	Copy uint32
	// Accepting is true if the endpoint accepts the flow.
	Accepting bool
	Closing   bool
	Reset     bool
	// ReturnedByEndpoint is true if the endpoint gave the caller's packet back.
	ReturnedByEndpoint bool
	// Sequence and Acknowledged count bytes from a random initial number for each end.
	Sequence     uint32
	Acknowledged uint32
	// Data is the payload length in bytes.
	Data int
}

// Timestamp is a time on the process's monotonic clock, counted from an arbitrary start.
type Timestamp = time.Duration

// Reset ends a flow towards its caller.
type Reset struct {
	Flow Key
	// Acknowledged is the caller's last acknowledgment. A caller whose flow is open
	// ignores a reset with any other value; 0 ends only a flow that is not open.
	Acknowledged uint32
}
