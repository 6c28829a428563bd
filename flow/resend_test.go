package flow

import (
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// unreportedMap has one service whose agents have not reported yet.
func unreportedMap(agents int) *RoutingTable {
	m, service := testMap(agents)
	for _, site := range service.Accepting {
		site.AgentLoad = new(placement.AgentLoad)
	}
	return m
}

// receiveReport records an empty report of an agent.
func (m *RoutingTable) receiveReport(now Timestamp, agent Address) {
	m.Agents[agent].AgentLoad.Report(now, placement.Usage{})
}

// An agent that starts after a flow was searched for is queried on its first report.
// Once it has denied the flow as well, the flow ends.
func TestSearchIsResentToAgentThatReportsLater(t *testing.T) {
	p, m := newTestAssignments(), unreportedMap(2)
	first, second := agentAt(0), agentAt(1)
	now := time.Second
	m.receiveReport(now, first)
	packet := Packet{Flow: callerKey(1), Acknowledged: 77, Data: 10}
	must.Len(t, 2, p.FromCaller(now, packet, m, []byte("data")).SearchAgents)
	must.False(t, decisionOf(p.Denied(now, callerKey(1), first, m)).SendReset)
	now += 50 * time.Millisecond
	again := p.AgentReported(now, second, m)
	must.Len(t, 1, again)
	must.Eq(t, []Address{second}, again[0].Decision.SearchAgents)
	must.EqOp(t, "data", string(again[0].Datagram))
	must.SliceEmpty(t, p.AgentReported(now, first, m))
	over := decisionOf(p.Denied(now, callerKey(1), second, m))
	must.True(t, over.SendReset)
	must.EqOp(t, 77, over.Reset.Acknowledged)
}

// An opening packet was sent to an agent that had not started. It is resent to the
// first agent that reports: the same one or another of the service.
func TestOpeningIsResentWhenAgentReports(t *testing.T) {
	opening := Packet{Flow: callerKey(1), Opening: true}
	for name, reporting := range map[string]func(placed Address, m *RoutingTable) Address{
		"the same": func(placed Address, _ *RoutingTable) Address { return placed },
		"another": func(placed Address, m *RoutingTable) Address {
			for agent := range m.Agents {
				if agent != placed {
					return agent
				}
			}
			return Address{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, m := newTestAssignments(), unreportedMap(2)
			placed := p.FromCaller(time.Second, opening, m, []byte("opening")).To
			now := time.Second + 50*time.Millisecond
			agent := reporting(placed, m)
			m.receiveReport(now, agent)
			again := p.AgentReported(now, agent, m)
			must.Len(t, 1, again)
			must.EqOp(t, agent, again[0].Decision.To)
			must.EqOp(t, "opening", string(again[0].Datagram))
			must.SliceEmpty(t, p.AgentReported(now, agent, m))
			must.EqOp(t, agent, p.FromCaller(now, Packet{Flow: callerKey(1), Data: 1}, m, nil).To)
		})
	}
}

// Packets whose agent was responsive, and packets that have expired, are not resent.
func TestReceivedOrExpiredPacketsAreNotResent(t *testing.T) {
	p, m := newTestAssignments(), unreportedMap(2)
	opening := Packet{Flow: callerKey(1), Opening: true}
	for agent := range m.Agents {
		m.receiveReport(time.Second, agent)
	}
	placed := p.FromCaller(time.Second, opening, m, []byte("opening")).To
	must.SliceEmpty(t, p.AgentReported(time.Second, placed, m))
	must.SliceEmpty(t, p.AgentReported(time.Second, Address{Port: 1}, m))
	late := time.Minute
	other := Packet{Flow: callerKey(2), Opening: true}
	to := p.FromCaller(late, other, m, []byte("opening")).To
	must.SliceEmpty(t, p.AgentReported(late+openingExpiry+1, to, m))
}

// While endpoints may be missing from the map, a flow that all known ones deny does not
// end. It ends once the map is complete and still no endpoint holds it.
func TestSearchEndsOnlyWithCompleteMap(t *testing.T) {
	p, m := newTestAssignments(), unreportedMap(1)
	m.Complete = false
	agent, now := agentAt(0), time.Second
	must.Len(t, 1, p.FromCaller(now, Packet{Flow: callerKey(1), Acknowledged: 5, Data: 10}, m, []byte("data")).SearchAgents)
	must.False(t, decisionOf(p.Denied(now, callerKey(1), agent, m)).SendReset)
	must.SliceEmpty(t, p.EndSearches(now, m))
	m.Complete = true
	over := p.EndSearches(now, m)
	must.Len(t, 1, over)
	must.EqOp(t, 5, over[0].Reset.Acknowledged)
	must.SliceEmpty(t, p.EndSearches(now, m))
}

// decisionOf drops the datagram that Denied returns with its decision.
func decisionOf(d Decision, _ []byte) Decision { return d }
