package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func newTestState(t testing.TB, limits Limits) *State {
	return NewState(start, limits, rand.New(rand.NewPCG(1, 1)), func(v Violation) { t.Error(v) })
}

func request(id RequestID, timeout time.Duration) Request {
	return Request{ID: id, Deadline: start.Add(timeout)}
}

// A request that expired while the process was paused must not be dispatched.
// The message that frees a slot is applied before the first tick after the
// pause, so expiry must not depend on the tick.
func TestExpiredWorkIsNotDispatchedAfterPause(t *testing.T) {
	s := newTestState(t, Limits{Slots: 1, QueueTime: time.Minute})
	s.Arrive(start, request(1, time.Minute))
	s.Arrive(start, request(2, time.Second))
	s.Arrive(start, request(3, time.Minute))
	out := s.Finish(start.Add(10*time.Second), 1)
	must.Eq(t, []Decision{{ID: 2, Refusal: DeadlinePassed}, {ID: 3, Attempt: 1}}, out.Decisions)
}

// A reservation granted before a pause of the process is void after it: a
// request that comes with it is refused, so that the peer knows that it did not
// run.
func TestReservationIsVoidAfterPause(t *testing.T) {
	s := newTestState(t, Limits{Slots: 1, QueueTime: time.Minute})
	grants := s.SlotRequested(start, 7, 0).Grants
	must.SliceLen(t, 1, grants)
	s.Tick(start.Add(time.Millisecond), PauseThreshold+1)
	r := request(1, time.Minute)
	r.Reservation = grants[0].Reservation
	out := s.Arrive(start.Add(2*time.Millisecond), r)
	must.Eq(t, []Decision{{ID: 1, Refusal: ReservationExpired}}, out.Decisions)
}

// The usable slots of a cold backend server grow with time up to its limit.
func TestColdBackendServerRampsUp(t *testing.T) {
	s := newTestState(t, Limits{Slots: 4, QueueTime: time.Minute, RampTime: 4 * time.Second})
	for second, slots := range []int{1, 1, 2, 3, 4} {
		must.EqOp(t, slots, s.FreeSlots(start.Add(time.Duration(second)*time.Second)))
	}
}

// Feeds take no slot, and jobs don't count towards the limit of feeds.
func TestFeedsAndJobsHaveSeparateLimits(t *testing.T) {
	s := newTestState(t, Limits{Slots: 1, QueueTime: time.Minute, Feeds: 1})
	must.Eq(t, []Decision{{ID: 1, Attempt: 1}}, s.Arrive(start, Request{ID: 1, Kind: Feed}).Decisions)
	must.Eq(t, []Decision{{ID: 2, Attempt: 1}}, s.Arrive(start, request(2, time.Second)).Decisions)
	refused := s.Arrive(start, Request{ID: 3, Kind: Feed}).Decisions
	must.Eq(t, []Decision{{ID: 3, Refusal: TooManyFeeds}}, refused)
}

// Under peak load, a request that could not be answered before its deadline is
// refused when it arrives instead of expiring in the queue.
func TestRequestThatWouldMissItsDeadlineIsRefusedOnArrival(t *testing.T) {
	s := newTestState(t, Limits{Slots: 1, QueueTime: time.Minute})
	now := start
	for id := RequestID(1); id <= 40; id++ {
		s.Arrive(now, request(id, time.Minute))
	}
	for id := RequestID(1); id <= 20; id++ {
		now = now.Add(100 * time.Millisecond)
		s.Finish(now, id)
	}
	urgent := Request{ID: 99, Deadline: now.Add(time.Second)}
	must.Eq(t, []Decision{{ID: 99, Refusal: QueueFull, RetryAfter: s.ExpectedWait()}}, s.Arrive(now, urgent).Decisions)
	patient := Request{ID: 100, Deadline: now.Add(time.Minute)}
	must.SliceEmpty(t, s.Arrive(now, patient).Decisions)
}

// Draining refuses new work and lets work in progress finish.
func TestDrainRefusesNewWorkOnly(t *testing.T) {
	s := newTestState(t, Limits{Slots: 1, QueueTime: time.Minute})
	s.Arrive(start, request(1, time.Minute))
	s.Arrive(start, request(2, time.Minute))
	s.Drain(start)
	must.Eq(t, []Decision{{ID: 3, Refusal: Draining}}, s.Arrive(start, request(3, time.Minute)).Decisions)
	must.Eq(t, []Decision{{ID: 2, Attempt: 1}}, s.Finish(start, 1).Decisions)
	must.SliceEmpty(t, s.SlotRequested(start, 1, time.Second).Grants)
}

// A queued request is handed over to a peer that has a free slot. If the peer
// does not run it, it returns to its old place in the queue. A duplicate of the
// message that returns it has no effect.
func TestReturnedRequestKeepsItsPlaceInQueue(t *testing.T) {
	s := newTestState(t, Limits{Slots: 1, QueueTime: time.Minute})
	s.SetPeers(start, []ticket.EndpointKey{5})
	s.Arrive(start, request(1, time.Minute))
	must.Eq(t, []ticket.EndpointKey{5}, s.Arrive(start, request(2, time.Minute)).RequestFrom)
	s.Arrive(start.Add(1), request(3, time.Minute))
	out, used := s.SlotOffered(start, 5, 9)
	must.True(t, used)
	must.Eq(t, []Decision{{ID: 2, Attempt: 1, Peer: 5, Reservation: 9}}, out.Decisions)
	s.Return(start, 2, 1)
	must.Eq(t, []Decision{{ID: 2, Attempt: 2}}, s.Finish(start, 1).Decisions)
	must.SliceEmpty(t, s.Return(start, 2, 1).Decisions, must.Sprint("a duplicate message"))
}
