package admission

import (
	"testing"
	"time"

	"cactustray/hedging"

	"github.com/shoenig/test/must"
)

// The second copy of a request never waits: it must not take a slot from a queued request or
// from a peer's reservation, nor run past its deadline or while draining.
func TestCopyRunsOnFreeSlotOrNotAtAll(t *testing.T) {
	s := newTestState(t, Limits{Slots: 2, QueueTime: time.Minute})
	second := func(id RequestID) Request { return Request{ID: id, Deadline: start.Add(time.Second), Copy: true} }
	must.Eq(t, Decision{ID: 1, Attempt: 1}, s.ArriveCopy(start, second(1)))
	must.SliceLen(t, 1, s.SlotRequested(start, 7, 0).Grants)
	must.EqOp(t, NoCopy, s.ArriveCopy(start, second(2)).Refusal)
	s.Arrive(start, request(3, time.Minute))
	must.Eq(t, hedging.Room{Slots: 2, Queued: 1}, s.Room(start))
	must.Eq(t, []Decision{{ID: 3, Attempt: 1}}, s.Finish(start, 1).Decisions)
	now := start.Add(time.Second)
	s.Finish(now, 3)
	must.EqOp(t, NoCopy, s.ArriveCopy(now, second(4)).Refusal)
	s.Drain(now)
	late := second(5)
	late.Deadline = now.Add(time.Second)
	must.EqOp(t, NoCopy, s.ArriveCopy(now, late).Refusal)
	must.Eq(t, hedging.Room{}, s.Room(now))
}

// Most copies are cancelled early: their times must not lower the expected service time, by
// which requests are refused in time for their deadlines.
func TestCancelledCopyDoesNotChangeServiceTime(t *testing.T) {
	s := newTestState(t, Limits{Slots: 2, QueueTime: time.Minute})
	s.Arrive(start, request(1, time.Minute))
	now := start.Add(40 * time.Millisecond)
	s.Finish(now, 1)
	before := s.estimate.service()
	s.ArriveCopy(now, Request{ID: 2, Deadline: now.Add(time.Second), Copy: true})
	s.Cancel(now.Add(time.Millisecond), 2)
	must.EqOp(t, before, s.estimate.service())
	must.EqOp(t, 2, s.FreeSlots(now))
}
