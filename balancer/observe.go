package balancer

import (
	"context"

	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/event"
	"cactustray/identity"
	"cactustray/metrics"
	"cactustray/settings"
	"cactustray/steering/datagram"

	"golang.org/x/sync/errgroup"
)

// observe starts the goroutines that serve the balancer's metrics and reload its
// certificate when the files change.
func observe(ctx context.Context, group *errgroup.Group, s *settings.Settings, id *identity.Identity, forwarder *datagram.Forwarder, traffic *meter.Meter, loop *control.Loop, log *event.Log) {
	registry := metrics.New()
	datagram.RegisterCounters(registry, forwarder.Counters)
	registry.GaugeFunc("control.bytes", traffic.Bytes)
	registry.GaugeFunc("control.busy_ms", func() int64 { return loop.Busy().Milliseconds() })
	registry.RegisterEvents(log)
	group.Go(func() error { return id.Watch(ctx, log) })
	group.Go(func() error { return registry.Serve(ctx, s.Metrics) })
}
