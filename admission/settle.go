package admission

import "time"

// settle expires what is late, dispatches while slots are free, reserves free
// slots for peers, and asks peers for slots. Expiry comes first, so that late
// work is never dispatched, not even after a pause.
func (s *State) settle(now time.Time) Outputs {
	var out Outputs
	s.exchange.expire(now)
	s.expire(now, &out)
	for s.FreeSlots(now) > 0 && s.fillOne(now, &out) {
	}
	s.ask(&out)
	return out
}

func (s *State) expire(now time.Time, out *Outputs) {
	kept := s.queue[:0]
	for _, e := range s.queue {
		if now.Before(s.latestStart(e)) || now.Equal(e.arrived) && now.Before(e.until) {
			kept = append(kept, e)
			continue
		}
		s.assert(e.step == queued, RefusedNotRun, e.ID)
		delete(s.entries, e.ID)
		out.Decisions = append(out.Decisions, Decision{ID: e.ID, Refusal: DeadlinePassed})
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// fillOne gives one free slot to the oldest request, here or at a peer, and
// tells whether there was one.
func (s *State) fillOne(now time.Time, out *Outputs) bool {
	if len(s.queue) == 0 {
		return s.grant(now, out)
	}
	if s.exchange.olderThan(now, s.queue[0].arrived) && s.grant(now, out) {
		return true
	}
	s.dispatch(now, s.takeHead(now), out)
	return true
}

func (s *State) takeHead(now time.Time) *entry {
	e := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	s.estimate.left(now, len(s.queue))
	return e
}

func (s *State) dispatch(now time.Time, e *entry, out *Outputs) {
	s.assert(e.step == queued, DispatchedOnce, e.ID)
	s.assert(now.Before(e.until), NotExpired, e.ID)
	e.step, e.started = dispatched, now
	e.attempt++
	s.jobs++
	s.assert(s.jobs+len(s.exchange.reserved) <= max(s.limits.Slots, s.jobs), SlotsBounded, e.ID)
	out.Decisions = append(out.Decisions, Decision{ID: e.ID, Attempt: e.attempt})
}

func (s *State) grant(now time.Time, out *Outputs) bool {
	if s.draining {
		return false
	}
	granted, ok := s.exchange.reserve(now)
	if ok {
		out.Granted = append(out.Granted, granted)
	}
	return ok
}
