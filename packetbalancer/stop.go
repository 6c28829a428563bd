package packetbalancer

import (
	"context"
	"time"

	"cactustray/control"
)

const (
	// minLeaveTime is how long a leaving balancer forwards at least: the fabric
	// asks twice a second and leaves a balancer out after two refusals.
	minLeaveTime = 1200 * time.Millisecond
	// quietTime is how long no caller's packet may come before it ends.
	quietTime = 400 * time.Millisecond
	// stopReserve is left of the time that a planned stop may take.
	stopReserve = 500 * time.Millisecond
	// quietInterval is how often a leaving balancer looks at its traffic.
	quietInterval = 100 * time.Millisecond
)

// leave tells the control goroutine that the process stops as planned.
type leave struct{}

func (s *state) leave(now time.Duration) {
	s.leaving = true
	s.healthy.Store(false)
	s.log.Emit(EventLeaving, nil)
	s.greet(now)
}

// stopAsPlanned waits for the stop and forwards until the traffic has moved to
// other balancers, or the time for it is over.
func stopAsPlanned(ctx, running context.Context, loop *control.Loop, t *forwarder) error {
	select {
	case <-running.Done():
		return nil
	case <-ctx.Done():
	}
	if err := loop.Send(running, leave{}); err != nil {
		return nil
	}
	began := time.Now()
	last, changed := t.received.Load(), began
	for time.Since(began) < t.stopTime()-stopReserve {
		control.Sleep(running, quietInterval)
		if running.Err() != nil {
			return nil
		}
		if received := t.received.Load(); received != last {
			last, changed = received, time.Now()
		}
		if time.Since(began) >= minLeaveTime && time.Since(changed) >= quietTime {
			return nil
		}
	}
	return nil
}
