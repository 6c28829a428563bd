// Package packetagent assembles the slices into the process beside an endpoint
// that ends flows itself: one control goroutine, and traffic goroutines that hand
// packets between the system and the endpoint.
package packetagent

import (
	"context"
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/liveness/health"
	"cactustray/metrics"
	"cactustray/placement"
	"cactustray/settings"

	"golang.org/x/sync/errgroup"
)

// Run runs an agent until the context ends, then stops it as planned: flows go
// on until no request is in progress. changes brings changed settings.
func Run(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings, codec flow.Codec, log *event.Log) error {
	loop := control.NewLoop(placement.ReportInterval)
	traffic, err := newForwarder(s, codec, loop, log)
	if err != nil {
		return err
	}
	state := newState(log, traffic)
	healthy := new(atomic.Bool)
	healthy.Store(true)
	log.Emit(EventStarted, event.Fields{"service": s.Packets.Service, "endpoint": s.Packets.Endpoint, "zone": s.Zone})
	defer log.Emit(EventStopped, nil)

	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return loop.Run(running, state) })
	group.Go(func() error { return traffic.servePeers(running) })
	group.Go(func() error { return control.Forward(running, loop, changes) })
	group.Go(func() error { return traffic.serveEndpoint(running) })
	group.Go(func() error { return health.Serve(running, s.Packets.Health, healthy) })
	group.Go(func() error { return observe(traffic, log).Serve(running, s.Metrics) })
	group.Go(func() error {
		defer stop()
		return stopAsPlanned(ctx, running, loop, traffic)
	})
	return group.Wait()
}

// observe shows what the process counts.
func observe(t *forwarder, log *event.Log) *metrics.Registry {
	registry := metrics.New()
	t.counters.Show(registry)
	registry.Gauge("flows", func() int64 { return int64(t.usage().Flows) })
	registry.Gauge("requests", func() int64 { return int64(t.usage().Running) })
	registry.Gauge("requests.unanswered", t.unanswered.Load)
	registry.Times("requests.answer", t.answers)
	registry.Events(log)
	return registry
}

const (
	// minLeaveTime gives balancers the time to place new flows elsewhere.
	minLeaveTime = 300 * time.Millisecond
	// stopReserve is left of the time that a planned stop may take.
	stopReserve = time.Second
	// idleInterval is how often a leaving agent looks for a moment without
	// requests.
	idleInterval = 10 * time.Millisecond
)

// leave tells the control goroutine that the process stops as planned.
type leave struct{}

// stopAsPlanned waits for the stop and goes on until no request is in progress,
// or the time for it is over. The endpoint's flows go on with the next agent.
func stopAsPlanned(ctx, running context.Context, loop *control.Loop, t *forwarder) error {
	select {
	case <-running.Done():
		return nil
	case <-ctx.Done():
	}
	if err := loop.Send(running, leave{}); err != nil {
		return nil
	}
	control.Sleep(running, minLeaveTime)
	began := time.Now()
	for time.Since(began) < t.stopTime()-stopReserve && t.usage().Running > 0 && running.Err() == nil {
		control.Sleep(running, idleInterval)
	}
	return nil
}
