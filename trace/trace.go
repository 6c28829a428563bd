// Package trace records a span for each hop of sampled flows and requests, and exports
// the spans to a collector or a file. It never blocks traffic: spans are dropped if the
// exporter is too slow.
package trace

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net/url"
	"os"
	"time"

	"cactustray/event"
	"cactustray/settings"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// EventExportFailed is logged for spans that could not be exported.
var EventExportFailed = event.Define(1721, logrus.WarnLevel, "trace export failed")

const (
	// shutdownTimeout bounds the export of the last spans.
	shutdownTimeout = 2 * time.Second
	// collectorPath is the standard path of OTLP over HTTP. It is used if the
	// collector's URL has no path.
	collectorPath = "/v1/traces"
	// scope is the name of the instrumentation scope and of the service in spans.
	scope    = "cactustray"
	fileMode = 0o600
)

// Options are the settings of a tracer.
type Options struct {
	Node string
	Zone string
	// Share is the share of new flows that balancers sample, 0 to 1.
	Share float64
	// File is the path of the file that spans are appended to as JSON; OTLP is a
	// collector's URL. At most one is set; if none is, nothing is traced.
	File string
	OTLP string
}

// OptionsOf returns the tracing options in a process's settings.
func OptionsOf(s *settings.Settings) Options {
	return Options{Node: s.Node, Zone: s.Zone, Share: s.TraceShare, File: s.TraceFile, OTLP: s.TraceOTLP}
}

// ExporterError reports that an exporter could not be created.
type ExporterError struct {
	Target string
	Cause  error
}

func (e *ExporterError) Error() string { return "trace exporter " + e.Target + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExporterError) Unwrap() error { return e.Cause }

// Tracer records spans. It is safe for concurrent use; a nil Tracer records
// nothing.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   oteltrace.Tracer
	// output is the file that spans are appended to, or nil.
	output io.Closer
	// sampleBound is Options.Share scaled to 63 bits: a flow is sampled if its key,
	// shifted right by one bit, is less.
	sampleBound uint64
	arrivals    arrivals
}

// New returns a tracer, or nil if the options name no exporter. The error is an
// *ExporterError.
func New(ctx context.Context, o Options, log *event.Log) (*Tracer, error) {
	if o.File == "" && o.OTLP == "" {
		return nil, nil
	}
	exporter, output, err := newExporter(ctx, o)
	if err != nil {
		return nil, &ExporterError{Target: o.File + o.OTLP, Cause: err}
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		log.Emit(EventExportFailed, event.Fields{"cause": err})
	}))
	return newTracer(sdktrace.WithBatcher(exporter), output, o), nil
}

func newTracer(processor sdktrace.TracerProviderOption, output io.Closer, o Options) *Tracer {
	provider := sdktrace.NewTracerProvider(
		processor,
		sdktrace.WithIDGenerator(flowIDs{}),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.AlwaysSample())),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", scope),
			attribute.String("service.instance.id", o.Node),
			attribute.String("cloud.availability_zone", o.Zone),
		)),
	)
	return &Tracer{
		provider:    provider,
		tracer:      provider.Tracer(scope),
		output:      output,
		sampleBound: uint64(o.Share * (1 << 63)),
		arrivals:    newArrivals(),
	}
}

func newExporter(ctx context.Context, o Options) (sdktrace.SpanExporter, io.Closer, error) {
	if o.OTLP != "" {
		target, err := url.Parse(o.OTLP)
		if err != nil {
			return nil, nil, err
		}
		if target.Path == "" || target.Path == "/" {
			target.Path = collectorPath
		}
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(target.String()))
		return exporter, nil, err
	}
	file, err := os.OpenFile(o.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	return exporter, file, err
}

// Run waits until the context ends and then exports the remaining spans.
func (t *Tracer) Run(ctx context.Context) error {
	if t == nil {
		return nil
	}
	<-ctx.Done()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	_ = t.provider.Shutdown(limited) // the error handler logs it
	if t.output != nil {
		return t.output.Close()
	}
	return nil
}

// Start starts a child of the span in ctx. The child is only recorded if its parent is
// sampled. The caller must end the span.
func Start(ctx context.Context, name string) (context.Context, oteltrace.Span) {
	parent := oteltrace.SpanFromContext(ctx)
	return parent.TracerProvider().Tracer(scope).Start(ctx, name)
}

type flowKey struct{}

// flowIDs generates ids so that all spans of a flow have the same trace id, even if
// different balancers receive the flow's datagrams.
type flowIDs struct{}

// NewIDs returns the ids of a span without a parent. The trace id is that of the flow in
// ctx, or random if there is none.
func (f flowIDs) NewIDs(ctx context.Context) (oteltrace.TraceID, oteltrace.SpanID) {
	id := traceIDOf(randomUint64())
	if flow, ok := ctx.Value(flowKey{}).(uint64); ok {
		id = traceIDOf(flow)
	}
	return id, f.NewSpanID(ctx, id)
}

// NewSpanID returns a random span id.
func (flowIDs) NewSpanID(context.Context, oteltrace.TraceID) oteltrace.SpanID {
	var id oteltrace.SpanID
	binary.BigEndian.PutUint64(id[:], randomUint64()|1)
	return id
}

func traceIDOf(flow uint64) oteltrace.TraceID {
	const multiplier = 0x9e3779b97f4a7c15 // spreads the flow's bits
	var id oteltrace.TraceID
	binary.BigEndian.PutUint64(id[:8], flow*multiplier)
	binary.BigEndian.PutUint64(id[8:], flow)
	return id
}

func randomUint64() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // Read never returns an error
	return binary.BigEndian.Uint64(raw[:])
}
