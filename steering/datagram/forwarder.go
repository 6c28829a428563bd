package datagram

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"cactustray/control"
	"cactustray/steering"

	"golang.org/x/sync/errgroup"
)

// Forwarder forwards datagrams between the fabric and the agents. Each of its
// goroutines blocks on one socket and reads the published table.
type Forwarder struct {
	// Edge is the socket towards the fabric.
	Edge *net.UDPConn
	// Agents is the socket towards the agents.
	Agents *net.UDPConn
	// Fabric is the address of the fabric, which delivers datagrams to callers.
	Fabric netip.AddrPort
	// Table is the snapshot published by the control goroutine.
	Table *atomic.Pointer[steering.Table]
	// Sealer decrypts owner tokens.
	Sealer *steering.Sealer
	// Counters counts the datagrams by outcome.
	Counters *steering.Counters
	// Tracer records flows that open; nil disables tracing.
	Tracer Tracer
	// Offer sends a message to the control goroutine without blocking.
	Offer func(control.Message) bool
	// Failures handles what goes wrong with a socket or a datagram.
	Failures
}

// Failures handles what goes wrong while datagrams are received. None of it ends the process.
type Failures struct {
	// SocketFailed is called with a socket's address and the error when reading from it fails.
	SocketFailed func(socket string, err error)
	// Contain runs the handling of one datagram and reports whether it returned; a panic in it
	// gives up that datagram alone.
	Contain func(where string, f func()) bool
}

// Run forwards datagrams until the context is cancelled, with the given number
// of goroutines in each direction. It closes the sockets.
func (f *Forwarder) Run(ctx context.Context, workers int) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		_ = f.Edge.Close()
		_ = f.Agents.Close()
	})
	defer stop()
	for range workers {
		in, out := f.newInbound(), f.newOutbound()
		group.Go(func() error { return f.serve(ctx, f.Edge, "caller's datagram", in.handle) })
		group.Go(func() error { return f.serve(ctx, f.Agents, "agent's datagram", out.handle) })
	}
	return group.Wait()
}

// serve passes each datagram from the socket to handle until the context is cancelled.
func (f *Forwarder) serve(ctx context.Context, socket *net.UDPConn, where string, handle func(raw []byte, from netip.AddrPort)) error {
	var received []byte
	var sender netip.AddrPort
	step := func() { handle(received, sender) } // one closure, not one for each datagram
	return Receive(ctx, socket, 0, MaxDatagram, f.SocketFailed, func(raw []byte, from netip.AddrPort) {
		received, sender = raw, from
		f.Contain(where, step)
	})
}

// inbound handles datagrams from the fabric. One goroutine owns it.
type inbound struct {
	*Forwarder
	opener   *steering.Opener
	headers  headerCache
	envelope Envelope
	packet   steering.Packet
	buffer   []byte
}

func (f *Forwarder) newInbound() *inbound {
	return &inbound{Forwarder: f, opener: f.Sealer.NewOpener()}
}

func (i *inbound) handle(raw []byte, _ netip.AddrPort) {
	encoded, to, reason := i.forward(raw)
	i.Counters.Count(reason)
	if encoded != nil {
		_, _ = i.Agents.WriteToUDPAddrPort(encoded, to)
	}
}

// forward returns the datagram in its envelope and the address to send it to;
// encoded is nil if the datagram is dropped.
func (i *inbound) forward(raw []byte) (encoded []byte, to netip.AddrPort, reason steering.Reason) {
	verdict, proxyHeader, payload := i.route(raw)
	if verdict.Dropped() {
		return nil, netip.AddrPort{}, verdict.Reason
	}
	i.envelope = Envelope{
		Service:   verdict.Service.Key,
		Caller:    proxyHeader.Source,
		Ticket:    verdict.Service.Ticket,
		Endpoint:  verdict.Endpoint.Key,
		OwnerGone: verdict.Reason == steering.OwnerGone,
		Payload:   payload,
		Trace:     i.traceOpening(verdict.Endpoint.Key),
	}
	i.buffer = i.envelope.Append(i.buffer[:0])
	return i.buffer, verdict.Endpoint.Datagram, verdict.Reason
}

func (i *inbound) route(raw []byte) (steering.Verdict, ProxyHeader, []byte) {
	table := i.Table.Load()
	if table == nil {
		return steering.Verdict{Reason: steering.NoTable}, ProxyHeader{}, nil
	}
	proxyHeader, payload, ok := i.headers.parse(raw)
	if !ok {
		return steering.Verdict{Reason: steering.Malformed}, ProxyHeader{}, nil
	}
	packet, ok := Classify(payload, proxyHeader.Source, proxyHeader.Destination, i.opener)
	if !ok {
		return steering.Verdict{Reason: steering.Malformed}, proxyHeader, nil
	}
	i.packet = packet
	return table.Decide(packet), proxyHeader, payload
}

// outbound handles datagrams from agents. One goroutine owns it.
type outbound struct {
	*Forwarder
	headers  headerCache
	envelope Envelope
	buffer   []byte
}

func (f *Forwarder) newOutbound() *outbound { return &outbound{Forwarder: f} }

func (o *outbound) handle(raw []byte, from netip.AddrPort) {
	datagram, reason := o.forward(raw, from)
	if reason != steering.Forwarded {
		o.Counters.Count(reason)
		return
	}
	_, _ = o.Edge.WriteToUDPAddrPort(datagram, o.Fabric)
	o.Counters.CountReply()
}

// forward returns the datagram for the fabric, or nil and the reason.
func (o *outbound) forward(raw []byte, from netip.AddrPort) ([]byte, steering.Reason) {
	if !o.envelope.Parse(raw) {
		return nil, steering.Malformed
	}
	service, reason := o.verifySender(unmapped(from))
	if reason != steering.Forwarded {
		return nil, reason
	}
	if o.envelope.IsBehind {
		o.Offer(steering.NewerTicket{Service: service.Key, Ticket: o.envelope.Behind})
		return nil, steering.Reported
	}
	if !o.envelope.Caller.IsValid() || len(o.envelope.Payload) == 0 {
		return nil, steering.Malformed
	}
	header, err := o.headers.format(ProxyHeader{Source: service.Address, Destination: o.envelope.Caller})
	if err != nil {
		return nil, steering.Malformed
	}
	o.buffer = append(append(o.buffer[:0], header...), o.envelope.Payload...)
	return o.buffer, steering.Forwarded
}

// verifySender checks that the sender's address is that of the endpoint it
// claims to be, so that a balancer relays only for endpoints of its services.
func (o *outbound) verifySender(from netip.AddrPort) (*steering.Service, steering.Reason) {
	table := o.Table.Load()
	if table == nil {
		return nil, steering.NoTable
	}
	endpoint := table.Endpoint(o.envelope.Endpoint)
	if endpoint == nil || endpoint.Datagram != from {
		return nil, steering.Stranger
	}
	if endpoint.Service != o.envelope.Service {
		return nil, steering.ForeignOwner
	}
	service := table.Service(endpoint.Service)
	if service == nil {
		return nil, steering.UnknownService
	}
	return service, steering.Forwarded
}
