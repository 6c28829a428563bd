package datagram

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"cactustray/steering"
	"cactustray/steering/steeringpb"
	"cactustray/ticket"
)

// Routes are the balancers that replies are spread over. It is immutable.
type Routes struct{ Balancers []netip.AddrPort }

// Conn is the agent's packet connection: callers' datagrams arrive in
// envelopes from any balancer, and replies leave spread over the live
// balancers, so that none of them is a single point of failure. It holds its
// socket apart, so that QUIC does not go around it.
type Conn struct {
	socket   *net.UDPConn
	endpoint ticket.EndpointKey
	service  ticket.ServiceKey
	routes   *atomic.Pointer[Routes]
	counters *steering.Counters
}

// NewConn returns the packet connection of one endpoint on a bound socket.
func NewConn(socket *net.UDPConn, service ticket.ServiceKey, endpoint ticket.EndpointKey, routes *atomic.Pointer[Routes], counters *steering.Counters) *Conn {
	return &Conn{socket: socket, endpoint: endpoint, service: service, routes: routes, counters: counters}
}

// ReadFrom returns the next datagram of a caller. What is not for this service
// is dropped and counted.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	buffer := make([]byte, MaxDatagram)
	envelope := new(steeringpb.Envelope)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return 0, nil, err
		}
		caller, reason := c.accept(buffer[:n], envelope)
		c.counters.Count(reason)
		if reason == steering.Forwarded {
			return copy(p, envelope.Payload), net.UDPAddrFromAddrPort(caller), nil
		}
	}
}

func (c *Conn) accept(raw []byte, envelope *steeringpb.Envelope) (netip.AddrPort, steering.Reason) {
	if !Open(raw, envelope) {
		return netip.AddrPort{}, steering.Malformed
	}
	if ticket.ServiceKey(envelope.Service) != c.service {
		return netip.AddrPort{}, steering.UnknownService
	}
	if ticket.EndpointKey(envelope.Endpoint) != c.endpoint {
		return netip.AddrPort{}, steering.ForeignOwner
	}
	caller, ok := DecodeCaller(envelope.Caller)
	if !ok {
		return netip.AddrPort{}, steering.Malformed
	}
	return caller, steering.Forwarded
}

// WriteTo sends a datagram to a caller through one of the live balancers.
func (c *Conn) WriteTo(p []byte, to net.Addr) (int, error) {
	routes := c.routes.Load()
	if routes == nil || len(routes.Balancers) == 0 {
		return 0, &NoBalancerError{}
	}
	caller := to.(*net.UDPAddr).AddrPort()
	sealed, err := Seal(nil, &steeringpb.Envelope{
		Service:  uint64(c.service),
		Endpoint: uint64(c.endpoint),
		Caller:   EncodeCaller(caller),
		Payload:  p,
	})
	if err != nil {
		return 0, err
	}
	balancer := routes.Balancers[rand.IntN(len(routes.Balancers))]
	if _, err := c.socket.WriteToUDPAddrPort(sealed, balancer); err != nil {
		return 0, err
	}
	c.counters.CountReply()
	return len(p), nil
}

// Close closes the socket.
func (c *Conn) Close() error { return c.socket.Close() }

// LocalAddr returns the socket's address.
func (c *Conn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// SetDeadline sets both deadlines of the socket.
func (c *Conn) SetDeadline(t time.Time) error { return c.socket.SetDeadline(t) }

// SetReadDeadline sets the socket's read deadline.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetWriteDeadline sets the socket's write deadline.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.socket.SetWriteDeadline(t) }
