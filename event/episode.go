package event

import "time"

// Episode logs when something that is counted begins to happen and when it has ceased, instead
// of each time that it happens. One goroutine uses it.
type Episode struct {
	// Begins and Ends are the events; Ends has the count since Begins in the field Counted.
	Begins, Ends Event
	Counted      string
	// Quiet is how long the count must stay the same until the episode has ended.
	Quiet time.Duration

	seen   int64
	before int64
	lastAt time.Duration
	active bool
}

// Observe compares the count so far with the one before and logs a change.
func (e *Episode) Observe(now time.Duration, count int64, log *Log) {
	if count > e.seen {
		if !e.active {
			e.active, e.before = true, e.seen
			log.Emit(e.Begins, Fields{})
		}
		e.seen, e.lastAt = count, now
		return
	}
	if e.active && now-e.lastAt >= e.Quiet {
		e.active = false
		log.Emit(e.Ends, Fields{e.Counted: e.seen - e.before})
	}
}
