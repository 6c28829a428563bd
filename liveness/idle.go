package liveness

import "time"

const (
	// IdleTime is how long a leaving balancer must have forwarded nothing before it
	// may stop.
	IdleTime = 2 * time.Second
	// MaxStopTime is the longest time that a leaving balancer goes on forwarding.
	MaxStopTime = 20 * time.Second
)

// IdleDetector detects when a leaving balancer has nothing left to forward.
type IdleDetector struct {
	startedAt time.Time
	changedAt time.Time
	count     int64
}

// NewIdleDetector returns a detector for a balancer that begins to leave now.
func NewIdleDetector(now time.Time) *IdleDetector {
	return &IdleDetector{startedAt: now, changedAt: now, count: -1}
}

// Observe records the total number of datagrams forwarded and reports whether the
// balancer may stop: agents and other balancers have had NoticePeriod to receive its
// announcement and it has forwarded nothing for IdleTime, or MaxStopTime has passed.
func (d *IdleDetector) Observe(now time.Time, count int64) (done bool) {
	if count != d.count {
		d.count = count
		d.changedAt = now
	}
	if now.Sub(d.startedAt) >= MaxStopTime {
		return true
	}
	return now.Sub(d.startedAt) >= NoticePeriod && now.Sub(d.changedAt) >= IdleTime
}
