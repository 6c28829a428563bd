package flow

import (
	"math"
	"time"
)

const (
	// failingWeight is the part of one request in the share that fails: about the
	// last ten count.
	failingWeight = 0.1
	// failingHalfLife is how fast the share falls while no request fails, so that
	// an endpoint that is avoided is tried again.
	failingHalfLife = 2 * time.Second
)

// failing is the share of an endpoint's late requests that failed.
type failing struct {
	share float64
	at    Stamp
}

func (f *failing) ended(now Stamp, failed bool) {
	share := f.now(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.share, f.at = share+(outcome-share)*failingWeight, now
}

func (f *failing) now(now Stamp) float64 {
	return f.share * math.Exp2(-float64(now-f.at)/float64(failingHalfLife))
}
