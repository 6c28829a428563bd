// Package agent assembles the vertical slices (ticket, liveness, admission,
// placement and steering) into the process that runs on a backend server's VM: one
// control goroutine, and traffic goroutines that terminate callers' flows.
package agent

import (
	"context"
	"net/http"
	"time"

	"cactustray/admission/frontend"
	"cactustray/admission/handover"
	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/control/rpc"
	"cactustray/event"
	"cactustray/identity"
	"cactustray/metrics"
	"cactustray/settings"
	"cactustray/status/query"
	"cactustray/steering"
	"cactustray/ticket"

	"golang.org/x/sync/errgroup"
)

// tickInterval is the interval between two ticks of the control goroutine.
const tickInterval = 50 * time.Millisecond

// process holds the parts of an agent: its control state and the components that
// run in other goroutines.
type process struct {
	settings  *settings.Settings
	identity  *identity.Identity
	log       *event.Log
	loop      *control.Loop
	state     *state
	snapshots *published
	callers   *callerServer
	handler   *frontend.Handler
	reporter  *reporter
	peers     *http.Client
	registry  *metrics.Registry
	traffic   *meter.Meter
	reports   chan report
	loads     chan loadReport
}

// Run runs an agent until the context ends, then stops it as planned: it accepts
// no new work and lets the requests in progress finish.
func Run(ctx context.Context, s *settings.Settings, sealer *steering.Sealer, id *identity.Identity, log *event.Log) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p := &process{
		settings:  s,
		identity:  id,
		log:       log,
		loop:      control.NewLoop(tickInterval),
		snapshots: new(published),
		traffic:   new(meter.Meter),
		reports:   make(chan report),
		loads:     make(chan loadReport),
	}
	p.loop.ContainPanics(log.Contain)
	if err := p.assemble(running, sealer); err != nil {
		return err
	}
	log.Emit(EventAgentStarted, event.Fields{"service": s.Agent.Service, "endpoint": s.Agent.Endpoint})
	defer log.Emit(EventAgentStopped, nil)
	err := p.run(ctx, running)
	p.reporter.reportStopped(p.state)
	return err
}

// assemble creates the parts and binds the callers' socket; it starts no
// goroutines that serve traffic or control.
func (p *process) assemble(running context.Context, sealer *steering.Sealer) error {
	s := p.settings
	owner := steering.Owner{
		Endpoint:    ticket.EndpointKeyOf(s.Agent.Service, s.Agent.Endpoint),
		Incarnation: steering.Incarnation(time.Now().Unix()),
	}
	if err := p.snapshots.trace(running, s, p.log); err != nil {
		return err
	}
	client := rpc.NewMeteredClient(p.identity, p.traffic)
	p.peers = client
	p.handler = newHandler(s, p.loop, p.snapshots, client)
	p.handler.Contain = p.log.Contain
	callers, err := newCallerServer(s, sealer, owner, p.loop, p.snapshots, p.log, p.handler)
	if err != nil {
		return err
	}
	p.callers = callers
	p.reporter = &reporter{node: s.Node, service: ticket.ServiceKeyOf(s.Agent.Service), client: client, loop: p.loop}
	p.registry = newRegistry(p.snapshots, p.traffic, p.loop, p.log)
	p.state = newState(s, owner, p.log, p.snapshots, p.reports, p.loads, handover.NewClient(running, p.loop, client))
	p.state.usage = meter.NewUsage(p.traffic, p.loop.Busy)
	p.state.admission.instruments = newInstruments(p.registry)
	p.state.hedging.registry = p.registry
	registerCopies(p.registry, &p.handler.Copies)
	return nil
}

// run runs all goroutines until the planned stop, which begins when ctx ends, is
// complete, or until one of them fails.
func (p *process) run(ctx, running context.Context) error {
	running, stop := context.WithCancel(running)
	defer stop()
	group, running := errgroup.WithContext(running)
	calls := peerHandler(p.loop, p.handler, p.snapshots.tracer, controlHandler(p.loop))
	group.Go(func() error { return p.loop.Run(running, p.state) })
	group.Go(func() error { return p.reporter.run(running, p.reports) })
	group.Go(func() error { return sendLoads(running, p.callers.conn, p.loads) })
	group.Go(func() error { return rpc.Serve(running, p.settings.Control, p.identity, p.traffic, calls) })
	group.Go(func() error { return p.callers.serve(running, p.state.draining.phases) })
	observe(running, group, p.settings, p.identity, p.callers, p.snapshots.tracer, p.registry, p.log)
	group.Go(func() error {
		defer stop()
		p.stopAsPlanned(ctx, running)
		return nil
	})
	return group.Wait()
}

func controlHandler(loop *control.Loop) http.Handler {
	mux := http.NewServeMux()
	path, h := query.NewServer(loop).Handler()
	mux.Handle(path, identity.Require(h, identity.Balancer, identity.Agent, identity.Operator))
	return mux
}
