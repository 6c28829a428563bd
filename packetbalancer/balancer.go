// Package packetbalancer assembles the slices into the process on an entry VM
// that hands callers' packets to the agents of endpoints which end the flows
// themselves: one control goroutine, and traffic goroutines that forward.
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
	// tickInterval is how often the control goroutine looks at the time: several
	// times a pause between two readings of the directory.
	tickInterval = 50 * time.Millisecond
)

// Run runs a balancer until the context ends, then stops it as planned: it
// forwards until its traffic has moved. changes brings changed settings.
func Run(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings, source directory.Source, codec flow.Codec, log *event.Log) error {
	loop := control.NewLoop(tickInterval)
	traffic, err := newForwarder(s, codec, loop, log)
	if err != nil {
		return err
	}
	healthy := new(atomic.Bool)
	reader := newReader(source, loop)
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
	for range surveyQuestions {
		group.Go(func() error { return reader.runSurvey(running) })
	}
	group.Go(func() error { return traffic.serveEdge(running) })
	group.Go(func() error { return traffic.serveEarly(running) })
	group.Go(func() error { return traffic.servePeers(running) })
	group.Go(func() error { return control.Forward(running, loop, changes) })
	group.Go(func() error { return health.Serve(running, s.Packets.Health, healthy) })
	group.Go(func() error { return serveExchange(running, s.Packets.Control, loop) })
	group.Go(func() error { return observe(traffic, state, log).Serve(running, s.Metrics) })
	group.Go(func() error {
		defer stop()
		return stopAsPlanned(ctx, running, loop, traffic)
	})
	return group.Wait()
}

// serveExchange hands the directory to other balancers.
func serveExchange(ctx context.Context, address netip.AddrPort, loop *control.Loop) error {
	mux := http.NewServeMux()
	mux.Handle(exchange.NewServer(loop).Handler())
	return rpc.ServePlain(ctx, address, mux)
}

// observe shows what the process counts.
func observe(t *forwarder, s *state, log *event.Log) *metrics.Registry {
	registry := metrics.New()
	t.counters.Show(registry)
	registry.Gauge("directory.age_ms", s.ageMillis)
	registry.Gauge("directory.version", s.shown.version.Load)
	registry.Gauge("endpoints.ready", s.shown.ready.Load)
	registry.Gauge("endpoints.draining", s.shown.draining.Load)
	registry.Gauge("endpoints.gone", s.shown.gone.Load)
	registry.Gauge("endpoints.slow", s.shown.slow.Load)
	registry.Gauge("flows", t.flows)
	registry.Gauge("directory.readings", s.reader.readings.Load)
	registry.Gauge("directory.failures", s.reader.failures.Load)
	registry.Events(log)
	return registry
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
