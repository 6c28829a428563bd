package admission

import (
	"time"

	"cactustray/hedging"
)

// Room returns the slots that second copies may use, none while draining.
func (s *State) Room(now time.Time) hedging.Room {
	if s.draining {
		return hedging.Room{}
	}
	return hedging.Room{Slots: s.slots(now), Free: s.FreeSlots(now), Queued: len(s.queue)}
}

// ArriveCopy dispatches the second copy of a request that another agent owns. It never
// queues: if no slot is free or its deadline has passed, it is refused.
func (s *State) ArriveCopy(now time.Time, r Request) Decision {
	_, known := s.entries[r.ID]
	s.assert(!known, DecidedOnce, r.ID)
	s.exchange.expire(now)
	if known || s.draining || len(s.queue) > 0 || s.FreeSlots(now) == 0 || !now.Before(r.Deadline) {
		return Decision{ID: r.ID, Refusal: NoCopy}
	}
	e := &entry{Request: r, arrived: now, queueDeadline: r.Deadline}
	s.entries[r.ID] = e
	var out Outputs
	s.dispatch(now, e, &out)
	return out.Decisions[0]
}
