package flow

import (
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

var (
	urgentClass = Class{Priority: 1, Goal: 400 * time.Millisecond, Limit: 2 * time.Second}
	lowClass    = Class{Priority: 3, Goal: 800 * time.Millisecond, Limit: 4 * time.Second}
)

// saturatedAgent has an endpoint with one slot that works on requests for the given time and
// is saturated.
func saturatedAgent(now Timestamp, work time.Duration, class Class) *AgentTable {
	agent := NewAgentTable(now, 1, time.Minute, true)
	agent.waiting.order.answered(now, class, Request{Elapsed: work})
	agent.running = saturation
	return agent
}

func openClassed(agent *AgentTable, now Timestamp, i int, class Class) Verdict {
	return agent.FromBalancer(now, Packet{Flow: callerKey(i), Opening: true}, Delivery{Class: class, Balancer: agentAt(99)}, []byte{byte(i)})
}

// An urgent request must not wait behind others, and one that can still be answered in time
// not behind one that cannot.
func TestUrgentOpeningsInTimeComeFirst(t *testing.T) {
	now := 10 * time.Second
	order := newClassOrder(1)
	order.answered(now, testClass, Request{Elapsed: 40 * time.Millisecond})
	late := waitingOpening{key: callerKey(1), begun: now - 390*time.Millisecond, class: urgentClass}
	old := waitingOpening{key: callerKey(2), begun: now - 50*time.Millisecond, class: testClass}
	recent := waitingOpening{key: callerKey(3), begun: now - 10*time.Millisecond, class: lowClass}
	must.EqOp(t, 1, order.next(now, []waitingOpening{late, old, recent}), must.Sprint("the urgent one is late"))
	late.begun = now - 100*time.Millisecond
	must.EqOp(t, 0, order.next(now, []waitingOpening{late, old, recent}))
	unknown := waitingOpening{key: callerKey(4), begun: now}
	must.EqOp(t, 0, order.next(now, []waitingOpening{late, old, recent, unknown}))
	must.EqOp(t, 0, order.next(now, []waitingOpening{recent, unknown}), must.Sprint("classes come before none"))
}

// A caller that cannot be served within its limit gets a reset at once, while it can still
// open a flow elsewhere; one that may have sent a copy does not, since another endpoint may
// hold its flow.
func TestHopelessOpeningIsRefused(t *testing.T) {
	now := 10 * time.Second
	agent := saturatedAgent(now, 300*time.Millisecond, testClass)
	for i := range 8 {
		must.EqOp(t, OpeningWaits, openClassed(agent, now, i, testClass).Reason)
	}
	var refused []Key
	for _, a := range agent.AdmitWaiting(now) {
		must.Eq(t, Verdict{Action: SendReset, Reason: OpeningRefused, Reset: Reset{Flow: a.Flow}}, a.Verdict)
		refused = append(refused, a.Flow)
	}
	// The answer takes 610 ms once the flow is delivered: three that come before delay it by
	// 900 ms, beyond the limit of 1.5 s.
	must.Len(t, 5, refused)
	must.EqOp(t, 5, agent.Overload().Refused[BandOf(testClass)])
	must.EqOp(t, 3, agent.Overload().Waiting[BandOf(testClass)])
	must.EqOp(t, Denies, agent.Query(now, Query{Flow: refused[0]}))
	must.SliceEmpty(t, agent.AdmitWaiting(now+firstCopyDelay+1), must.Sprint("their copies may be elsewhere"))
	// A copy of a refused opening whose reset was lost is decided on anew.
	must.EqOp(t, OpeningWaits, agent.FromBalancer(now+firstCopyDelay, Packet{Flow: refused[0], Opening: true, Copy: 1}, Delivery{Class: testClass}, nil).Reason)
}

// Openings of an unknown class have no limit that is known: they are never refused.
func TestOpeningWithoutClassIsNotRefused(t *testing.T) {
	now := 10 * time.Second
	for _, class := range []Class{{}, {Priority: 1, Limit: time.Millisecond}} {
		agent := saturatedAgent(now, time.Second, Class{})
		for i := range 50 {
			openClassed(agent, now, i, class)
		}
		must.SliceEmpty(t, agent.AdmitWaiting(now))
		must.EqOp(t, 50, agent.Overload().Waiting[BandOf(Class{})])
	}
}

// An agent that restarts while openings wait knows none of them: the callers' copies are
// ordered by their class and age as before.
func TestCopiesAfterRestartKeepTheirOrder(t *testing.T) {
	now := 10 * time.Second
	agent := saturatedAgent(now, 40*time.Millisecond, testClass)
	openCopy := func(i int, copies uint32, class Class) {
		agent.FromBalancer(now, Packet{Flow: callerKey(i), Opening: true, Copy: copies}, Delivery{Class: class}, nil)
	}
	openCopy(1, 1, urgentClass)
	openCopy(2, 2, testClass)
	openCopy(3, 1, lowClass)
	agent.running = 0
	var order []Key
	for range 3 {
		for _, a := range agent.AdmitWaiting(now) {
			order = append(order, a.Flow)
		}
		now += admissionTime + 1
	}
	must.Eq(t, []Key{callerKey(1), callerKey(3), callerKey(2)}, order, must.Sprint("the second is late"))
}

// The class must reach the alternate with an opening packet that is forwarded.
func TestForwardedOpeningKeepsItsClass(t *testing.T) {
	now := 10 * time.Second
	agent := saturatedAgent(now, 40*time.Millisecond, testClass)
	d := Delivery{Class: testClass, Balancer: agentAt(99), Alternate: agentAt(2)}
	for range 2 {
		v := agent.FromBalancer(now, Packet{Flow: callerKey(1), Opening: true}, d, nil)
		must.EqOp(t, ForwardToAgent, v.Action)
		must.Eq(t, testClass, v.Class)
	}
	// An agent of an older build gets no class, nor does one whose alternate reads none.
	routing, _, service := domainTable(2, 0, placement.Usage{})
	for _, c := range []struct{ first, second, stated bool }{{true, true, true}, {true, false, false}, {false, true, false}} {
		service.Accepting[0].AgentLoad.SetReadsClass(c.first)
		service.Accepting[1].AgentLoad.SetReadsClass(c.second)
		service.Accepting[1].AgentLoad.Report(time.Second, placement.Usage{Running: 2, Mean: 2})
		service.Accepting[0].AgentLoad.Report(time.Second, placement.Usage{})
		d := newTestAssignments().FromCaller(time.Second, Packet{Flow: callerKey(1), Opening: true}, routing, nil)
		must.EqOp(t, agentAt(0), d.To)
		must.EqOp(t, c.stated, d.StatesClass)
	}
}

// Classes that no operator needs must not fill the agent's memory.
func TestClassesAreBounded(t *testing.T) {
	now := 10 * time.Second
	agent := saturatedAgent(now, 40*time.Millisecond, testClass)
	order := newClassOrder(1)
	agent.waiting.order = order
	for i := range 200 {
		openClassed(agent, now, i, Class{Goal: Timestamp(i+1) * time.Millisecond, Limit: time.Minute})
		agent.waiting.order.delivered(now, Class{Goal: Timestamp(i+1) * time.Millisecond, Limit: time.Minute})
	}
	must.LessEq(t, maxClasses+1, len(order.classes))
	// A desired state with other goals must not be without classes for ever.
	must.False(t, order.key(lowClass).IsKnown())
	now += classExpiry + 1
	order.delivered(now, lowClass)
	must.True(t, order.key(lowClass).IsKnown())
}
