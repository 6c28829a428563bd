package admission

import "time"

const (
	// retryRatio is the number of retries that each new request adds to the
	// budget.
	retryRatio = 0.1
	// maxRetries is the largest budget, in retries.
	maxRetries = 10
	// unreachableBackoff is how long a backend server that could not be reached
	// is given no slots.
	unreachableBackoff = 500 * time.Millisecond
)

// retryBudget limits retries to a fraction of the recent requests, so that they
// don't make an overload worse.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) earn() { b.tokens = min(maxRetries, b.tokens+retryRatio) }

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Retry puts an idempotent job whose answer was lost back into the queue,
// within the retry budget and the job's deadline. Other requests, those that a
// peer handed over, and all requests while draining are refused with NoRetry.
func (s *State) Retry(now time.Time, id RequestID) Outputs {
	e := s.entries[id]
	if e == nil || e.step == queued {
		return refused(id, NoRetry)
	}
	s.release(now, e)
	delete(s.entries, id)
	if !e.Idempotent || e.Kind == Feed || e.Reservation != 0 || s.draining || !s.retries.spend() {
		out := s.schedule(now)
		out.Decisions = append(out.Decisions, Decision{ID: id, Refusal: NoRetry})
		return out
	}
	return s.requeue(now, e)
}

// Return puts a request that did not run where it was sent back into the queue,
// in the order of arrival. A message about an earlier attempt has no effect.
func (s *State) Return(now time.Time, id RequestID, attempt int) Outputs {
	e := s.entries[id]
	if e == nil || e.step == queued || e.attempt != attempt {
		return Outputs{}
	}
	s.release(now, e)
	delete(s.entries, id)
	if s.draining || e.Kind == Feed {
		out := s.schedule(now)
		out.Decisions = append(out.Decisions, Decision{ID: id, Refusal: Draining})
		return out
	}
	return s.requeue(now, e)
}

func (s *State) requeue(now time.Time, e *entry) Outputs {
	e.step = queued
	s.entries[e.ID] = e
	s.queue = insertByArrival(s.queue, e)
	return s.schedule(now)
}

// BackendUnreachable records that the backend server could not be reached. It
// has no slots for unreachableBackoff and counts as cold afterwards.
func (s *State) BackendUnreachable(now time.Time) {
	s.coldSince = now.Add(unreachableBackoff)
}
