// Package agent assembles the slices into the process beside a backend server:
// one control goroutine, and traffic goroutines that end callers' flows.
package agent

import (
	"context"
	"net/http"
	"time"

	"cactustray/admission/handover"
	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/control/rpc"
	"cactustray/event"
	"cactustray/identity"
	"cactustray/settings"
	"cactustray/status/query"
	"cactustray/steering"
	"cactustray/ticket"

	"golang.org/x/sync/errgroup"
)

// tickInterval is how often the control goroutine looks at the time.
const tickInterval = 50 * time.Millisecond

// Run runs an agent until the context ends, then stops it as planned: it takes
// no new work, and the requests in progress finish.
func Run(ctx context.Context, s *settings.Settings, sealer *steering.Sealer, id *identity.Identity, log *event.Log) error {
	owner := steering.Owner{
		Endpoint:    ticket.EndpointKeyOf(s.Agent.Service, s.Agent.Endpoint),
		Incarnation: steering.Incarnation(time.Now().Unix()),
	}
	loop := control.NewLoop(tickInterval)
	snapshots := new(published)
	if err := snapshots.trace(ctx, s, log); err != nil {
		return err
	}
	traffic := new(meter.Meter)
	handler := newHandler(s, loop, snapshots, rpc.NewMeteredClient(id, traffic))
	callers, err := newCallerServer(s, sealer, owner, loop, snapshots, handler)
	if err != nil {
		return err
	}
	reports := make(chan report)
	draining := newDraining()
	loads := make(chan loadReport)
	reporter := &reporter{
		node:    s.Node,
		service: ticket.ServiceKeyOf(s.Agent.Service),
		client:  rpc.NewMeteredClient(id, traffic),
		loop:    loop,
	}
	log.Emit(EventAgentStarted, event.Fields{"service": s.Agent.Service, "endpoint": s.Agent.Endpoint})
	defer log.Emit(EventAgentStopped, nil)

	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	peers := handover.NewClient(running, loop, handler.Peers)
	state := newState(s, owner, log, snapshots, reports, loads, draining, peers)
	state.usage = meter.NewUsage(traffic, loop.Busy)
	registry := newRegistry(snapshots, traffic, loop, log)
	state.admission.instruments = newInstruments(registry)
	group.Go(func() error { return loop.Run(running, state) })
	group.Go(func() error { return reporter.run(running, reports) })
	group.Go(func() error { return sendLoads(running, callers.conn, loads) })
	group.Go(func() error {
		return rpc.Serve(running, s.Control, id, traffic, peerHandler(loop, handler, snapshots.tracer, controlHandler(loop)))
	})
	group.Go(func() error { return callers.serve(running, draining.phases) })
	observe(running, group, s, id, callers, snapshots.tracer, registry, log)
	group.Go(func() error {
		defer stop()
		stopAsPlanned(ctx, running, loop)
		return nil
	})
	err = group.Wait()
	reporter.sayGone(state)
	return err
}

func controlHandler(loop *control.Loop) http.Handler {
	mux := http.NewServeMux()
	path, h := query.NewServer(loop).Handler()
	mux.Handle(path, identity.Require(h, identity.Balancer, identity.Agent, identity.Operator))
	return mux
}
