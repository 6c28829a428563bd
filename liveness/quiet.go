package liveness

import "time"

const (
	// QuietTime is how long a leaving balancer must have forwarded nothing.
	QuietTime = 2 * time.Second
	// StopLimit bounds how long a leaving balancer goes on forwarding.
	StopLimit = 20 * time.Second
)

// Quiet tells when a leaving balancer has nothing left to forward.
type Quiet struct {
	began   time.Time
	changed time.Time
	count   int64
}

// NewQuiet returns the state of a balancer that leaves now.
func NewQuiet(now time.Time) *Quiet { return &Quiet{began: now, changed: now, count: -1} }

// Observe learns how many datagrams were forwarded in all and tells whether
// the balancer may stop: peers and agents have had Notice, and then traffic
// ceased or StopLimit is over.
func (q *Quiet) Observe(now time.Time, count int64) (done bool) {
	if count != q.count {
		q.count = count
		q.changed = now
	}
	if now.Sub(q.began) >= StopLimit {
		return true
	}
	return now.Sub(q.began) >= Notice && now.Sub(q.changed) >= QuietTime
}
