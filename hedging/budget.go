package hedging

import "time"

const (
	// maxSaved is the most copies that a budget can save up.
	maxSaved = 5
	// maxSlowShare is the share of slow requests above which no copies run. Of ordinary
	// requests, 5 in 100 exceed Quantile; more than 20 in 100 exceed it by slowFactor while
	// the endpoint as a whole is slow.
	maxSlowShare = 0.2
	// endSlowShare is the share of slow requests below which copies run again.
	endSlowShare = 0.1
	// slowSmoothing is how many requests the share of slow ones is averaged over. When all
	// requests become slow, the share exceeds maxSlowShare after 11 of them.
	slowSmoothing = 64
)

// budget is the token bucket that limits the copies which a backend server runs, both
// their number and their work. The number alone is not enough: if requests are slow because
// they are expensive, a copy is as expensive, and 3 copies in 100 requests cost 14% more work
// (TestReplayOfPolicies). It is empty after a start, and while the backend server as a whole
// is slow.
type budget struct {
	copies    float64
	work      time.Duration
	slowShare float64
	// slow is true while the endpoint as a whole is slow.
	slow bool
}

// earn adds the share of a copy that an ordinary request pays for, and of the work.
func (b *budget) earn(percent float64, took, typical time.Duration, slow bool) {
	value := 0.0
	if slow {
		value = 1
	}
	b.slowShare += (value - b.slowShare) / slowSmoothing
	b.slow = b.slowShare > maxSlowShare || b.slow && b.slowShare > endSlowShare
	if b.slow {
		b.copies, b.work = 0, min(0, b.work)
		return
	}
	b.copies = min(maxSaved, b.copies+percent/100)
	// The limit is that of the class just answered; a quick class must not take away what a slow
	// one has saved.
	b.work = max(b.work, min(maxSaved*typical, b.work+time.Duration(percent/100*float64(took))))
}

// spend takes one copy with an expected work from the budget, if it has that.
func (b *budget) spend(work time.Duration) bool {
	if b.copies < 1 || b.work < work {
		return false
	}
	b.copies--
	b.work -= work
	return true
}

// settle corrects the budget when a copy ended that took more or less work than expected.
// The budget can fall below zero.
func (b *budget) settle(expected, took time.Duration) { b.work -= took - expected }
