package trace

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"cactustray/steering"

	"github.com/shoenig/test/must"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

func newRecordedTracer(share float64) (*Tracer, *tracetest.SpanRecorder) {
	recorder := tracetest.NewSpanRecorder()
	return newTracer(sdktrace.WithSpanProcessor(recorder), nil, Options{Node: "n", Share: share}), recorder
}

func TestSpansOfOneFlowShareTraceID(t *testing.T) {
	tracer, recorder := newRecordedTracer(1)
	caller := netip.MustParseAddrPort("192.0.2.1:5000")
	one := tracer.Forward(7, 1)
	other := tracer.Forward(7, 1) // as another balancer does
	must.Eq(t, one[:16], other[:16])
	tracer.RecordArrival(caller, tracer.ForwardToAgent(one, 2))
	ctx, cancel := context.WithCancel(context.Background())
	flow := tracer.StartFlow(ctx, net.UDPAddrFromAddrPort(caller))
	var header string
	backend := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ToBackend(r.Context(), r.Header)
		header = r.Header.Get("traceparent")
	})
	request := httptest.NewRequest(http.MethodGet, "/status", nil).WithContext(flow)
	agent := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, handOver := Start(r.Context(), "agent.hand_over")
		defer handOver.End()
		peer := httptest.NewRequest(http.MethodGet, "/forward/status", nil)
		ToAgent(ctx, peer.Header)
		tracer.PeerRequests(backend).ServeHTTP(w, peer)
	})
	tracer.Requests(agent).ServeHTTP(httptest.NewRecorder(), request)
	must.StrContains(t, header, recorder.Ended()[0].SpanContext().TraceID().String())
	cancel()
	must.NoError(t, tracer.provider.ForceFlush(context.Background()))
	names := make(map[string]string)
	for _, span := range recorder.Started() {
		must.EqOp(t, recorder.Started()[0].SpanContext().TraceID(), span.SpanContext().TraceID())
		names[span.Name()] = span.Parent().SpanID().String()
	}
	must.MapLen(t, 6, names)
	must.MapContainsKeys(t, names, []string{"balancer.forward", "agent.hand_on", "agent.flow", "agent.request", "agent.hand_over", "agent.handed_over"})
}

func TestForwardSamplesShareOfFlows(t *testing.T) {
	for share, want := range map[float64]bool{0: false, 0.5: true, 1: true} {
		tracer, _ := newRecordedTracer(share)
		must.EqOp(t, want, tracer.Forward(steering.FlowKey(1<<62), 1) != nil)
	}
	tracer, _ := newRecordedTracer(0.5)
	must.Nil(t, tracer.Forward(1<<63|1, 1))
}

func TestNoSpansForUnsampledFlowsOrNilTracer(t *testing.T) {
	var nilTracer *Tracer
	must.Nil(t, nilTracer.Forward(1, 1))
	must.NoError(t, nilTracer.Run(context.Background()))
	tracer, recorder := newRecordedTracer(1)
	tracer.RecordArrival(netip.MustParseAddrPort("192.0.2.1:5000"), []byte("short"))
	ctx := tracer.StartFlow(context.Background(), &net.UDPAddr{IP: net.IPv4(192, 0, 2, 1), Port: 5000})
	request := httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx)
	caller := "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	request.Header.Set("traceparent", caller)
	request.Header.Set(peerHeader, caller)
	peer := tracer.PeerRequests(http.NotFoundHandler())
	tracer.Requests(peer).ServeHTTP(httptest.NewRecorder(), request)
	nilTracer.Requests(peer).ServeHTTP(httptest.NewRecorder(), request)
	must.EqOp(t, caller, request.Header.Get("traceparent"))
	must.SliceEmpty(t, recorder.Started())
}

// The number of stored trace contexts is bounded, even if the flows never open.
func TestArrivalsAreBounded(t *testing.T) {
	tracer, _ := newRecordedTracer(1)
	received := tracer.Forward(1, 1)
	for port := range 3 * maxArrivals {
		tracer.RecordArrival(netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(port)), received)
	}
	must.LessEq(t, maxArrivals, len(tracer.arrivals.byCaller))
}
