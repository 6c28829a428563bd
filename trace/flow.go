package trace

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"cactustray/steering"
	"cactustray/ticket"

	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// contextSize is the length of a trace context in an envelope, in bytes: trace id and
// span id.
const contextSize = 16 + 8

// maxArrivals bounds the flows whose trace context is stored between their first
// datagram and the start of their connection.
const maxArrivals = 1024

// Forward records that a balancer forwards a datagram that opens a flow. It returns the
// trace context to send with the datagram, or nil if the flow is not sampled.
func (t *Tracer) Forward(flow steering.FlowKey, endpoint ticket.EndpointKey) []byte {
	if t == nil || uint64(flow)>>1 >= t.sampleBound {
		return nil
	}
	ctx := context.WithValue(context.Background(), flowKey{}, uint64(flow))
	_, span := t.tracer.Start(ctx, "balancer.forward", oteltrace.WithAttributes(endpointAttribute(endpoint)))
	span.End()
	return encode(span.SpanContext())
}

// ForwardToAgent records that an agent forwards to another agent a datagram that opens
// a flow. It returns the trace context to send with the datagram, which is the received
// one if the flow is not sampled.
func (t *Tracer) ForwardToAgent(received []byte, endpoint ticket.EndpointKey) []byte {
	parent, ok := decode(received)
	if t == nil || !ok {
		return received
	}
	ctx := oteltrace.ContextWithRemoteSpanContext(context.Background(), parent)
	_, span := t.tracer.Start(ctx, "agent.hand_on", oteltrace.WithAttributes(endpointAttribute(endpoint)))
	span.End()
	return encode(span.SpanContext())
}

// RecordArrival stores the trace context of a datagram that opens a flow here, until
// StartFlow is called for the connection.
func (t *Tracer) RecordArrival(caller netip.AddrPort, received []byte) {
	if t == nil {
		return
	}
	if parent, ok := decode(received); ok {
		t.arrivals.put(caller, parent)
	}
}

// StartFlow starts the span of a connection whose first datagram was sampled, and
// returns a context with it. The span ends when ctx ends.
func (t *Tracer) StartFlow(ctx context.Context, caller net.Addr) context.Context {
	address, ok := caller.(*net.UDPAddr)
	if t == nil || !ok {
		return ctx
	}
	parent, ok := t.arrivals.take(address.AddrPort())
	if !ok {
		return ctx
	}
	traced, span := t.tracer.Start(oteltrace.ContextWithRemoteSpanContext(ctx, parent), "agent.flow")
	context.AfterFunc(ctx, func() { span.End() })
	return traced
}

func endpointAttribute(endpoint ticket.EndpointKey) attribute.KeyValue {
	return attribute.Int64("cactustray.endpoint", int64(endpoint))
}

// arrivals holds, by caller, the trace contexts of flows whose connection has not
// started yet.
type arrivals struct {
	mu       *sync.Mutex
	byCaller map[netip.AddrPort]oteltrace.SpanContext
}

func newArrivals() arrivals {
	return arrivals{mu: new(sync.Mutex), byCaller: make(map[netip.AddrPort]oteltrace.SpanContext)}
}

// put stores the trace context of a caller's flow. When maxArrivals contexts are stored,
// which happens if many flows never open, it first removes all of them.
func (a *arrivals) put(caller netip.AddrPort, parent oteltrace.SpanContext) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.byCaller) >= maxArrivals {
		clear(a.byCaller)
	}
	a.byCaller[unmapped(caller)] = parent
}

func (a *arrivals) take(caller netip.AddrPort) (oteltrace.SpanContext, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	caller = unmapped(caller)
	parent, ok := a.byCaller[caller]
	delete(a.byCaller, caller)
	return parent, ok
}

func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

func encode(c oteltrace.SpanContext) []byte {
	traceID, spanID := c.TraceID(), c.SpanID()
	return append(append(make([]byte, 0, contextSize), traceID[:]...), spanID[:]...)
}

func decode(raw []byte) (oteltrace.SpanContext, bool) {
	if len(raw) != contextSize {
		return oteltrace.SpanContext{}, false
	}
	c := oteltrace.NewSpanContext(oteltrace.SpanContextConfig{
		TraceID:    oteltrace.TraceID(raw[:16]),
		SpanID:     oteltrace.SpanID(raw[16:]),
		TraceFlags: oteltrace.FlagsSampled,
		Remote:     true,
	})
	return c, c.IsValid()
}
