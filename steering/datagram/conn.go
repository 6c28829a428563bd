package datagram

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/placement"
	"cactustray/steering"
)

// Routes lists the balancers that replies are distributed over. It is
// immutable.
type Routes struct{ Balancers []netip.AddrPort }

// SharedState is the state that the control goroutine and the traffic
// goroutines of an agent share: published snapshots and counters for steering
// and placing datagrams.
type SharedState struct {
	// Routes, Steering and View are published by the control goroutine; View
	// is nil until the first load is known.
	Routes   atomic.Pointer[Routes]
	Steering atomic.Pointer[steering.AgentSnapshot]
	View     atomic.Pointer[placement.View]
	// Connections is updated by the transport; see LimitConnections.
	Connections placement.Connections
	Counters    steering.Counters
	// Tracer is set before the first datagram; nil disables tracing.
	Tracer Tracer
	// Failures is set before the first datagram.
	Failures
}

// Conn is the agent's packet connection. Callers' datagrams arrive in envelopes
// from any balancer. Replies are distributed over the live balancers, so that
// none of them is a single point of failure. The socket is not embedded, since
// the QUIC library would use its methods and bypass ReadFrom and WriteTo. Only
// one goroutine may read.
type Conn struct {
	socket   *net.UDPConn
	shared   *SharedState
	offer    func(control.Message) bool
	receiver *receiver
}

// NewConn returns the packet connection of one endpoint on a bound socket.
// offer sends a message to the control goroutine without blocking.
func NewConn(socket *net.UDPConn, sealer *steering.Sealer, shared *SharedState, offer func(control.Message) bool) *Conn {
	c := &Conn{socket: socket, shared: shared, offer: offer}
	c.receiver = newReceiver(c, sealer)
	return c
}

// ReadFrom returns the next datagram for the flows of this endpoint. All other
// datagrams are handled here: processed, forwarded or dropped, and counted. It fails
// only once the socket is closed or its read deadline has passed.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(c.receiver.buffer)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, nil, err
		}
		if err != nil {
			c.shared.SocketFailed(c.socket.LocalAddr().String(), err)
			time.Sleep(errorPause)
			continue
		}
		if c.receiver.contained(n, from) {
			envelope := &c.receiver.envelope
			n := copy(p, envelope.Payload)
			if c.receiver.reset {
				n = padForReset(p, n)
			}
			return n, net.UDPAddrFromAddrPort(envelope.Caller), nil
		}
	}
}

// WriteTo sends a datagram to a caller through one of the live balancers. It
// returns no error if the datagram cannot be sent: an error would end the flow,
// while a lost datagram is sent again.
func (c *Conn) WriteTo(p []byte, to net.Addr) (int, error) {
	routes := c.shared.Routes.Load()
	caller, ok := to.(*net.UDPAddr)
	if !ok || routes == nil || len(routes.Balancers) == 0 {
		c.shared.Counters.Count(steering.NoBalancer)
		return len(p), nil
	}
	snapshot := c.shared.Steering.Load()
	envelope := Envelope{
		Service:  snapshot.Service,
		Endpoint: snapshot.Owner.Endpoint,
		Caller:   caller.AddrPort(),
		Payload:  p,
	}
	balancer := routes.Balancers[rand.IntN(len(routes.Balancers))]
	if err := c.send(&envelope, balancer); err != nil {
		c.shared.Counters.Count(steering.NoBalancer)
		return len(p), nil
	}
	c.shared.Counters.CountReply()
	return len(p), nil
}

// SendLoad sends the load of this endpoint to peers of the service.
func (c *Conn) SendLoad(peers []placement.Peer, load placement.Load) {
	snapshot := c.shared.Steering.Load()
	envelope := Envelope{Service: snapshot.Service, Endpoint: snapshot.Owner.Endpoint, Load: load, IsLoad: true}
	for _, peer := range peers {
		_ = c.send(&envelope, peer.Datagram) // a lost report is replaced by the next
	}
}

// notifyNewerTicket notifies a balancer that it routes by an older ticket.
func (c *Conn) notifyNewerTicket(snapshot *steering.AgentSnapshot, balancer netip.AddrPort) {
	envelope := Envelope{
		Service:  snapshot.Service,
		Endpoint: snapshot.Owner.Endpoint,
		Behind:   snapshot.Ticket(),
		IsBehind: true,
	}
	_ = c.send(&envelope, balancer) // a lost notice is replaced by the next
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
