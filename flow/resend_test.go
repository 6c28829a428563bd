package flow

import (
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// unreportedRoutingTable has one service whose agents have not reported yet.
func unreportedRoutingTable(agents int) *RoutingTable {
	routing, service := testRoutingTable(agents)
	for _, endpoint := range service.Accepting {
		endpoint.AgentLoad = new(placement.AgentLoad)
	}
	return routing
}

// receiveReport records an empty report of an agent.
func (routing *RoutingTable) receiveReport(now Timestamp, agent Address) {
	routing.Agents[agent].AgentLoad.Report(now, placement.Usage{})
}

// An agent that starts after a flow was searched for is queried on its first report.
// Once it has denied the flow as well, the flow ends.
func TestSearchIsResentToAgentThatReportsLater(t *testing.T) {
	a, routing := newTestAssignments(), unreportedRoutingTable(2)
	first, second := agentAt(0), agentAt(1)
	now := time.Second
	routing.receiveReport(now, first)
	packet := Packet{Flow: callerKey(1), Acknowledged: 77, Data: 10}
	must.Eq(t, []Address{first}, a.FromCaller(now, packet, routing, []byte("data")).SearchAgents)
	must.False(t, decisionOf(a.Denied(now, callerKey(1), first, routing)).SendReset)
	now += 50 * time.Millisecond
	routing.receiveReport(now, second)
	resends := a.AgentReported(now, second, routing)
	must.Len(t, 1, resends)
	must.Eq(t, []Address{second}, resends[0].Decision.SearchAgents)
	must.EqOp(t, "data", string(resends[0].Datagram))
	must.SliceEmpty(t, a.AgentReported(now, first, routing))
	over := decisionOf(a.Denied(now, callerKey(1), second, routing))
	must.True(t, over.SendReset)
	must.EqOp(t, 77, over.Reset.Acknowledged)
}

// An opening packet was sent to an agent that had not started. It is resent to the
// first agent that reports: the same one or another of the service.
func TestOpeningIsResentWhenAgentReports(t *testing.T) {
	opening := Packet{Flow: callerKey(1), Opening: true}
	for name, reporting := range map[string]func(placed Address, routing *RoutingTable) Address{
		"the same": func(placed Address, _ *RoutingTable) Address { return placed },
		"another": func(placed Address, routing *RoutingTable) Address {
			for agent := range routing.Agents {
				if agent != placed {
					return agent
				}
			}
			return Address{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, routing := newTestAssignments(), unreportedRoutingTable(2)
			placed := a.FromCaller(time.Second, opening, routing, []byte("opening")).To
			now := time.Second + 50*time.Millisecond
			agent := reporting(placed, routing)
			routing.receiveReport(now, agent)
			resends := a.AgentReported(now, agent, routing)
			must.Len(t, 1, resends)
			must.EqOp(t, agent, resends[0].Decision.To)
			must.EqOp(t, "opening", string(resends[0].Datagram))
			must.SliceEmpty(t, a.AgentReported(now, agent, routing))
			must.EqOp(t, agent, a.FromCaller(now, Packet{Flow: callerKey(1), Data: 1}, routing, nil).To)
		})
	}
}

// Packets whose agent was responsive, and packets that have expired, are not resent.
func TestReceivedOrExpiredPacketsAreNotResent(t *testing.T) {
	a, routing := newTestAssignments(), unreportedRoutingTable(2)
	opening := Packet{Flow: callerKey(1), Opening: true}
	for agent := range routing.Agents {
		routing.receiveReport(time.Second, agent)
	}
	placed := a.FromCaller(time.Second, opening, routing, []byte("opening")).To
	must.SliceEmpty(t, a.AgentReported(time.Second, placed, routing))
	must.SliceEmpty(t, a.AgentReported(time.Second, Address{Port: 1}, routing))
	late := time.Minute
	other := Packet{Flow: callerKey(2), Opening: true}
	to := a.FromCaller(late, other, routing, []byte("opening")).To
	must.SliceEmpty(t, a.AgentReported(late+openingExpiry+1, to, routing))
}

// Agents that started more than 0.2 s after a caller's last copy of an opening packet did not get
// it, and the caller gave up 0.6 s later although endpoints were free.
func TestLastCopiesAreStoredUntilTheirCallersGiveUp(t *testing.T) {
	for number, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		for _, late := range []bool{false, true} {
			a, routing := newTestAssignments(), unreportedRoutingTable(1)
			now := time.Second
			a.FromCaller(now, Packet{Flow: callerKey(1), Opening: true, Copy: uint32(number)}, routing, []byte("opening"))
			now += wait
			if late {
				now++
			}
			routing.receiveReport(now, agentAt(0))
			resends := a.AgentReported(now, agentAt(0), routing)
			must.EqOp(t, !late, len(resends) == 1, must.Sprintf("copy %d, late=%t", number, late))
		}
	}
}

// While endpoints may be missing from the table, a flow that all known ones deny does not
// end. It ends once the table is complete and still no endpoint holds it.
func TestSearchEndsOnlyWithCompleteRoutingTable(t *testing.T) {
	a, routing := newTestAssignments(), unreportedRoutingTable(1)
	routing.Complete = false
	agent, now := agentAt(0), time.Second
	routing.receiveReport(now, agent)
	must.Len(t, 1, a.FromCaller(now, Packet{Flow: callerKey(1), Acknowledged: 5, Data: 10}, routing, []byte("data")).SearchAgents)
	must.False(t, decisionOf(a.Denied(now, callerKey(1), agent, routing)).SendReset)
	must.SliceEmpty(t, a.EndSearches(now, routing))
	routing.Complete = true
	over := a.EndSearches(now, routing)
	must.Len(t, 1, over)
	must.EqOp(t, 5, over[0].Reset.Acknowledged)
	must.SliceEmpty(t, a.EndSearches(now, routing))
}

// decisionOf drops the datagram that Denied returns with its decision.
func decisionOf(d Decision, _ []byte) Decision { return d }
