// Package balancer assembles the vertical slices (ticket, liveness, membership and
// steering) into the process on an entry VM: one control goroutine, and traffic
// goroutines that forward datagrams.
package balancer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/control/rpc"
	"cactustray/event"
	"cactustray/identity"
	"cactustray/liveness/health"
	"cactustray/liveness/heartbeat"
	"cactustray/settings"
	"cactustray/status/query"
	"cactustray/steering"
	"cactustray/steering/datagram"
	"cactustray/ticket/exchange"
	"cactustray/ticket/platform"
	"cactustray/trace"

	"golang.org/x/sync/errgroup"
)

const (
	// tickInterval is the interval between two ticks of the control goroutine.
	tickInterval = 100 * time.Millisecond
	// workers is the number of goroutines that forward datagrams in each direction.
	workers = 2
)

// process holds the parts of a balancer: its control state and the components that
// run in other goroutines.
type process struct {
	settings  *settings.Settings
	identity  *identity.Identity
	log       *event.Log
	loop      *control.Loop
	state     *state
	forwarder *datagram.Forwarder
	tracer    *trace.Tracer
	peers     *peerCaller
	traffic   *meter.Meter
}

// Run runs a balancer until the context ends, then stops it as planned: it forwards
// datagrams until its traffic has moved to other balancers.
func Run(ctx context.Context, s *settings.Settings, sealer *steering.Sealer, id *identity.Identity, log *event.Log) error {
	p := &process{
		settings: s,
		identity: id,
		log:      log,
		loop:     control.NewLoop(tickInterval),
		traffic:  new(meter.Meter),
	}
	p.loop.ContainPanics(log.Contain)
	if err := p.assemble(ctx, sealer); err != nil {
		return err
	}
	log.Emit(EventBalancerStarted, event.Fields{"edge": s.Balancer.Edge})
	defer log.Emit(EventBalancerStopped, nil)
	return p.run(ctx)
}

// assemble creates the parts and binds the datagram sockets; it starts no goroutines
// that serve traffic or control.
func (p *process) assemble(ctx context.Context, sealer *steering.Sealer) error {
	s := p.settings
	table := new(atomic.Pointer[steering.Table])
	forwarder, err := newForwarder(s, sealer, table, p.loop, p.log)
	if err != nil {
		return err
	}
	tracer, err := trace.New(ctx, trace.OptionsOf(s), p.log)
	if err != nil {
		return err
	}
	forwarder.Tracer = tracer
	p.forwarder, p.tracer = forwarder, tracer
	client := rpc.NewMeteredClient(p.identity, p.traffic)
	reader := platform.NewReader(s.Platform.URL, s.Platform.Prefix, p.traffic)
	out := ticketIO{
		caller:  exchange.NewCaller(client, p.loop),
		watcher: platform.NewWatcher(reader, p.loop, newRandom()),
		usage:   meter.NewUsage(p.traffic, p.loop.Busy),
	}
	p.peers = &peerCaller{client: client, loop: p.loop, log: p.log}
	p.state = newState(s, p.log, table, newPeers(s.Node), out)
	return nil
}

// run runs all goroutines until the planned stop, which begins when ctx ends, is
// complete, or until one of them fails.
func (p *process) run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return p.loop.Run(running, p.state) })
	group.Go(func() error { return p.forwarder.Run(running, workers) })
	group.Go(func() error { return p.state.watcher.Run(running) })
	group.Go(func() error { return p.state.caller.Run(running) })
	group.Go(func() error {
		return rpc.Serve(running, p.settings.Control, p.identity, p.traffic, controlHandler(p.loop))
	})
	group.Go(func() error { return p.peers.run(running, p.state.peers.calls) })
	group.Go(func() error { return health.Serve(running, p.settings.Balancer.Health, &p.state.peers.healthy) })
	group.Go(func() error { return p.tracer.Run(running) })
	observe(running, group, p.settings, p.identity, p.forwarder, p.traffic, p.loop, p.log)
	group.Go(func() error {
		defer stop()
		return stopAsPlanned(ctx, running, p.loop, p.forwarder.Counters, p.log)
	})
	return group.Wait()
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func controlHandler(loop *control.Loop) http.Handler {
	mux := http.NewServeMux()
	mount := func(path string, h http.Handler, roles ...identity.Role) {
		mux.Handle(path, identity.Require(h, roles...))
	}
	path, h := exchange.NewServer(loop).Handler()
	mount(path, h, identity.Balancer, identity.Agent)
	path, h = heartbeat.NewServer(loop).Handler()
	mount(path, h, identity.Balancer, identity.Agent)
	path, h = query.NewServer(loop).Handler()
	mount(path, h, identity.Balancer, identity.Agent, identity.Operator)
	return mux
}

func newForwarder(s *settings.Settings, sealer *steering.Sealer, table *atomic.Pointer[steering.Table], loop *control.Loop, log *event.Log) (*datagram.Forwarder, error) {
	edge, err := datagram.Listen(s.Balancer.Edge)
	if err != nil {
		return nil, err
	}
	agents, err := datagram.Listen(s.Datagram)
	if err != nil {
		return nil, err
	}
	return &datagram.Forwarder{
		Edge:     edge,
		Agents:   agents,
		Fabric:   s.Balancer.Fabric,
		Table:    table,
		Sealer:   sealer,
		Counters: new(steering.Counters),
		Offer:    loop.Offer,
		Failures: datagram.Failures{
			SocketFailed: func(socket string, err error) {
				log.Emit(EventSocketFailed, event.Fields{"socket": socket, "cause": err.Error()})
			},
			Contain: log.Contain,
		},
	}, nil
}
