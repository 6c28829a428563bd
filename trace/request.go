package trace

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// handOverHeader carries the span of a request between agents. A caller's own
// traceparent header never turns sampling on.
const handOverHeader = "Cactustray-Traceparent"

// Requests records a span for each request on a sampled flow. What a caller
// says in the agents' own header is taken out.
func (t *Tracer) Requests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(handOverHeader)
		if t == nil || !oteltrace.SpanContextFromContext(r.Context()).IsSampled() {
			next.ServeHTTP(w, r)
			return
		}
		t.serve(w, r, next, "agent.request")
	})
}

// HandedOver records a span for each sampled request that another agent hands
// over.
func (t *Tracer) HandedOver(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		carrier := propagation.MapCarrier{parentField: r.Header.Get(handOverHeader)}
		r.Header.Del(handOverHeader)
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

// parentField is where the W3C trace context names the parent.
const parentField = "traceparent"

// ToBackend writes the context's span into a request to a backend server. A
// request that is not sampled keeps the caller's header.
func ToBackend(ctx context.Context, header http.Header) {
	if oteltrace.SpanContextFromContext(ctx).IsSampled() {
		propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	}
}

// ToAgent writes the context's span into a request to another agent.
func ToAgent(ctx context.Context, header http.Header) {
	if !oteltrace.SpanContextFromContext(ctx).IsSampled() {
		return
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	header.Set(handOverHeader, carrier[parentField])
}
