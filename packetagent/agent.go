// Package packetagent runs the process next to an endpoint which terminates flows itself:
// one control goroutine, and traffic goroutines that forward packets between the
// endpoint and balancers, other agents and callers.
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

// Run runs an agent until the context ends, then stops it gracefully: it forwards
// packets until no request is in progress. changes delivers changed settings.
func Run(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings, codec flow.Codec, log *event.Log) error {
	loop := control.NewLoop(placement.ReportInterval)
	loop.ContainPanics(log.Contain)
	traffic, err := newForwarder(s, codec, loop, log)
	if err != nil {
		return err
	}
	state := newState(log, traffic, seedsOf(s.Packets))
	state.predecessor.isFirst = s.Packets.FirstStart
	state.statement.apply(s.Packets)
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
	group.Go(func() error { return newMetrics(traffic, log).Serve(running, s.Metrics) })
	group.Go(func() error {
		defer stop()
		return stopGracefully(ctx, running, loop, traffic)
	})
	return group.Wait()
}

// newMetrics returns a registry with the metrics of the process.
func newMetrics(f *forwarder, log *event.Log) *metrics.Registry {
	registry := metrics.New()
	f.counters.Register(registry)
	registry.GaugeFunc("flows", func() int64 { return int64(f.usage().Flows) })
	registry.GaugeFunc("requests", func() int64 { return int64(f.usage().Running) })
	registry.GaugeFunc("evacuated", f.evacuated.Load)
	registry.GaugeFunc("requests.unanswered", f.unanswered.Load)
	registerOverload(f, registry)
	registry.RegisterTimer("requests.answer", f.answers)
	registry.RegisterEvents(log)
	return registry
}

const (
	// minLeaveTime is the least time between the announcement of the stop and the
	// stop, in which balancers begin to place new flows elsewhere.
	minLeaveTime = 300 * time.Millisecond
	// stopReserve is the part of the time for a graceful stop that is left for the
	// rest of the shutdown.
	stopReserve = time.Second
	// idleCheckInterval is how often a leaving agent checks whether requests are in
	// progress.
	idleCheckInterval = 10 * time.Millisecond
)

// leave notifies the control goroutine that a graceful stop begins.
type leave struct{}

// stopGracefully waits until ctx ends, then lets the agent run until no request is in
// progress or the time for a stop is nearly over. The endpoint's flows continue with
// the agent that starts next, to which they are handed over.
func stopGracefully(ctx, running context.Context, loop *control.Loop, f *forwarder) error {
	select {
	case <-running.Done():
		return nil
	case <-ctx.Done():
	}
	if err := loop.Send(running, leave{}); err != nil {
		return nil
	}
	control.Sleep(running, minLeaveTime)
	start := time.Now()
	for time.Since(start) < f.stopTime()-stopReserve && f.usage().Running > 0 && running.Err() == nil {
		control.Sleep(running, idleCheckInterval)
	}
	done := make(chan struct{})
	if err := loop.Send(running, handOver{done: done}); err != nil {
		return nil
	}
	select {
	case <-done:
	case <-running.Done():
	}
	return nil
}
