package trace

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// peerHeader carries the span of a request between agents. It is not the standard
// traceparent header, so that a caller's own header never turns sampling on.
const peerHeader = "Cactustray-Traceparent"

// Requests returns a handler that records a span for each request on a sampled flow. It
// removes the agents' header from requests, since only agents may set it.
func (t *Tracer) Requests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(peerHeader)
		if t == nil || !oteltrace.SpanContextFromContext(r.Context()).IsSampled() {
			next.ServeHTTP(w, r)
			return
		}
		t.serve(w, r, next, "agent.request")
	})
}

// PeerRequests returns a handler that records a span for each sampled request that
// another agent sent: a queued request that it handed over, or a request with an
// idempotency key that it forwarded to the key's owner.
func (t *Tracer) PeerRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		carrier := propagation.MapCarrier{parentField: r.Header.Get(peerHeader)}
		r.Header.Del(peerHeader)
		ctx := propagation.TraceContext{}.Extract(r.Context(), carrier)
		if t == nil || !oteltrace.SpanContextFromContext(ctx).IsSampled() {
			next.ServeHTTP(w, r)
			return
		}
		t.serve(w, r.WithContext(ctx), next, "agent.handed_over")
	})
}

func (t *Tracer) serve(w http.ResponseWriter, r *http.Request, next http.Handler, name string) {
	ctx, span := t.tracer.Start(r.Context(), name, oteltrace.WithAttributes(
		attribute.String("http.request.method", r.Method),
		attribute.String("url.path", r.URL.Path),
	))
	defer span.End()
	next.ServeHTTP(w, r.WithContext(ctx))
}

// parentField is the header field of a W3C trace context that identifies the parent.
const parentField = "traceparent"

// ToBackend sets the traceparent header of a request to a backend server to the span in
// ctx. A request that is not sampled retains the caller's header.
func ToBackend(ctx context.Context, header http.Header) {
	if oteltrace.SpanContextFromContext(ctx).IsSampled() {
		propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	}
}

// ToAgent sets the header of a request to another agent to the span in ctx, if it is
// sampled.
func ToAgent(ctx context.Context, header http.Header) {
	if !oteltrace.SpanContextFromContext(ctx).IsSampled() {
		return
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	header.Set(peerHeader, carrier[parentField])
}
