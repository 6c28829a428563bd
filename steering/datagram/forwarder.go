package datagram

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"cactustray/steering"
	"cactustray/steering/steeringpb"

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
		group.Go(func() error { return untilClosed(ctx, f.Edge, f.inbound()) })
		group.Go(func() error { return untilClosed(ctx, f.Agents, f.outbound()) })
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

// inbound returns the handler of datagrams from the fabric, with buffers of
// its own.
func (f *Forwarder) inbound() func([]byte, netip.AddrPort) {
	var buffer []byte
	envelope := new(steeringpb.Envelope)
	return func(raw []byte, _ netip.AddrPort) {
		verdict, edge, payload := f.steer(raw)
		f.Counters.Count(verdict.Reason)
		if verdict.Reason != steering.Forwarded {
			return
		}
		envelope.Service = uint64(verdict.Service.Key)
		envelope.Caller = EncodeCaller(edge.Source)
		envelope.Ticket = uint64(verdict.Service.Ticket)
		envelope.Endpoint = uint64(verdict.Endpoint.Key)
		envelope.Payload = payload
		sealed, err := Seal(buffer[:0], envelope)
		if err != nil {
			return
		}
		buffer = sealed
		_, _ = f.Agents.WriteToUDPAddrPort(sealed, verdict.Endpoint.Datagram)
	}
}

func (f *Forwarder) steer(raw []byte) (steering.Verdict, Edge, []byte) {
	table := f.Table.Load()
	if table == nil {
		return steering.Verdict{Reason: steering.NoTable}, Edge{}, nil
	}
	edge, payload, ok := ParseEdge(raw)
	if !ok {
		return steering.Verdict{Reason: steering.Malformed}, Edge{}, nil
	}
	packet, ok := Classify(payload, edge.Source, edge.Destination, f.Sealer)
	if !ok {
		return steering.Verdict{Reason: steering.Malformed}, edge, nil
	}
	return table.Decide(packet), edge, payload
}

// outbound returns the handler of datagrams from agents, with buffers of its
// own.
func (f *Forwarder) outbound() func([]byte, netip.AddrPort) {
	var buffer []byte
	envelope := new(steeringpb.Envelope)
	return func(raw []byte, from netip.AddrPort) {
		if !Open(raw, envelope) {
			f.Counters.Count(steering.Malformed)
			return
		}
		edge, reason := f.reply(envelope, from)
		if reason != steering.Forwarded {
			f.Counters.Count(reason)
			return
		}
		header, err := FormatEdge(edge)
		if err != nil {
			f.Counters.Count(steering.Malformed)
			return
		}
		buffer = append(append(buffer[:0], header...), envelope.Payload...)
		_, _ = f.Edge.WriteToUDPAddrPort(buffer, f.Fabric)
		f.Counters.CountReply()
	}
}

// reply checks that the sender is the endpoint it says it is, so that a
// balancer never relays for strangers.
func (f *Forwarder) reply(envelope *steeringpb.Envelope, from netip.AddrPort) (Edge, steering.Reason) {
	table := f.Table.Load()
	if table == nil {
		return Edge{}, steering.NoTable
	}
	endpoint := table.EndpointOf(envelope.Endpoint)
	if endpoint == nil || endpoint.Datagram != from {
		return Edge{}, steering.UnknownOwner
	}
	if uint64(endpoint.Service) != envelope.Service {
		return Edge{}, steering.ForeignOwner
	}
	service := table.Service(endpoint.Service)
	if service == nil {
		return Edge{}, steering.UnknownService
	}
	caller, ok := DecodeCaller(envelope.Caller)
	if !ok {
		return Edge{}, steering.Malformed
	}
	return Edge{Source: service.Address, Destination: caller}, steering.Forwarded
}
