package flow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// openFlow makes an endpoint accept a flow and its caller send data.
func openFlow(t *AgentTable, now Timestamp, i int) {
	t.FromBalancer(now, Packet{Flow: callerKey(i), Opening: true}, Delivery{}, []byte("opening"))
	t.FromEndpoint(now, Packet{Flow: callerKey(i), Accepting: true, Sequence: 9})
	t.FromBalancer(now, Packet{Flow: callerKey(i), Acknowledged: 10, Sequence: 100, Data: 5}, Delivery{}, nil)
	t.FromEndpoint(now, Packet{Flow: callerKey(i), Data: 5})
}

func handedOver(t *testing.T, before *AgentTable, lifetime time.Duration) *AgentTable {
	h, _ := before.HandOver(time.Second)
	after := NewAgentTable(2*time.Second, 2, lifetime, false)
	must.False(t, after.FlowsKnown(2*time.Second))
	after.TakeOver(2*time.Second, h)
	return after
}

// Guards against packets of open flows that are tried at many endpoints after planned restarts of
// their agents: an agent that took over its flows knows them, and denies all others.
func TestAgentKnowsFlowsTakenOver(t *testing.T) {
	before := NewAgentTable(0, 2, time.Minute, true)
	openFlow(before, time.Second, 1)
	after := handedOver(t, before, time.Minute)
	now := 2 * time.Second
	must.True(t, after.FlowsKnown(now))
	must.EqOp(t, Holds, after.Query(now, Query{Flow: callerKey(1)}))
	must.EqOp(t, Denies, after.Query(now, Query{Flow: callerKey(2)}))
	answer := after.BulkQuery(now, BulkQuery{Fingerprints: []Fingerprint{callerKey(1).Fingerprint(), callerKey(2).Fingerprint()}})
	must.True(t, answer.Complete)
	must.Eq(t, []Key{callerKey(1)}, answer.Held)
	must.SliceEmpty(t, answer.Unsure)
	must.EqOp(t, Deliver, after.FromBalancer(now, Packet{Flow: callerKey(1), Acknowledged: 10, Data: 5, Sequence: 105}, Delivery{}, nil).Action)
	must.EqOp(t, Deny, after.FromBalancer(now, Packet{Flow: callerKey(2), Data: 5}, Delivery{Search: true}, nil).Action)
	must.EqOp(t, 1, after.Usage(now).Flows)
}

// Guards against a flow that is given up although the endpoint holds it: if a balancer has it on
// record here, it may have opened by way of an agent that ran in between.
func TestFlowOnRecordIsTriedAfterHandover(t *testing.T) {
	after := handedOver(t, NewAgentTable(0, 2, time.Minute, true), time.Minute)
	now := 2 * time.Second
	must.EqOp(t, Tried, after.FromBalancer(now, Packet{Flow: callerKey(1), Data: 5}, Delivery{}, nil).Reason)
	must.EqOp(t, Deny, after.FromBalancer(now, Packet{Flow: callerKey(2), Data: 5}, Delivery{Search: true}, nil).Action)
	must.EqOp(t, Return, after.FromBalancer(now, Packet{Flow: callerKey(3), Data: 5}, Delivery{Hops: 1}, nil).Action)
}

// Guards against requests that count as in progress although they were answered: a packet that
// the agent before has seen begins none.
func TestRepeatedPacketOfFlowTakenOverBeginsNoRequest(t *testing.T) {
	before := NewAgentTable(0, 2, time.Minute, true)
	openFlow(before, time.Second, 1)
	after := handedOver(t, before, time.Minute)
	repeated := Packet{Flow: callerKey(1), Acknowledged: 10, Sequence: 100, Data: 5}
	must.False(t, after.FromBalancer(2*time.Second, repeated, Delivery{}, nil).RequestBegins)
	must.EqOp(t, 0, after.Usage(2*time.Second).Running)
}

