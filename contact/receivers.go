package contact

import (
	"time"

	"cactustray/flow"
)

const (
	// minRequest and maxRequest bound the interval that a balancer may request.
	minRequest = 200 * time.Millisecond
	maxRequest = 5 * time.Second
	// helloLifetimes is how many requested intervals after its last hello message a balancer
	// counts as lost.
	helloLifetimes = 4
	// repeats is how many reports state a changed interval early: until one arrives, the
	// balancer expects the next report after the interval before.
	repeats = 2
	// Listed is how many balancers a report to a balancer that requested an interval lists at
	// most, 6 bytes each. Balancers discover those of other failure domains this way even if no
	// agent of their own domain is in touch with one of them: with two services and 85 balancers,
	// 16 such reports a second name each of the others every 1.3 s on average.
	Listed = 4
)

// Receivers are the balancers that have requested a longer interval between reports than the
// agent's own. The zero value has none. The agent's control goroutine owns it.
type Receivers struct{ slow map[flow.Address]*receiver }

type receiver struct {
	interval time.Duration
	sentAt   time.Duration
	// early is how many reports are still sent without a pause.
	early int
}

// Request records the interval that a balancer requests; 0 if it leaves it to the agent.
func (r *Receivers) Request(balancer flow.Address, interval time.Duration) {
	if interval <= 0 {
		delete(r.slow, balancer)
		return
	}
	interval = min(max(interval, minRequest), maxRequest)
	known := r.slow[balancer]
	if known != nil && known.interval == interval {
		return
	}
	if r.slow == nil {
		r.slow = make(map[flow.Address]*receiver)
	}
	r.slow[balancer] = &receiver{interval: interval, early: repeats}
}

// Remove removes a balancer.
func (r *Receivers) Remove(balancer flow.Address) { delete(r.slow, balancer) }

// Len returns how many balancers have requested an interval.
func (r *Receivers) Len() int { return len(r.slow) }

// Interval returns the interval that holds for a balancer; own is the agent's.
func (r *Receivers) Interval(balancer flow.Address, own time.Duration) time.Duration {
	if known := r.slow[balancer]; known != nil {
		return max(known.interval, own)
	}
	return own
}

// IsSlow reports whether the balancer has requested an interval.
func (r *Receivers) IsSlow(balancer flow.Address) bool { return r.slow[balancer] != nil }

// Due reports whether a balancer that has requested an interval is due for a report; tick is
// the interval of the agent's timer.
func (r *Receivers) Due(now time.Duration, balancer flow.Address, own, tick time.Duration) bool {
	known := r.slow[balancer]
	return known != nil && (known.early > 0 || now-known.sentAt >= max(known.interval, own)-tick/2)
}

// Sent records that a balancer was sent a report.
func (r *Receivers) Sent(now time.Duration, balancer flow.Address) {
	if known := r.slow[balancer]; known != nil {
		known.sentAt, known.early = now, max(known.early-1, 0)
	}
}

// HelloLifetime returns how long after its last hello message a balancer counts as alive; own
// is that time for balancers that request no interval.
func (r *Receivers) HelloLifetime(balancer flow.Address, own time.Duration) time.Duration {
	if known := r.slow[balancer]; known != nil {
		return max(own, helloLifetimes*known.interval)
	}
	return own
}
