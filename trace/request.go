package trace

import (
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// Requests records a span for each request on a sampled flow, and hands the
// span on in the request's traceparent header, for the backend server.
func (t *Tracer) Requests(next http.Handler) http.Handler {
	if t == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !oteltrace.SpanContextFromContext(r.Context()).IsSampled() {
			next.ServeHTTP(w, r)
			return
		}
		t.serve(w, r, next, "agent.request")
	})
}

// HandedOver records a span for each request that another agent handed over
// with a sampled traceparent header.
func (t *Tracer) HandedOver(next http.Handler) http.Handler {
	if t == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		if !oteltrace.SpanContextFromContext(ctx).IsSampled() {
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
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(r.Header))
	next.ServeHTTP(w, r.WithContext(ctx))
}