// Guards against a flow that is denied although the endpoint holds it: one that was being opened
// when the agent before stopped is left to the endpoint.
func TestFlowBeingOpenedAtHandoverIsLeftToEndpoint(t *testing.T) {
	before := NewAgentTable(0, 2, time.Minute, true)
	before.FromBalancer(time.Second, Packet{Flow: callerKey(1), Opening: true}, Delivery{}, []byte("opening"))
	before.FromBalancer(time.Second, Packet{Flow: callerKey(2), Opening: true}, Delivery{}, []byte("opening"))
	before.FromEndpoint(time.Second, Packet{Flow: callerKey(2), Accepting: true, Sequence: 9})
	after := handedOver(t, before, time.Minute)
	now := 2 * time.Second
	for i := 1; i <= 2; i++ {
		must.EqOp(t, IsUnsure, after.Query(now, Query{Flow: callerKey(i)}))
		answer := after.BulkQuery(now, BulkQuery{Fingerprints: []Fingerprint{callerKey(i).Fingerprint()}})
		must.Eq(t, []Fingerprint{callerKey(i).Fingerprint()}, answer.Unsure)
		must.EqOp(t, Tried, after.FromBalancer(now, Packet{Flow: callerKey(i), Data: 5}, Delivery{Search: true}, nil).Reason)
	}
	// A third agent takes over both, now in trial.
	third := handedOver(t, after, time.Minute)
	must.EqOp(t, IsUnsure, third.Query(now, Query{Flow: callerKey(1)}))
	// Once the endpoint has given its packet back, the flow is not there.
	must.EqOp(t, Deny, after.FromEndpoint(now, Packet{Flow: callerKey(1), ReturnedByEndpoint: true}).Action)
	must.EqOp(t, Denies, after.Query(now, Query{Flow: callerKey(1)}))
	// None is older than a flow may be.
	after.Sweep(now + time.Minute + time.Second)
	must.EqOp(t, Denies, after.Query(now+time.Minute+time.Second, Query{Flow: callerKey(2)}))
}

// Guards against flows that neither agent knows: after the hand-over none opens, and opening
// packets that wait go back.
func TestNoFlowOpensAfterHandover(t *testing.T) {
	table := NewAgentTable(0, 1, time.Minute, true)
	for i := range 4 {
		table.FromBalancer(time.Second, Packet{Flow: callerKey(i), Opening: true}, Delivery{Balancer: agentAt(9)}, []byte("opening"))
	}
	waiting := table.Usage(time.Second).Waiting
	must.Positive(t, waiting)
	_, returned := table.HandOver(time.Second)
	must.Len(t, waiting, returned)
	for _, o := range returned {
		must.EqOp(t, Return, o.Verdict.Action)
		must.EqOp(t, HandingOver, o.Verdict.Reason)
	}
	v := table.FromBalancer(time.Second, Packet{Flow: callerKey(9), Opening: true}, Delivery{Balancer: agentAt(9)}, []byte("opening"))
	must.EqOp(t, Return, v.Action)
	must.EqOp(t, HandingOver, v.Reason)
}

// Guards against an agent that denies flows since an agent before, which did not know all flows
// itself, handed over those that it knew.
func TestIncompleteHandoverDeniesNothing(t *testing.T) {
	before := NewAgentTable(0, 2, time.Minute, false)
	openFlow(before, time.Second, 1)
	after := handedOver(t, before, time.Minute)
	must.False(t, after.FlowsKnown(2*time.Second))
	must.EqOp(t, Holds, after.Query(2*time.Second, Query{Flow: callerKey(1)}))
	must.EqOp(t, IsUnsure, after.Query(2*time.Second, Query{Flow: callerKey(2)}))
}

// Guards against more new flows at a cold endpoint than its limit: an agent that took over its
// flows does not know when the last of them opened.
func TestAgentThatTookOverAssumesColdLimitIsUsedUp(t *testing.T) {
	before := NewAgentTable(0, 2, time.Minute, true)
	after := handedOver(t, before, time.Minute)
	after.SetColdLimit(ColdLimit{Excess: 1, Slack: 1})
	after.SetCold(1, time.Minute)
	must.True(t, after.isColdLimitUsedUp(2*time.Second))
}
