package flow

import "time"

const (
	// processingWeight is the weight of one answer in the moving mean: about the last
	// ten count, so that a single long request does not make the endpoint look slow.
	processingWeight = 0.1
	// processingExpiry is how long the mean stays valid without an answer. After it, an
	// endpoint that was avoided for its slowness is tried again.
	processingExpiry = 3 * time.Second
)

// processingTime is the moving mean of the time that an endpoint works on a request.
type processingTime struct {
	mean time.Duration
	last Timestamp
}

// ended adds an answered request to the mean. slots is how many requests the endpoint
// works on at once. If the request found all slots in use, its time is reduced by the
// estimated wait for a slot, so that a busy endpoint does not look slow.
func (p *processingTime) ended(now Timestamp, r Request, slots int) {
	worked := r.Elapsed
	if r.Concurrent >= slots {
		worked = worked * time.Duration(slots) / time.Duration(r.Concurrent+1)
	}
	if p.now(now) == 0 {
		p.mean = worked
	}
	p.mean += time.Duration(processingWeight * float64(worked-p.mean))
	p.last = now
}

// now returns the mean, or 0 if there was no answer within processingExpiry.
func (p *processingTime) now(now Timestamp) time.Duration {
	if now-p.last > processingExpiry {
		return 0
	}
	return p.mean
}
