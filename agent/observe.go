package agent

import (
	"context"

	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/event"
	"cactustray/identity"
	"cactustray/metrics"
	"cactustray/settings"
	"cactustray/status"
	"cactustray/steering/datagram"
	"cactustray/trace"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"
)

// newRegistry returns a registry with the counters of the traffic goroutines and
// the control loop.
func newRegistry(p *published, traffic *meter.Meter, loop *control.Loop, log *event.Log) *metrics.Registry {
	registry := metrics.New()
	datagram.RegisterCounters(registry, &p.shared.Counters)
	registry.GaugeFunc("flows.open", func() int64 { return int64(p.shared.Connections.Open()) })
	registry.GaugeFunc("control.bytes", traffic.Bytes)
	registry.GaugeFunc("control.busy_ms", func() int64 { return loop.Busy().Milliseconds() })
	registry.RegisterEvents(log)
	return registry
}

// observe starts the goroutines that serve the metrics, export the traces and reload
// changed certificates.
func observe(ctx context.Context, group *errgroup.Group, s *settings.Settings, id *identity.Identity, callers *callerServer, tracer *trace.Tracer, registry *metrics.Registry, log *event.Log) {
	group.Go(func() error { return id.Watch(ctx, log) })
	group.Go(func() error { return callers.identity.Watch(ctx, log) })
	group.Go(func() error { return tracer.Run(ctx) })
	group.Go(func() error { return registry.Serve(ctx, s.Metrics) })
}

// statusLoad returns the agent's current load for status reports.
func (s *state) statusLoad() status.Load {
	return status.Load{
		Flows:    int64(s.published.shared.Connections.Open()),
		Requests: int64(s.admission.queue.Running()),
		Queued:   int64(s.admission.queue.Queued()),
	}
}

// trace sets the tracer; it must be called before traffic starts. The error is a
// *trace.ExporterError.
func (p *published) trace(ctx context.Context, s *settings.Settings, log *event.Log) error {
	tracer, err := trace.New(ctx, trace.OptionsOf(s), log)
	if err != nil {
		return err
	}
	p.tracer = tracer
	p.shared.Tracer = tracer
	return nil
}

// connContext returns the context of a new connection, or an error to refuse the
// connection.
type connContext = func(context.Context, *quic.ClientInfo) (context.Context, error)

// traceFlows returns a connContext that starts a span for each sampled connection
// that admit accepts.
func traceFlows(tracer *trace.Tracer, admit connContext) connContext {
	return func(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
		admitted, err := admit(ctx, info)
		if err != nil {
			return nil, err
		}
		return tracer.StartFlow(admitted, info.RemoteAddr), nil
	}
}
