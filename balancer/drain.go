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
	// idleCheckInterval is how often a leaving balancer checks its traffic.
	idleCheckInterval = 100 * time.Millisecond
)

// leave notifies the control goroutine that the process stops as planned. done is
// closed when the calls that announce it are queued.
type leave struct{ done chan<- struct{} }

func (s *state) leave(now time.Time, m leave) {
	s.peers.self.SetState(liveness.Leaving)
	s.announce(now)
	s.peers.healthy.Store(false)
	s.callPeers(now)
	close(m.done)
}

// stopAsPlanned waits for the end of ctx, announces to the other balancers that this
// one leaves, and returns when its traffic has moved to them.
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
	awaitIdle(running, counters)
	return nil
}

func awaitIdle(running context.Context, counters *steering.Counters) {
	detector := liveness.NewIdleDetector(time.Now())
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-running.Done():
			return
		case now := <-ticker.C:
			if detector.Observe(now, counters.Of(steering.Forwarded)+counters.Replies()) {
				return
			}
		}
	}
}
