// Package balancer assembles the slices into the process on an entry VM: one
// control goroutine, and traffic goroutines that forward datagrams.
package balancer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/control/rpc"
	"cactustray/event"
	"cactustray/identity"
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
	// tickInterval is how often the control goroutine looks at the time.
	tickInterval = 100 * time.Millisecond
	// workers is how many goroutines forward in each direction.
	workers = 2
	// socketBuffer is the receive buffer of each socket, in bytes.
	socketBuffer = 4 << 20
)

// Run runs a balancer until the context ends.
func Run(ctx context.Context, s *settings.Settings, sealer *steering.Sealer, id *identity.Identity, log *event.Log) error {
	table := new(atomic.Pointer[steering.Table])
	loop := control.NewLoop(tickInterval)
	forwarder, err := newForwarder(s, sealer, table, loop)
	if err != nil {
		return err
	}
	tracer, err := trace.New(ctx, trace.OptionsOf(s), log)
	if err != nil {
		return err
	}
	forwarder.Tracer = tracer
	traffic := new(meter.Meter)
	client := rpc.NewMeteredClient(id, traffic)
	out := outside{
		caller:  exchange.NewCaller(client, loop),
		watcher: platform.NewWatcher(platform.NewReader(s.Platform.URL, s.Platform.Prefix, traffic), loop, newRandom()),
		usage:   meter.NewUsage(traffic, loop.Busy),
	}
	log.Emit(EventBalancerStarted, event.Fields{"edge": s.Balancer.Edge})
	defer log.Emit(EventBalancerStopped, nil)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	peers := newPeers(s.Node)
	caller := &peerCaller{client: client, loop: loop, log: log}
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return loop.Run(running, newState(s, log, table, peers, out)) })
	group.Go(func() error { return forwarder.Run(running, workers) })
	group.Go(func() error { return out.watcher.Run(running) })
	group.Go(func() error { return out.caller.Run(running) })
	group.Go(func() error { return rpc.Serve(running, s.Control, id, traffic, handler(loop)) })
	group.Go(func() error { return caller.run(running, peers.calls) })
	group.Go(func() error { return serveHealth(running, s.Balancer.Health, &peers.healthy) })
	group.Go(func() error { return tracer.Run(running) })
	observe(running, group, s, id, forwarder, traffic, loop, log)
	group.Go(func() error {
		defer stop()
		return stopAsPlanned(ctx, running, loop, forwarder.Counters, log)
	})
	return group.Wait()
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func handler(loop *control.Loop) http.Handler {
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

func newForwarder(s *settings.Settings, sealer *steering.Sealer, table *atomic.Pointer[steering.Table], loop *control.Loop) (*datagram.Forwarder, error) {
	edge, err := listen(s.Balancer.Edge)
	if err != nil {
		return nil, err
	}
	agents, err := listen(s.Datagram)
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
	}, nil
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &rpc.ListenError{Address: address, Cause: err}
	}
	_ = socket.SetReadBuffer(socketBuffer)
	return socket, nil
}
