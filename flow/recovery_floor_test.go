package flow

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// floorKind is a kind of request of the first deployment in docs/design/hard-load.md.
type floorKind struct {
	name                string
	perSecond           int
	work, goal, limit   time.Duration
	serviceA, serviceB  bool
	onTime, late, total [floorWindows]int
	// mayBeOnTime and mayBeServed count requests as if each found a free slot.
	mayBeOnTime, mayBeServed [floorWindows]int
}

// floorRequest is one request of a caller that repeats its packets until the system has one.
type floorRequest struct {
	kind     *floorKind
	arrival  time.Duration
	received time.Duration
}

type floorSlot struct {
	serviceB bool
	coldTill time.Duration
	free     time.Duration
}

const (
	floorWindow  = 2 * time.Second
	floorWindows = 3
	floorOutage  = 1300 * time.Millisecond
	floorStart   = 300 * time.Millisecond
	floorCold    = 2 * time.Second
	floorSlots   = 3
	coldPercent  = 160
	// floorTransfer is the time from a caller to its endpoint and back.
	floorTransfer = 4 * time.Millisecond
)

func floorKinds() []*floorKind {
	return []*floorKind{
		{name: "feed", perSecond: 1312, work: 40 * time.Millisecond, goal: 300 * time.Millisecond, limit: 1500 * time.Millisecond, serviceA: true, serviceB: true},
		{name: "tickets", perSecond: 375, work: 52 * time.Millisecond, goal: 400 * time.Millisecond, limit: 2 * time.Second, serviceA: true},
		{name: "downloads", perSecond: 112, work: 5 * time.Millisecond, goal: 800 * time.Millisecond, limit: 4 * time.Second, serviceB: true},
	}
}

// receivedAt returns when a balancer first gets a packet of a request: callers repeat data
// after 0.2, 0.6 and 1.4 s, and opening packets after 0.2 and 0.6 s and, with a new flow, 1.4 s.
func receivedAt(arrival time.Duration) time.Duration {
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		if arrival+after >= floorOutage {
			return arrival + after
		}
	}
	return -1
}

// countUnlimited counts what the request could be if endpoints had any number of slots: no
// scheduler can do better.
func (k *floorKind) countUnlimited(arrival, received time.Duration) {
	work := k.work
	if received < floorOutage+floorStart+floorCold {
		work = k.work * coldPercent / 100
	}
	took := received + work + floorTransfer - arrival
	if took <= k.goal {
		k.mayBeOnTime[arrival/floorWindow]++
	}
	if took <= k.limit {
		k.mayBeServed[arrival/floorWindow]++
	}
}

// floorSlotsOf returns the slots of all endpoints, whose machines start evenly within floorStart.
func floorSlotsOf() []*floorSlot {
	var all []*floorSlot
	const endpoints = lostFlowEndpointsA + lostFlowEndpointsB
	for i := range endpoints {
		started := floorOutage + floorStart*time.Duration(i)/(endpoints-1)
		for range floorSlots {
			// Every fifth endpoint is of service B, as far as it has any.
			all = append(all, &floorSlot{serviceB: i%5 == 2 && i/5 < lostFlowEndpointsB, coldTill: started + floorCold, free: started})
		}
	}
	return all
}

func (s *floorSlot) end(now time.Duration, k *floorKind) time.Duration {
	if now < s.coldTill {
		return now + k.work*coldPercent/100
	}
	return now + k.work
}

func (s *floorSlot) serves(k *floorKind) bool {
	return s.serviceB && k.serviceB || !s.serviceB && k.serviceA
}

// pick returns the request that a scheduler with perfect knowledge runs next on a slot: the one whose
// goal is nearest among those that can be in time, else the one whose limit is nearest.
func (s *floorSlot) pick(now time.Duration, waiting []*floorRequest) int {
	best, bestOnTime := -1, false
	deadline := func(r *floorRequest, onTime bool) time.Duration {
		if onTime {
			return r.arrival + r.kind.goal
		}
		return r.arrival + r.kind.limit
	}
	for i, r := range waiting {
		done := s.end(now, r.kind) + floorTransfer
		if !s.serves(r.kind) || done > r.arrival+r.kind.limit {
			continue
		}
		onTime := done <= r.arrival+r.kind.goal
		if best < 0 || onTime && !bestOnTime || onTime == bestOnTime && deadline(r, onTime) < deadline(waiting[best], onTime) {
			best, bestOnTime = i, onTime
		}
	}
	return best
}

// The floor after a loss of power on the first deployment: what no system could have served of
// the requests of the first three windows, by arrivals, down time, callers' retransmissions and cold
// endpoints. A perfect system resets lost flows at once, needs no time itself and runs every request on
// any free slot of its service. docs/design/recovery.md states the results.
func TestFloorAfterLossOfPower(t *testing.T) {
	kinds := floorKinds()
	var pending []*floorRequest
	for _, k := range kinds {
		pause := time.Second / time.Duration(k.perSecond)
		for at := time.Duration(0); at < floorWindow*floorWindows; at += pause {
			k.total[at/floorWindow]++
			if received := receivedAt(at); received >= 0 {
				k.countUnlimited(at, received)
				pending = append(pending, &floorRequest{kind: k, arrival: at, received: received})
			}
		}
	}
	slices.SortFunc(pending, func(a, b *floorRequest) int { return int(a.received - b.received) })
	slots := floorSlotsOf()
	var waiting []*floorRequest
	const step = time.Millisecond
	for now := floorOutage; now < floorWindow*(floorWindows+2); now += step {
		for len(pending) > 0 && pending[0].received <= now {
			waiting, pending = append(waiting, pending[0]), pending[1:]
		}
		waiting = slices.DeleteFunc(waiting, func(r *floorRequest) bool { return now > r.arrival+r.kind.limit })
		for _, s := range slots {
			if s.free > now {
				continue
			}
			i := s.pick(now, waiting)
			if i < 0 {
				continue
			}
			r := waiting[i]
			waiting = slices.Delete(waiting, i, i+1)
			s.free = s.end(now, r.kind)
			if window := r.arrival / floorWindow; s.free+floorTransfer <= r.arrival+r.kind.goal {
				r.kind.onTime[window]++
			} else {
				r.kind.late[window]++
			}
		}
	}
	type floor struct{ onTime, late, failed, mayBeOnTime, mayBeServed int }
	want := [floorWindows]floor{
		{onTime: 1628, late: 917, failed: 1056, mayBeOnTime: 1665, mayBeServed: 3601},
		{onTime: 3598, mayBeOnTime: 3598, mayBeServed: 3598},
		{onTime: 3598, mayBeOnTime: 3598, mayBeServed: 3598},
	}
	for w := range floorWindows {
		var all floor
		for _, k := range kinds {
			f := floor{k.onTime[w], k.late[w], k.total[w] - k.onTime[w] - k.late[w], k.mayBeOnTime[w], k.mayBeServed[w]}
			t.Logf("window %d, %s: %+v", w+1, k.name, f)
			all.onTime, all.late, all.failed = all.onTime+f.onTime, all.late+f.late, all.failed+f.failed
			all.mayBeOnTime, all.mayBeServed = all.mayBeOnTime+f.mayBeOnTime, all.mayBeServed+f.mayBeServed
		}
		must.Eq(t, want[w], all, must.Sprintf("window %d; docs/design/recovery.md has these numbers", w+1))
	}
}
