package packetbalancer

import (
	"context"
	"time"

	"cactustray/control"
)

const (
	// minLeaveTime is how long a leaving balancer forwards at least: the fabric probes
	// twice a second and stops using a balancer after two negative answers.
	minLeaveTime = 1200 * time.Millisecond
	// idleTime is how long a leaving balancer must receive no caller's packet before
	// it stops.
	idleTime = 400 * time.Millisecond
	// stopReserve is the part of the time for a graceful stop that is left for the
	// rest of the shutdown.
	stopReserve = 500 * time.Millisecond
	// idleCheckInterval is how often a leaving balancer checks its traffic.
	idleCheckInterval = 100 * time.Millisecond
)

// leave notifies the control goroutine that a graceful stop begins.
type leave struct{}

func (s *state) leave(now time.Duration) {
	s.leaving = true
	s.healthy.Store(false)
	s.log.Emit(EventLeaving, nil)
	s.sendHellos(now)
}

// stopGracefully waits until ctx ends, then lets the balancer forward until its
// traffic has moved to other balancers or the time for a stop is nearly over.
func stopGracefully(ctx, running context.Context, loop *control.Loop, f *forwarder) error {
	select {
	case <-running.Done():
		return nil
	case <-ctx.Done():
	}
	if err := loop.Send(running, leave{}); err != nil {
		return nil
	}
	start := time.Now()
	lastCount, lastChange := f.received.Load(), start
	for time.Since(start) < f.stopTime()-stopReserve {
		control.Sleep(running, idleCheckInterval)
		if running.Err() != nil {
			return nil
		}
		if received := f.received.Load(); received != lastCount {
			lastCount, lastChange = received, time.Now()
		}
		if time.Since(start) >= minLeaveTime && time.Since(lastChange) >= idleTime {
			return nil
		}
	}
	return nil
}
