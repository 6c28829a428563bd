package flow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// openedFlow returns an agent's table with one open flow.
func openedFlow(t *testing.T) (*AgentTable, Key) {
	table := NewAgentTable(time.Second, 2, time.Minute, true)
	return table, openAnother(t, table, 1)
}

func openAnother(t *testing.T, table *AgentTable, port uint16) Key {
	key := Key{Caller: Address{IP: [4]byte{100, 64, 0, 1}, Port: port}, Service: serviceAddress}
	must.EqOp(t, Deliver, table.FromBalancer(time.Second, Packet{Flow: key, Opening: true}, Delivery{}, nil).Action)
	table.FromEndpoint(time.Second, Packet{Flow: key, Accepting: true, Sequence: 10})
	must.EqOp(t, Deliver, table.FromBalancer(time.Second, Packet{Flow: key, Sequence: 1, Acknowledged: 11}, Delivery{}, nil).Action)
	return key
}

func request(key Key, sequence uint32) Packet {
	return Packet{Flow: key, Sequence: sequence, Acknowledged: 11, Data: 100}
}

// A request is in progress from its first packet to the first packet of its answer. A
// packet that is retransmitted after the answer starts no new request.
func TestRunningRequests(t *testing.T) {
	table, key := openedFlow(t)
	running := func() int { return table.Usage(time.Second).Running }
	must.True(t, table.FromBalancer(time.Second, request(key, 1), Delivery{}, nil).RequestBegins)
	must.False(t, table.FromBalancer(time.Second, request(key, 101), Delivery{}, nil).RequestBegins)
	must.EqOp(t, 1, running())
	must.True(t, table.FromEndpoint(2*time.Second, Packet{Flow: key, Data: 10}).RequestEnds)
	must.EqOp(t, 0, running())
	must.False(t, table.FromBalancer(2*time.Second, request(key, 101), Delivery{}, nil).RequestBegins)
	must.EqOp(t, 0, running())
	must.True(t, table.FromBalancer(3*time.Second, request(key, 201), Delivery{}, nil).RequestBegins)
	must.EqOp(t, 1, running())
}

func TestVerdictNamesEndedRequest(t *testing.T) {
	table, first := openedFlow(t)
	second := openAnother(t, table, 2)
	table.FromBalancer(time.Second, request(first, 1), Delivery{}, nil)
	table.FromBalancer(2*time.Second, request(second, 1), Delivery{}, nil)
	table.SetRequestID(second, "id")
	v := table.FromEndpoint(5*time.Second, Packet{Flow: second, Data: 1})
	must.Eq(t, Request{ID: "id", Elapsed: 3 * time.Second, Concurrent: 1}, v.EndedRequest)
}

// A busy agent forwards a new flow only to an agent that was less busy.
func TestBusyAgentForwardsToLessBusyAgent(t *testing.T) {
	for _, c := range []struct {
		running, alternate int
		want               Action
	}{{1, 0, Deliver}, {2, 0, ForwardToAgent}, {2, 1, ForwardToAgent}, {2, 2, Deliver}, {3, 2, ForwardToAgent}, {3, 9, Deliver}} {
		table := NewAgentTable(time.Second, 2, time.Minute, true)
		for port := range c.running {
			table.FromBalancer(time.Second, request(openAnother(t, table, uint16(port+10)), 1), Delivery{}, nil)
		}
		key := Key{Caller: Address{Port: 1}, Service: serviceAddress}
		d := Delivery{Alternate: otherAgentAddress, AlternateRunning: uint8(c.alternate)}
		must.EqOp(t, c.want, table.FromBalancer(time.Second, Packet{Flow: key, Opening: true}, d, nil).Action, must.Sprint(c))
	}
}

func TestLostFlowEndsItsRequest(t *testing.T) {
	table, key := openedFlow(t)
	table.FromBalancer(time.Second, request(key, 1), Delivery{}, nil)
	p := request(key, 1)
	p.ReturnedByEndpoint = true
	v := table.FromEndpoint(2*time.Second, p)
	must.EqOp(t, SendReset, v.Action)
	must.True(t, v.RequestEnds)
	must.EqOp(t, 0, table.Usage(2*time.Second).Running)
	must.EqOp(t, SendReset, table.FromBalancer(2*time.Second, request(key, 1), Delivery{}, nil).Action)
}

// An endpoint that resets a flow ends its request without an answer.
func TestEndpointResetEndsRequest(t *testing.T) {
	table, key := openedFlow(t)
	table.FromBalancer(time.Second, request(key, 1), Delivery{}, nil)
	v := table.FromEndpoint(2*time.Second, Packet{Flow: key, Reset: true})
	must.EqOp(t, ToCaller, v.Action)
	must.EqOp(t, EndpointReset, v.Reason)
	must.True(t, v.RequestEnds)
	must.Eq(t, Usage{RunningTime: time.Second}, table.Usage(2*time.Second))
}

// After a restart of the agent, a caller repeats a request on a flow that the endpoint has
// answered and closed, in either order. It kept the endpoint saturated until the flow expired.
func TestClosedFlowKeepsNoRequestInProgress(t *testing.T) {
	key := Key{Caller: Address{IP: [4]byte{100, 64, 0, 1}, Port: 1}, Service: serviceAddress}
	closing := Packet{Flow: key, Closing: true}
	t.Run("request first", func(t *testing.T) {
		table := NewAgentTable(time.Second, 2, time.Minute, false)
		must.True(t, table.FromBalancer(time.Second, request(key, 1), Delivery{}, nil).RequestBegins)
		must.False(t, table.FromEndpoint(time.Second, closing).RequestEnds)
		must.EqOp(t, 0, table.Usage(time.Second).Running)
	})
	t.Run("end of flow first", func(t *testing.T) {
		table := NewAgentTable(time.Second, 2, time.Minute, false)
		table.FromEndpoint(time.Second, closing)
		must.False(t, table.FromBalancer(time.Second, request(key, 1), Delivery{}, nil).RequestBegins)
		must.EqOp(t, 0, table.Usage(time.Second).Running)
	})
}

func TestSweepReturnsUnansweredRequests(t *testing.T) {
	table, key := openedFlow(t)
	table.FromBalancer(time.Second, request(key, 1), Delivery{}, nil)
	must.SliceEmpty(t, table.Sweep(time.Minute))
	abandoned := table.Sweep(2*time.Minute + time.Second)
	must.EqOp(t, 1, len(abandoned))
	must.EqOp(t, key, abandoned[0].Flow)
	must.Eq(t, Usage{RunningTime: 2 * time.Minute}, table.Usage(2*time.Minute+time.Second))
}

func TestHopsAreBounded(t *testing.T) {
	table, key := openedFlow(t)
	must.EqOp(t, Deliver, table.FromBalancer(time.Second, request(key, 1), Delivery{Hops: maxHops}, nil).Action)
	must.EqOp(t, Drop, table.FromBalancer(time.Second, request(key, 1), Delivery{Hops: maxHops + 1}, nil).Action)
}
