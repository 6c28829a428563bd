package admission

import "time"

// smoothing is the weight of the past against one new measurement.
const smoothing = 32

// serviceQuantile is the share of jobs that take no longer than the estimated
// service time.
const serviceQuantile = 0.95

// estimate foretells waiting from what was measured.
type estimate struct {
	// serviceTime follows the quantile serviceQuantile, which rare stragglers
	// barely move.
	serviceTime time.Duration
	// interval is the time between two requests that left the queue.
	interval    time.Duration
	lastDequeue time.Time
	backlog     bool
}

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

// left learns that a request left the queue and how many stay. Only intervals
// during which work waited say how fast the queue moves.
func (e *estimate) recordDequeue(now time.Time, remaining int) {
	if e.backlog {
		smooth(&e.interval, now.Sub(e.lastDequeue))
	}
	e.lastDequeue = now
	e.backlog = remaining > 0
}

func (e *estimate) service() time.Duration { return e.serviceTime }

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
