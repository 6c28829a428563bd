package admission

import "time"

// smoothing divides the step by which a new sample changes an estimate.
const smoothing = 32

// serviceQuantile is the fraction of jobs that take no longer than the
// estimated service time.
const serviceQuantile = 0.95

// estimate holds moving estimates of the service time and of the queueing
// delay.
type estimate struct {
	// serviceTime tracks the quantile serviceQuantile of the service times;
	// unlike a mean, it hardly changes with rare, very slow jobs.
	serviceTime time.Duration
	// interval is the moving average of the time between two requests that
	// leave the queue.
	interval    time.Duration
	lastDequeue time.Time
	// backlog is true if requests were still queued after the last dequeue.
	backlog bool
}

// recordService updates the service time with that of a finished job.
func (e *estimate) recordService(took time.Duration) {
	if e.serviceTime == 0 {
		e.serviceTime = took
		return
	}
	step := float64(e.serviceTime) / smoothing
	if took > e.serviceTime {
		e.serviceTime += time.Duration(step*serviceQuantile) + 1
	} else {
		e.serviceTime -= time.Duration(step * (1 - serviceQuantile))
	}
}

// recordDequeue updates the interval after a request left the queue; remaining
// is the queue's new length. Intervals that began with an empty queue are
// ignored: they do not show how fast the queue moves.
func (e *estimate) recordDequeue(now time.Time, remaining int) {
	if e.backlog {
		smooth(&e.interval, now.Sub(e.lastDequeue))
	}
	e.lastDequeue = now
	e.backlog = remaining > 0
}

func (e *estimate) service() time.Duration { return e.serviceTime }

// wait returns the expected wait of a request with the given number of requests
// before it in the queue.
func (e *estimate) wait(before int) time.Duration {
	return time.Duration(before+1) * e.interval
}

func smooth(mean *time.Duration, next time.Duration) {
	if *mean == 0 {
		*mean = next
		return
	}
	*mean += (next - *mean) / smoothing
}
