package flow

import "time"

const (
	// answeringWeight is the part of one answer in the mean: about the last ten
	// count, so that one long request is not taken for a slow endpoint.
	answeringWeight = 0.1
	// answeringKeep is how long the mean holds without an answer. An endpoint that
	// is avoided for its slowness is tried again after it.
	answeringKeep = 3 * time.Second
)

// answering is the mean time that an endpoint works on a request.
type answering struct {
	mean time.Duration
	last Stamp
}

// ended takes an answer in: how long it took, beside how many other requests, at
// an endpoint that works on slots of them at once. The wait for a slot is taken
// off, so that a busy endpoint does not look slow.
func (a *answering) ended(now Stamp, r Request, slots int) {
	worked := r.Took
	if r.Beside >= slots {
		worked = worked * time.Duration(slots) / time.Duration(r.Beside+1)
	}
	if a.now(now) == 0 {
		a.mean = worked
	}
	a.mean += time.Duration(answeringWeight * float64(worked-a.mean))
	a.last = now
}

// now returns the mean, or 0 where there was no answer lately.
func (a *answering) now(now Stamp) time.Duration {
	if now-a.last > answeringKeep {
		return 0
	}
	return a.mean
}
