package admission

import "time"

const (
	// retryShare is how many retries each request that arrives allows.
	retryRatio = 0.1
	// maxRetries bounds the retries saved up.
	maxRetries = 10
	// unreachedTime is how long a backend server that could not be reached
	// is not tried again.
	unreachableBackoff = 500 * time.Millisecond
)

// retryBudget bounds retries to a share of the recent requests, so that they
// don't add to an overload.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) earn() { b.tokens = min(maxRetries, b.tokens+retryRatio) }

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Retry lets an idempotent request whose answer was lost wait anew, within the
// budget and its deadline.
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

// Return takes back a request that was not run where it was sent; it keeps its
// place. A message about an earlier attempt changes nothing.
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

// Unreached takes in that the backend server could not be reached. It gets no
// work for unreachedTime, and then counts as cold.
func (s *State) Unreached(now time.Time) {
	s.coldSince = now.Add(unreachableBackoff)
}
