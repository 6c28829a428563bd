// Package packetbalancer runs the process on an entry VM that forwards callers'
// packets to the agents of endpoints which terminate the flows themselves: one
// control goroutine, and traffic goroutines that forward.
package packetbalancer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/control/rpc"
	"cactustray/directory"
	"cactustray/directory/exchange"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/liveness/health"
	"cactustray/metrics"
	"cactustray/settings"

	"golang.org/x/sync/errgroup"
)

const (
	// tickInterval is the interval of the control goroutine's timer: several ticks
	// fit into the pause between two reads of the directory.
	tickInterval = 50 * time.Millisecond
)

// Run runs a balancer until the context ends, then stops it gracefully: it
// forwards until its traffic has moved to other balancers. changes delivers
// changed settings.
func Run(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings, source directory.Source, codec flow.Codec, log *event.Log) error {
	loop := control.NewLoop(tickInterval)
	loop.ContainPanics(log.Contain)
	traffic, err := newForwarder(s, codec, loop, log)
	if err != nil {
		return err
	}
	healthy := new(atomic.Bool)
	reader := newReader(source, loop, log)
	reader.client = exchange.NewClient(traffic.counters.Domains.CountFetch)
	state := newState(s, log, traffic, reader, healthy)
	log.Emit(EventStarted, event.Fields{"edge": s.Packets.Edge, "registry": s.Packets.Registry, "zone": s.Zone})
	defer log.Emit(EventStopped, nil)

	loop.Offer(begin{})
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return loop.Run(running, state) })
	group.Go(func() error { return reader.run(running) })
	group.Go(func() error { return reader.runFetches(running) })
	for range surveyConcurrency {
		group.Go(func() error { return reader.runSurvey(running) })
	}
	group.Go(func() error { return traffic.serveEdge(running) })
	group.Go(func() error { return traffic.serveEarly(running) })
	group.Go(func() error { return traffic.servePeers(running) })
	group.Go(func() error { return control.Forward(running, loop, changes) })
	group.Go(func() error { return health.Serve(running, s.Packets.Health, healthy) })
	group.Go(func() error { return serveExchange(running, s.Packets.Control, loop) })
	group.Go(func() error { return newMetrics(traffic, state, log).Serve(running, s.Metrics) })
	group.Go(func() error {
		defer stop()
		return stopGracefully(ctx, running, loop, traffic)
	})
	return group.Wait()
}

// serveExchange serves the directory to other balancers.
func serveExchange(ctx context.Context, address netip.AddrPort, loop *control.Loop) error {
	mux := http.NewServeMux()
	mux.Handle(exchange.NewServer(loop).Handler())
	return rpc.ServePlain(ctx, address, mux)
}

// newMetrics returns a registry with the metrics of the process.
func newMetrics(f *forwarder, s *state, log *event.Log) *metrics.Registry {
	registry := metrics.New()
	f.counters.Register(registry)
	f.placements.register(registry)
	registry.GaugeFunc("directory.age_ms", s.ageMillis)
	registry.GaugeFunc("directory.version", s.metricValues.version.Load)
	registry.GaugeFunc("directory.era", s.metricValues.era.Load)
	registry.GaugeFunc("directory.revision", s.metricValues.revision.Load)
	registry.GaugeFunc("endpoints.ready", s.metricValues.ready.Load)
	registry.GaugeFunc("endpoints.draining", s.metricValues.draining.Load)
	registry.GaugeFunc("endpoints.gone", s.metricValues.gone.Load)
	registry.GaugeFunc("endpoints.slow", s.metricValues.slow.Load)
	registry.GaugeFunc("evacuations", s.metricValues.evacuations.Load)
	registry.GaugeFunc("endpoints.evacuated", s.metricValues.evacuated.Load)
	registry.GaugeFunc("flows.evacuated", f.evacuatedFlows)
	registry.GaugeFunc("flows", f.flows)
	registry.GaugeFunc("directory.readings", s.reader.readings.Load)
	registry.GaugeFunc("directory.failures", s.reader.failures.Load)
	registry.RegisterEvents(log)
	return registry
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
