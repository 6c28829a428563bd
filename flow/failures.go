package flow

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one request in the failure rate: about the last
	// ten count.
	failureWeight = 0.1
	// failureHalfLife is the half-life of the rate while no request ends. The rate decays
	// so that an endpoint that is avoided for its failures is tried again.
	failureHalfLife = 2 * time.Second
)

// failureRate is the share of an endpoint's recent requests that failed, as a moving
// average. A flow that the endpoint refuses counts as a failed request.
type failureRate struct {
	share float64
	at    Timestamp
}

// ended adds the outcome of a request to the rate.
func (f *failureRate) ended(now Timestamp, failed bool) {
	share := f.now(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.share, f.at = share+(outcome-share)*failureWeight, now
}

// now returns the rate, decayed since the last request.
func (f *failureRate) now(now Timestamp) float64 {
	return f.share * math.Exp2(-float64(now-f.at)/float64(failureHalfLife))
}
