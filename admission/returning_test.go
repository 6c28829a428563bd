package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers that are refused together return in order and no faster than they can be served.
func TestRefusedCallersReturnAtTheServingRate(t *testing.T) {
	const wait, interval = 400 * time.Millisecond, 20 * time.Millisecond
	now := time.Unix(1000, 0)
	var r returns
	for i := range 100 {
		must.EqOp(t, wait+time.Duration(i)*interval, r.after(now, wait, interval))
	}
	// Later, when some of them have returned, the next follow those still to come.
	now = now.Add(time.Second)
	must.EqOp(t, wait+100*interval-time.Second, r.after(now, wait, interval))
	// After a pause, the queue alone counts.
	now = now.Add(time.Minute)
	must.EqOp(t, wait, r.after(now, wait, interval))
	for range 10_000 {
		must.LessEq(t, maxRetryAfter, r.after(now, wait, interval))
	}
}

// A request that is refused for the load carries the time to return; one that is refused
// since the agent drains may return at once, to another endpoint.
func TestRefusalForLoadCarriesRetryAfter(t *testing.T) {
	s := newTestState(t, Limits{Slots: 1, Feeds: 1, QueueTime: time.Second})
	now := start
	s.estimate.interval = 300 * time.Millisecond
	s.estimate.serviceTime = 300 * time.Millisecond
	var refusals []Decision
	for id := range RequestID(6) {
		for _, d := range s.Arrive(now, Request{ID: id + 1, Deadline: now.Add(time.Second)}).Decisions {
			if d.Refusal != None {
				refusals = append(refusals, d)
			}
		}
	}
	must.SliceNotEmpty(t, refusals)
	for i, d := range refusals {
		must.Positive(t, d.RetryAfter)
		must.True(t, i == 0 || d.RetryAfter > refusals[i-1].RetryAfter)
	}
}
