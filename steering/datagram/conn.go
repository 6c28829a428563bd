package datagram

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/placement"
	"cactustray/steering"
)

// Routes are the balancers that replies are spread over. It is immutable.
type Routes struct{ Balancers []netip.AddrPort }

// Residence are the snapshots and counters by which an agent's datagrams are
// steered and placed.
type Residence struct {
	// Routes, Steering and View are published by the control goroutine; View
	// is nil until the first load is known.
	Routes   atomic.Pointer[Routes]
	Steering atomic.Pointer[steering.Residence]
	View     atomic.Pointer[placement.View]
	// Connections are counted by the transport.
	Connections placement.Connections
	Counters    steering.Counters
	// Tracer is set before the first datagram; nil means none.
	Tracer Tracer
}

// Conn is the agent's packet connection: callers' datagrams arrive in
// envelopes from any balancer, and replies leave spread over the live
// balancers, so that none of them is a single point of failure. It holds its
// socket apart, so that QUIC does not go around it. One goroutine reads.
type Conn struct {
	socket    *net.UDPConn
	residence *Residence
	offer     func(control.Message) bool
	receiver  *receiver
}

// NewConn returns the packet connection of one endpoint on a bound socket.
// offer takes messages to the control goroutine without waiting.
func NewConn(socket *net.UDPConn, sealer *steering.Sealer, residence *Residence, offer func(control.Message) bool) *Conn {
	c := &Conn{socket: socket, residence: residence, offer: offer}
	c.receiver = newReceiver(c, sealer)
	return c
}

// ReadFrom returns the next datagram for the flows of this endpoint. All else
// is answered, passed on or dropped, and counted.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(c.receiver.buffer)
		if err != nil {
			return 0, nil, err
		}
		if c.receiver.receive(time.Now(), c.receiver.buffer[:n], from) {
			envelope := &c.receiver.envelope
			n := copy(p, envelope.Payload)
			if c.receiver.reset {
				n = padForReset(p, n)
			}
			return n, net.UDPAddrFromAddrPort(envelope.Caller), nil
		}
	}
}

// WriteTo sends a datagram to a caller through one of the live balancers. A
// datagram that can't be sent is lost, as on any network: an error would end
// the flow.
func (c *Conn) WriteTo(p []byte, to net.Addr) (int, error) {
	routes := c.residence.Routes.Load()
	caller, ok := to.(*net.UDPAddr)
	if !ok || routes == nil || len(routes.Balancers) == 0 {
		c.residence.Counters.Count(steering.NoBalancer)
		return len(p), nil
	}
	steer := c.residence.Steering.Load()
	envelope := Envelope{
		Service:  steer.Service,
		Endpoint: steer.Owner.Endpoint,
		Caller:   caller.AddrPort(),
		Payload:  p,
	}
	balancer := routes.Balancers[rand.IntN(len(routes.Balancers))]
	if err := c.send(&envelope, balancer); err != nil {
		c.residence.Counters.Count(steering.NoBalancer)
		return len(p), nil
	}
	c.residence.Counters.CountReply()
	return len(p), nil
}

// Report sends a load to peers of the service.
func (c *Conn) Report(peers []placement.Peer, load placement.Load) {
	steer := c.residence.Steering.Load()
	envelope := Envelope{Service: steer.Service, Endpoint: steer.Owner.Endpoint, Load: load, IsLoad: true}
	for _, peer := range peers {
		_ = c.send(&envelope, peer.Datagram) // a lost report is followed by the next
	}
}

// tellBehind tells a balancer that it routes by an older ticket.
func (c *Conn) tellBehind(steer *steering.Residence, balancer netip.AddrPort) {
	envelope := Envelope{
		Service:  steer.Service,
		Endpoint: steer.Owner.Endpoint,
		Behind:   steer.Ticket(),
		IsBehind: true,
	}
	_ = c.send(&envelope, balancer) // a lost notice is followed by the next
}

func (c *Conn) send(envelope *Envelope, to netip.AddrPort) error {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	*buffer = envelope.Append((*buffer)[:0])
	_, err := c.socket.WriteToUDPAddrPort(*buffer, to)
	return err
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
