package balancer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/control/rpc"
	"cactustray/event"
	"cactustray/liveness"
	"cactustray/steering"
)

const (
	// HealthPath is where the fabric asks whether to send datagrams.
	HealthPath = "/healthz"
	// quietInterval is how often a leaving balancer looks at its traffic.
	quietInterval = 100 * time.Millisecond
	// healthTimeout bounds one health check.
	healthTimeout = 2 * time.Second
)

// leave tells the control goroutine that the process stops as planned.
type leave struct{ done chan<- struct{} }

func (s *state) leave(now time.Time, m leave) {
	s.peers.self.SetState(liveness.Leaving)
	s.announce(now)
	s.peers.healthy.Store(false)
	s.callPeers(now)
	close(m.done)
}

// stopAsPlanned waits for the stop, tells everyone, and forwards until the
// traffic has moved to other balancers.
func stopAsPlanned(ctx, running context.Context, loop *control.Loop, counters *steering.Counters, log *event.Log) error {
	select {
	case <-running.Done():
		return nil
	case <-ctx.Done():
	}
	log.Emit(EventBalancerLeaving, nil)
	done := make(chan struct{})
	if err := loop.Send(running, leave{done: done}); err != nil {
		return nil
	}
	awaitQuiet(running, counters)
	return nil
}

func awaitQuiet(running context.Context, counters *steering.Counters) {
	quiet := liveness.NewQuiet(time.Now())
	ticker := time.NewTicker(quietInterval)
	defer ticker.Stop()
	for {
		select {
		case <-running.Done():
			return
		case now := <-ticker.C:
			if quiet.Observe(now, counters.Of(steering.Forwarded)+counters.Replies()) {
				return
			}
		}
	}
}

// serveHealth answers the fabric's health checks until the context ends.
func serveHealth(ctx context.Context, address netip.AddrPort, healthy *atomic.Bool) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &rpc.ListenError{Address: address, Cause: err}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		if !healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadTimeout: healthTimeout, WriteTimeout: healthTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
