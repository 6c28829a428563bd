// Package flow holds the duty of knowing which endpoint holds a flow whose
// packets carry no token. Balancers remember where they placed flows (Picks),
// agents what their endpoint holds (Held). Both decide on abstract packets:
// they know no socket, clock or encoding.
package flow

import (
	"net/netip"
	"time"
)

// Address is an IPv4 address and port in a form that is small and comparable,
// since tables hold hundreds of thousands. The zero Address is none.
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

// AddrPort returns the address as the standard library has it.
func (a Address) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(a.IP), a.Port)
}

// IsZero tells whether the address is none.
func (a Address) IsZero() bool { return a == Address{} }

func (a Address) String() string { return a.AddrPort().String() }

// Key names a flow: the caller's end and the service's address that it uses.
type Key struct{ Caller, Service Address }

func (k Key) String() string { return k.Caller.String() + "->" + k.Service.String() }

// TagOf returns the tag of a service by a hash of its name; it is never 0.
func TagOf(hash uint64) uint16 { return uint16(hash) | 1 }

// Packet is what a front end learns of a datagram, seen from the flow: Flow is
// the same for both directions.
type Packet struct {
	Flow Key
	// Opening tells that the caller asks for a new flow.
	Opening bool
	// Copy counts the caller's repetitions of an opening packet, from 0.
	Copy uint32
	// Accepting tells that an endpoint takes the flow.
	Accepting bool
	Closing   bool
	Reset     bool
	// Bounced tells that an endpoint gave a caller's packet back.
	Bounced bool
	// Sequence and Acknowledged count bytes from a random start per end.
	Sequence     uint32
	Acknowledged uint32
	// Data is the number of bytes carried.
	Data int
}

// Stamp is a moment of the process's own steady clock, since any start.
type Stamp = time.Duration

// Reset is what ends a flow towards its caller.
type Reset struct {
	Flow Key
	// Acknowledged is the caller's last acknowledgement. A caller whose flow is
	// open heeds no reset with another; 0 ends a flow that is not open, and no
	// other.
	Acknowledged uint32
}
