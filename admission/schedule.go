package admission

import "time"

// schedule refuses requests that have waited too long, fills the free slots
// with local or peers' requests, and requests slots from peers. Expiry comes
// first, so that no expired request is dispatched, not even after the process
// was paused.
func (s *State) schedule(now time.Time) Outputs {
	var out Outputs
	s.exchange.expire(now)
	s.expire(now, &out)
	for s.FreeSlots(now) > 0 && s.fillSlot(now, &out) {
	}
	s.requestSlots(&out)
	return out
}

// expire refuses the queued requests that can no longer start in time. A
// request that has just arrived is refused only once its deadline has passed.
func (s *State) expire(now time.Time, out *Outputs) {
	remaining := s.queue[:0]
	for _, e := range s.queue {
		if now.Before(s.latestStart(e)) || now.Equal(e.arrived) && now.Before(e.queueDeadline) {
			remaining = append(remaining, e)
			continue
		}
		s.assert(e.step == queued, RefusedNotRun, e.ID)
		delete(s.entries, e.ID)
		out.Decisions = append(out.Decisions, s.refusedForLoad(now, e.ID, DeadlinePassed))
	}
	clear(s.queue[len(remaining):])
	s.queue = remaining
}

// fillSlot gives one free slot to a queued request or reserves it for a peer.
// It reports whether there was a request for the slot.
func (s *State) fillSlot(now time.Time, out *Outputs) bool {
	if len(s.queue) == 0 {
		return s.grantSlot(now, out)
	}
	if s.exchange.prefersPeer(now, s.queue[0].arrived) && s.grantSlot(now, out) {
		return true
	}
	s.dispatch(now, s.dequeue(now), out)
	return true
}

// dequeue removes the oldest request from the queue and returns it.
func (s *State) dequeue(now time.Time) *entry {
	e := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	s.estimate.recordDequeue(now, len(s.queue))
	return e
}

func (s *State) dispatch(now time.Time, e *entry, out *Outputs) {
	s.assert(e.step == queued, DispatchedOnce, e.ID)
	s.assert(now.Before(e.queueDeadline), NotExpired, e.ID)
	e.step, e.started = dispatched, now
	e.attempt++
	s.jobs++
	s.assert(s.jobs+len(s.exchange.reserved) <= max(s.limits.Slots, s.jobs), SlotsBounded, e.ID)
	out.Decisions = append(out.Decisions, Decision{ID: e.ID, Attempt: e.attempt})
}

// grantSlot reserves a free slot for a peer. It reports whether a peer has
// requested one; a draining agent grants none.
func (s *State) grantSlot(now time.Time, out *Outputs) bool {
	if s.draining {
		return false
	}
	grant, ok := s.exchange.reserve(now)
	if ok {
		out.Grants = append(out.Grants, grant)
	}
	return ok
}
