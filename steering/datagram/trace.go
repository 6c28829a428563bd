package datagram

import (
	"net/netip"

	"cactustray/steering"
	"cactustray/ticket"
)

// Tracer is told the hops of datagrams that open sampled flows. Its methods
// never wait.
type Tracer interface {
	// Forward returns the context to send along, or nil when the flow is not
	// sampled.
	Forward(flow steering.FlowKey, endpoint ticket.EndpointKey) []byte
	// HandOn returns the context to send along in place of the one received.
	HandOn(received []byte, endpoint ticket.EndpointKey) []byte
	// Deliver takes the context of a flow that opens here.
	Deliver(caller netip.AddrPort, received []byte)
}

// trace returns the context to send with a datagram that opens a flow.
func (i *inbound) trace(endpoint ticket.EndpointKey) []byte {
	if i.Tracer == nil || !i.packet.Opening || i.packet.HasOwner {
		return nil
	}
	return i.Tracer.Forward(i.packet.Flow, endpoint)
}

// traceHandOn returns the context to pass on.
func (r *receiver) traceHandOn(endpoint ticket.EndpointKey) []byte {
	tracer := r.conn.residence.Tracer
	if tracer == nil || len(r.envelope.Trace) == 0 {
		return r.envelope.Trace
	}
	return tracer.HandOn(r.envelope.Trace, endpoint)
}

func (r *receiver) traceDelivery() {
	tracer := r.conn.residence.Tracer
	if tracer != nil && len(r.envelope.Trace) > 0 {
		tracer.Deliver(r.envelope.Caller, r.envelope.Trace)
	}
}
