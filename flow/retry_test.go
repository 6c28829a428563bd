package flow

import (
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// knowingRoutingTable has one service whose agents know all flows of their endpoints.
func knowingRoutingTable(agents int) *RoutingTable {
	routing, service := testRoutingTable(agents)
	for _, endpoint := range service.Holders {
		endpoint.AgentLoad.Report(time.Second, placement.Usage{FlowsKnown: true})
	}
	return routing
}

// A lost answer does not hold up a search until its caller sends again, which takes up to
// 1.6 s.
func TestLostAnswerIsRequestedAgain(t *testing.T) {
	a, routing, now := newTestAssignments(), knowingRoutingTable(3), time.Second
	packet := Packet{Flow: callerKey(1), Acknowledged: 77, Data: 900}
	must.Len(t, 3, a.FromCaller(now, packet, routing, []byte("data")).QueryAgents)
	for _, agent := range []Address{agentAt(0), agentAt(2)} {
		must.False(t, decisionOf(a.Denied(now, packet.Flow, agent, routing)).SendReset)
	}
	retried, more := a.RetrySearches(now+retryInterval-1, routing)
	must.SliceEmpty(t, retried)
	must.True(t, more)
	now += retryInterval
	retried, _ = a.RetrySearches(now, routing)
	must.Len(t, 1, retried)
	must.Eq(t, []Address{agentAt(1)}, retried[0].Decision.QueryAgents)
	must.EqOp(t, 77, retried[0].Decision.Query.Acknowledged)
	must.SliceEmpty(t, retried[0].Decision.SearchAgents)
	retried, _ = a.RetrySearches(now+retryInterval, routing)
	must.SliceEmpty(t, retried, must.Sprint("the interval doubles"))
	must.True(t, decisionOf(a.Denied(now, packet.Flow, agentAt(1), routing)).SendReset)
	_, more = a.RetrySearches(now, routing)
	must.False(t, more)
}

// A search that the rate did not allow starts when it does, without its caller.
func TestDelayedSearchStartsWithoutCaller(t *testing.T) {
	a, routing, now := newTestAssignments(), knowingRoutingTable(3), time.Second
	a.SetSearchRate(1000)
	a.searches.tokens, a.searches.filledAt = 0, now
	packet := Packet{Flow: callerKey(1), Data: 900}
	must.EqOp(t, SearchWaits, a.FromCaller(now, packet, routing, []byte("data")).Reason)
	now += 2 * retryInterval
	retried, _ := a.RetrySearches(now, routing)
	must.Len(t, 1, retried)
	must.Len(t, 3, retried[0].Decision.QueryAgents)
	must.Eq(t, [][]byte{[]byte("data")}, a.Found(now, packet.Flow, agentAt(2), nil))
}

// A packet that was sent to an agent before its endpoint ran is lost. Once the agent is
// known to have started first, it is queried, and denies the flow.
func TestAgentThatBecomesCompleteIsAsked(t *testing.T) {
	a, now := newTestAssignments(), time.Second
	routing, _ := testRoutingTable(1)
	packet := Packet{Flow: callerKey(1), Acknowledged: 77, Data: 900}
	must.Len(t, 1, a.FromCaller(now, packet, routing, []byte("data")).SearchAgents)
	agent := NewAgentTable(now, 2, simFlowLifetime, false)
	must.EqOp(t, Deliver, agent.FromBalancer(now, packet, Delivery{Search: true}, nil).Action)
	must.EqOp(t, IsUnsure, agent.Query(now, Query{Flow: packet.Flow}))
	agent.ConfirmComplete(1)
	routing.Agents[agentAt(0)].AgentLoad.Report(now, placement.Usage{FlowsKnown: true})
	retried, _ := a.RetrySearches(now+retryInterval, routing)
	must.Len(t, 1, retried)
	must.Eq(t, []Address{agentAt(0)}, retried[0].Decision.QueryAgents)
	must.EqOp(t, Denies, agent.Query(now, retried[0].Decision.Query))
}
