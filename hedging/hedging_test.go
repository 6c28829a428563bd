package hedging

import (
	"strconv"
	"testing"
	"time"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

const testClass Class = "GET /drawing"

var (
	testSettings = Settings{Percent: 5, FreePercent: 50}
	idle         = Room{Slots: 4, Free: 4}
)

// answer records n requests that took the same time, one every 10 ms, and returns the time
// after them.
func answer(s *State, now time.Time, n int, took time.Duration) time.Time {
	for range n {
		now = now.Add(10 * time.Millisecond)
		s.Answered(now, Answered{Class: testClass, Took: took})
	}
	return now
}

// After a start nothing is known of the usual times: no copy is offered or admitted until
// enough requests have been answered, and none for other classes even then.
func TestNoCopiesWhileSketchIsEmpty(t *testing.T) {
	s := NewState(testSettings)
	_, ok := s.Snapshot(replayStart).Delay(testClass, time.Minute)
	must.False(t, ok)
	must.EqOp(t, OverBudget, s.Admit(replayStart, testClass, idle).Verdict)
	now := answer(s, replayStart, minSamples-1, 40*time.Millisecond)
	_, ok = s.Snapshot(now).Delay(testClass, time.Minute)
	must.False(t, ok)
	now = answer(s, now, 1, 40*time.Millisecond)
	delay, ok := s.Snapshot(now).Delay(testClass, time.Minute)
	must.True(t, ok)
	must.EqOp(t, 40*time.Millisecond, delay)
	_, ok = s.Snapshot(now).Delay("GET /chart", time.Minute)
	must.False(t, ok)
}

// The process that holds a budget restarts: the new one has none until ordinary requests
// have paid for it, so that restarts don't add up to more copies than permitted.
func TestRestartedProcessHasNoBudget(t *testing.T) {
	before := NewState(testSettings)
	now := answer(before, replayStart, 500, 40*time.Millisecond)
	must.EqOp(t, Admitted, before.Admit(now, testClass, idle).Verdict)
	after := NewState(testSettings)
	now = answer(after, now, minSamples, 40*time.Millisecond)
	must.EqOp(t, OverBudget, after.Admit(now, testClass, idle).Verdict)
	now = answer(after, now, 21, 40*time.Millisecond)
	must.EqOp(t, Admitted, after.Admit(now, testClass, idle).Verdict)
	must.EqOp(t, OverBudget, after.Admit(now, testClass, idle).Verdict)
}

// Copies stay below the limit in number and in work, also if each takes much longer than
// ordinary requests and if the limit is raised by a burst of offers.
func TestBudgetBoundsNumberAndWork(t *testing.T) {
	for _, copyTime := range []time.Duration{10 * time.Millisecond, 280 * time.Millisecond} {
		s := NewState(testSettings)
		now := replayStart
		const requests = 5000
		copies := 0
		for range requests {
			now = answer(s, now, 1, 40*time.Millisecond)
			for range 3 {
				if a := s.Admit(now, testClass, idle); a.Verdict == Admitted {
					copies++
					s.CopyEnded(CopyEnded{Expected: a.Expected, Took: copyTime})
				}
			}
		}
		limit := 0.05 * requests * min(1, float64(40*time.Millisecond)/float64(copyTime))
		must.LessEq(t, limit+1, float64(copies))
		must.GreaterEq(t, 0.8*limit, float64(copies))
	}
}

// Answers of a quick class don't take away the work that a slow class has saved, so that the
// slow class gets copies too.
func TestQuickClassLeavesTheBudgetOfSlowClass(t *testing.T) {
	const slowClass Class = "GET /report"
	s := NewState(testSettings)
	now := replayStart
	for range 500 {
		now = answer(s, now, 3, 4*time.Millisecond)
		s.Answered(now, Answered{Class: slowClass, Took: 400 * time.Millisecond})
	}
	now = answer(s, now, 50, 4*time.Millisecond)
	must.EqOp(t, Admitted, s.Admit(now, slowClass, idle).Verdict)
	must.EqOp(t, Admitted, s.Admit(now, testClass, idle).Verdict)
}

// While a backend server as a whole is slow, it runs no copies, also once its quantile has
// followed; after some minutes the slower times count as usual.
func TestNoCopiesWhileAllRequestsAreSlow(t *testing.T) {
	s := NewState(testSettings)
	now := answer(s, replayStart, 2000, 40*time.Millisecond)
	now = answer(s, now, 15, 120*time.Millisecond)
	for range 6000 { // a minute
		must.EqOp(t, OverBudget, s.Admit(now, testClass, idle).Verdict)
		now = answer(s, now, 1, 120*time.Millisecond)
	}
	for range 15 {
		now = answer(s, now, 6000, 120*time.Millisecond)
	}
	must.EqOp(t, Admitted, s.Admit(now, testClass, idle).Verdict)
}

// Copies run only on slots that nothing else needs.
func TestNoCopiesWithoutFreeSlots(t *testing.T) {
	s := NewState(testSettings)
	now := answer(s, replayStart, 500, 40*time.Millisecond)
	must.EqOp(t, NoRoom, s.Admit(now, testClass, Room{Slots: 4, Free: 1}).Verdict)
	must.EqOp(t, NoRoom, s.Admit(now, testClass, Room{Slots: 4, Free: 2, Queued: 1}).Verdict)
	must.EqOp(t, NoRoom, s.Admit(now, testClass, Room{}).Verdict)
	must.EqOp(t, Admitted, s.Admit(now, testClass, Room{Slots: 4, Free: 2}).Verdict)
	must.EqOp(t, Off, NewState(Settings{}).Admit(now, testClass, idle).Verdict)
}

// A copy that could not be answered before the deadline is not offered.
func TestNoCopyPastTheDeadline(t *testing.T) {
	s := NewState(testSettings)
	now := answer(s, replayStart, 500, 40*time.Millisecond)
	_, ok := s.Snapshot(now).Delay(testClass, 80*time.Millisecond)
	must.False(t, ok)
	_, ok = s.Snapshot(now).Delay(testClass, 81*time.Millisecond)
	must.True(t, ok)
}

// A copy goes to another failure domain as long as one has room, never to the endpoint of
// the first copy, and not to one that has refused this copy or, shortly before, another.
func TestCopyGoesToAnotherFailureDomain(t *testing.T) {
	s := NewState(testSettings)
	now := replayStart
	s.SetPeers([]Peer{
		{Key: 1, Zone: "a"}, {Key: 2, Zone: "a"},
		{Key: 3, Zone: "b"}, {Key: 4, Zone: "c", Known: true}, {Key: 5, Zone: "c", Known: true, FreeSlots: 1},
	})
	choices := func(snapshot *Snapshot, tried ...ticket.EndpointKey) map[ticket.EndpointKey]bool {
		chosen := make(map[ticket.EndpointKey]bool)
		for random := range uint64(20) {
			if peer, ok := snapshot.Choose(1, "a", tried, random); ok {
				chosen[peer.Key] = true
			}
		}
		return chosen
	}
	must.Eq(t, map[ticket.EndpointKey]bool{3: true, 5: true}, choices(s.Snapshot(now)))
	must.Eq(t, map[ticket.EndpointKey]bool{5: true}, choices(s.Snapshot(now), 3))
	must.Eq(t, map[ticket.EndpointKey]bool{2: true}, choices(s.Snapshot(now), 3, 5))
	s.Offered(now, Offered{Peer: 3, Class: testClass, Verdict: OverBudget})
	must.Eq(t, map[ticket.EndpointKey]bool{5: true}, choices(s.Snapshot(now)))
	must.Eq(t, map[ticket.EndpointKey]bool{3: true, 5: true}, choices(s.Snapshot(now.Add(refusedBackoff))))
	must.MapEmpty(t, choices(nil))
}

// The agent of a slow endpoint does not wait as long as its own quantile demands, but as
// long as its peers would.
func TestDelayOfSlowEndpointIsThatOfItsPeers(t *testing.T) {
	s := NewState(testSettings)
	now := answer(s, replayStart, 500, 400*time.Millisecond)
	for peer := range ticket.EndpointKey(3) {
		s.Offered(now, Offered{Peer: peer + 1, Class: testClass, Delay: time.Duration(peer+1) * 40 * time.Millisecond})
	}
	delay, _ := s.Snapshot(now).Delay(testClass, time.Minute)
	must.EqOp(t, 80*time.Millisecond, delay)
	now = answer(s, now.Add(peerTimingLifetime+1), 500, 400*time.Millisecond)
	delay, _ = s.Snapshot(now).Delay(testClass, time.Minute)
	must.EqOp(t, 400*time.Millisecond, delay)
}

// Durations that are too old no longer count, so that a delay from yesterday's load is not
// used.
func TestOldDurationsAreDropped(t *testing.T) {
	s := NewState(testSettings)
	now := answer(s, replayStart, 500, 40*time.Millisecond)
	_, ok := s.Snapshot(now.Add(2*windowTime)).Delay(testClass, time.Minute)
	must.False(t, ok)
}

// The number of classes, which callers influence by their paths, does not grow without
// limit.
func TestClassesAreBounded(t *testing.T) {
	s := NewState(testSettings)
	for i := range 10 * maxClasses {
		s.Answered(replayStart, Answered{Class: Class(strconv.Itoa(i)), Took: time.Millisecond})
	}
	must.EqOp(t, maxClasses+1, len(s.sketches))
}

// Classes that are no longer requested make room for others: a burst of odd paths does not
// keep a later class from having its own delay.
func TestUnusedClassesAreDropped(t *testing.T) {
	s := NewState(testSettings)
	for i := range 2 * maxClasses {
		s.Answered(replayStart, Answered{Class: Class(strconv.Itoa(i)), Took: time.Millisecond})
	}
	now := replayStart.Add(2 * windowTime)
	s.Snapshot(now)
	must.MapEmpty(t, s.sketches)
	now = answer(s, now, minSamples, 40*time.Millisecond)
	_, ok := s.Snapshot(now).Delay(testClass, time.Minute)
	must.True(t, ok)
}

// Whatever order the two copies end in, one of them is the winner when one is whole or long or
// both have ended, and the better of both is never given up. A long answer that waited for the
// other copy would reach its caller after the slower of both.
func TestRaceDecidesOnce(t *testing.T) {
	endings := []Ending{NotRun, Lost, Refused, Long, Whole}
	for _, a := range endings {
		for _, b := range endings {
			for _, first := range []Copy{First, Second} {
				var r Race
				winner, decided := r.End(first, a)
				must.EqOp(t, a == Whole || a == Long, decided)
				if !decided {
					winner, decided = r.End(first.other(), b)
				}
				must.True(t, decided)
				must.EqOp(t, max(r.Ended(First), r.Ended(Second)), r.Ended(winner))
			}
		}
	}
}
