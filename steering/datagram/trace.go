package datagram

import (
	"net/netip"

	"cactustray/steering"
	"cactustray/ticket"
)

// Tracer records the hops of datagrams that open sampled flows. Its methods
// never block.
type Tracer interface {
	// Forward records that a balancer forwards a flow to an endpoint. It
	// returns the trace context to send along, or nil if the flow is not
	// sampled.
	Forward(flow steering.FlowKey, endpoint ticket.EndpointKey) []byte
	// ForwardToAgent records that an agent forwards a flow to another endpoint. It
	// returns the trace context to send along instead of the received one.
	ForwardToAgent(received []byte, endpoint ticket.EndpointKey) []byte
	// RecordArrival records that a flow with the received trace context opens
	// here.
	RecordArrival(caller netip.AddrPort, received []byte)
}

// traceOpening returns the trace context to send with a datagram, or nil if it
// opens no sampled flow.
func (i *inbound) traceOpening(endpoint ticket.EndpointKey) []byte {
	if i.Tracer == nil || !i.packet.Opening || i.packet.HasOwner {
		return nil
	}
	return i.Tracer.Forward(i.packet.Flow, endpoint)
}

// traceForward returns the trace context to send with a datagram that is
// forwarded to another endpoint.
func (r *receiver) traceForward(endpoint ticket.EndpointKey) []byte {
	tracer := r.conn.shared.Tracer
	if tracer == nil || len(r.envelope.Trace) == 0 {
		return r.envelope.Trace
	}
	return tracer.ForwardToAgent(r.envelope.Trace, endpoint)
}

func (r *receiver) traceArrival() {
	tracer := r.conn.shared.Tracer
	if tracer != nil && len(r.envelope.Trace) > 0 {
		tracer.RecordArrival(r.envelope.Caller, r.envelope.Trace)
	}
}
