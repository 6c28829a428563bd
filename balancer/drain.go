package balancer

import (
	"context"
	"time"

	"cactustray/control"
	"cactustray/event"
	"cactustray/liveness"
	"cactustray/steering"
)

const (
	// quietInterval is how often a leaving balancer looks at its traffic.
	quietInterval = 100 * time.Millisecond
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
