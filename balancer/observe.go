package balancer

import (
	"context"

	"cactustray/event"
	"cactustray/identity"
	"cactustray/metrics"
	"cactustray/settings"
	"cactustray/steering/datagram"

	"golang.org/x/sync/errgroup"
)

// observe shows the balancer's metrics and follows its identity's files.
func observe(ctx context.Context, group *errgroup.Group, s *settings.Settings, id *identity.Identity, forwarder *datagram.Forwarder, log *event.Log) {
	registry := metrics.New()
	datagram.RegisterCounters(registry, forwarder.Counters)
	group.Go(func() error { return id.Watch(ctx, log) })
	group.Go(func() error { return registry.Serve(ctx, s.Metrics) })
}
