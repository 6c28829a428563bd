package flow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// silentAgent is an agent whose endpoint leaves opening packets unanswered.
type silentAgent struct {
	*AgentTable
	now  Timestamp
	next uint16
}

var otherAgentAddress = Address{IP: [4]byte{10, 0, 0, 9}, Port: 7}

// offer offers a new flow and returns the agent's decision.
func (a *silentAgent) offer() (Key, Verdict) {
	a.next++
	key := Key{Caller: Address{IP: [4]byte{100, 64, 0, 1}, Port: a.next}, Service: serviceAddress}
	return key, a.FromBalancer(a.now, Packet{Flow: key, Opening: true}, Delivery{Alternate: otherAgentAddress}, []byte{1})
}

// An endpoint that does not answer gets no flow for a pause that doubles up to a limit.
// The flow that revealed it goes to another agent when its answer is overdue.
func TestSilentEndpointIsRetriedWithBackoff(t *testing.T) {
	a := &silentAgent{AgentTable: NewAgentTable(time.Second, 2, time.Minute, true), now: time.Second}
	var pauses []time.Duration
	for range 5 {
		key, v := a.offer()
		must.EqOp(t, Deliver, v.Action)
		_, second := a.offer()
		if len(pauses) > 0 { // tried with one flow at a time
			must.EqOp(t, ForwardToAgent, second.Action)
			must.EqOp(t, EndpointSilent, second.Reason)
		}
		a.now += AnswerTimeout
		overdue := a.Tick(a.now)
		must.EqOp(t, key, overdue[0].Flow)
		must.EqOp(t, otherAgentAddress, overdue[0].Verdict.To)
		must.True(t, a.Usage(a.now).Silent)
		_, v = a.offer()
		must.EqOp(t, ForwardToAgent, v.Action)
		began := a.now
		for a.Silent(a.now) {
			a.now += 10 * time.Millisecond
		}
		pauses = append(pauses, a.now-began)
	}
	must.Eq(t, []time.Duration{minSilence, 2 * minSilence, 4 * minSilence, maxSilence, maxSilence}, pauses)
	key, v := a.offer()
	must.EqOp(t, Deliver, v.Action)
	a.FromEndpoint(a.now, Packet{Flow: key, Accepting: true, Sequence: 5})
	_, v = a.offer()
	must.EqOp(t, Deliver, v.Action)
	must.SliceEmpty(t, a.Tick(a.now+AnswerTimeout-1))
}

// An endpoint that answers other flows in time is slow with one flow, not silent.
func TestOneSlowAnswerIsNotSilence(t *testing.T) {
	a := &silentAgent{AgentTable: NewAgentTable(time.Second, 2, time.Minute, true), now: time.Second}
	a.offer()
	a.now += AnswerTimeout / 2
	a.FromEndpoint(a.now, Packet{Flow: Key{Service: serviceAddress}, Data: 1})
	a.now += AnswerTimeout / 2
	must.EqOp(t, 1, len(a.Tick(a.now)))
	must.False(t, a.Silent(a.now))
}

// After a loss of power, agents of machines whose endpoints did not return delivered thousands of
// packets to nobody, and lost flows waited for them.
func TestEndpointThatIgnoresUnknownFlowsIsSilent(t *testing.T) {
	now := time.Minute
	table := NewAgentTable(now, 2, time.Minute, false)
	try := func(port int) {
		v := table.FromBalancer(now, Packet{Flow: callerKey(port), Data: 100}, Delivery{Search: true}, nil)
		must.EqOp(t, Tried, v.Reason)
	}
	for port := range minTrials {
		try(port + 1)
	}
	must.False(t, table.Silent(now))
	now += trialTimeout + time.Millisecond
	must.True(t, table.Silent(now))

	// A packet that the endpoint returns shows that it runs.
	table.FromEndpoint(now, Packet{Flow: callerKey(1), Data: 100, ReturnedByEndpoint: true})
	must.False(t, table.Silent(now))

	// One long request is no sign.
	try(9)
	must.False(t, table.Silent(now+trialTimeout+time.Millisecond))
}
