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

// Forwarder moves datagrams between the fabric and the agents. Each of its
// goroutines blocks on one socket and reads the published table.
type Forwarder struct {
	// Edge is the socket towards the fabric.
	Edge *net.UDPConn
	// Agents is the socket towards the agents.
	Agents *net.UDPConn
	// Fabric is where datagrams for callers are handed to the fabric.
	Fabric netip.AddrPort
	// Table is the snapshot the control goroutine publishes.
	Table *atomic.Pointer[steering.Table]
	// Sealer opens owner tokens.
	Sealer *steering.Sealer
	// Counters count what becomes of the datagrams.
	Counters *steering.Counters
	// Tracer is told of flows that open; nil means none.
	Tracer Tracer
	// Offer takes messages to the control goroutine without waiting.
	Offer func(control.Message) bool
}

// Run forwards until the context ends, with the given number of goroutines in
// each direction.
func (f *Forwarder) Run(ctx context.Context, workers int) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		_ = f.Edge.Close()
		_ = f.Agents.Close()
	})
	defer stop()
	for range workers {
		in, out := f.newInbound(), f.newOutbound()
		group.Go(func() error { return untilClosed(ctx, f.Edge, in.handle) })
		group.Go(func() error { return untilClosed(ctx, f.Agents, out.handle) })
	}
	return group.Wait()
}

// untilClosed reads datagrams one by one until the context ends.
func untilClosed(ctx context.Context, socket *net.UDPConn, handle func(raw []byte, from netip.AddrPort)) error {
	buffer := make([]byte, MaxDatagram)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &SocketError{Address: socket.LocalAddr().String(), Cause: err}
		}
		handle(buffer[:n], from)
	}
}

// inbound handles datagrams from the fabric. One goroutine owns it.
type inbound struct {
	*Forwarder
	opener   *steering.Opener
	edges    edgeCache
	envelope Envelope
	packet   steering.Packet
	buffer   []byte
}

func (f *Forwarder) newInbound() *inbound {
	return &inbound{Forwarder: f, opener: f.Sealer.NewOpener()}
}

func (i *inbound) handle(raw []byte, _ netip.AddrPort) {
	sealed, to, reason := i.forward(raw)
	i.Counters.Count(reason)
	if sealed != nil {
		_, _ = i.Agents.WriteToUDPAddrPort(sealed, to)
	}
}

// forward returns the datagram in its envelope and where it goes, or nil.
func (i *inbound) forward(raw []byte) (sealed []byte, to netip.AddrPort, reason steering.Reason) {
	verdict, edge, payload := i.steer(raw)
	if verdict.Dropped() {
		return nil, netip.AddrPort{}, verdict.Reason
	}
	i.envelope = Envelope{
		Service:   verdict.Service.Key,
		Caller:    edge.Source,
		Ticket:    verdict.Service.Ticket,
		Endpoint:  verdict.Endpoint.Key,
		OwnerGone: verdict.Reason == steering.OwnerGone,
		Payload:   payload,
		Trace:     i.trace(verdict.Endpoint.Key),
	}
	i.buffer = i.envelope.Append(i.buffer[:0])
	return i.buffer, verdict.Endpoint.Datagram, verdict.Reason
}

func (i *inbound) steer(raw []byte) (steering.Verdict, Edge, []byte) {
	table := i.Table.Load()
	if table == nil {
		return steering.Verdict{Reason: steering.NoTable}, Edge{}, nil
	}
	edge, payload, ok := i.edges.parse(raw)
	if !ok {
		return steering.Verdict{Reason: steering.Malformed}, Edge{}, nil
	}
	packet, ok := Classify(payload, edge.Source, edge.Destination, i.opener)
	if !ok {
		return steering.Verdict{Reason: steering.Malformed}, edge, nil
	}
	i.packet = packet
	return table.Decide(packet), edge, payload
}

// outbound handles datagrams from agents. One goroutine owns it.
type outbound struct {
	*Forwarder
	edges    edgeCache
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

// forward returns the datagram for the fabric, or why there is none.
func (o *outbound) forward(raw []byte, from netip.AddrPort) ([]byte, steering.Reason) {
	if !o.envelope.Parse(raw) {
		return nil, steering.Malformed
	}
	service, reason := o.sender(unmapped(from))
	if reason != steering.Forwarded {
		return nil, reason
	}
	if o.envelope.IsBehind {
		o.Offer(steering.Behind{Service: service.Key, Ticket: o.envelope.Behind})
		return nil, steering.Reported
	}
	if !o.envelope.Caller.IsValid() || len(o.envelope.Payload) == 0 {
		return nil, steering.Malformed
	}
	header, err := o.edges.format(Edge{Source: service.Address, Destination: o.envelope.Caller})
	if err != nil {
		return nil, steering.Malformed
	}
	o.buffer = append(append(o.buffer[:0], header...), o.envelope.Payload...)
	return o.buffer, steering.Forwarded
}

// sender checks that the sender is the endpoint it says it is, so that a
// balancer never relays for strangers.
func (o *outbound) sender(from netip.AddrPort) (*steering.Service, steering.Reason) {
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
