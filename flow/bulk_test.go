package flow

import (
	"math/rand/v2"
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// bulkSearch is a balancer that queries two agents in bulk for a flow.
func newBulkSearch(t *testing.T, now Timestamp) (*Assignments, *RoutingTable, []BulkDatagram) {
	a, routing := newTestAssignments(), knowingRoutingTable(2)
	for i := range 2 {
		routing.Agents[agentAt(i)].AgentLoad.Report(now, placement.Usage{FlowsKnown: true, BulkQueries: true})
	}
	a.bulk.lost = lostThreshold
	d := a.FromCaller(now, Packet{Flow: callerKey(1), Acknowledged: 77, Data: 900}, routing, []byte("data"))
	must.EqOp(t, 2, d.BulkQueried)
	datagrams := a.FlushBulk(a.BulkDueAt())
	must.Len(t, 2, datagrams)
	return a, routing, datagrams
}

// A flow that another balancer opened after the agent had answered a bulk query, and that then
// moves to this balancer, must not be denied by that answer.
func TestBulkAnswerOfAnEarlierSearchDeniesNothing(t *testing.T) {
	const now = time.Minute
	a, routing, datagrams := newBulkSearch(t, now)
	later := now + searchTimeout + time.Millisecond
	for i := range 2 {
		routing.Agents[agentAt(i)].AgentLoad.Report(later, placement.Usage{FlowsKnown: true, BulkQueries: true})
	}
	a.FromCaller(later, Packet{Flow: callerKey(1), Acknowledged: 99, Data: 900}, routing, []byte("new"))
	for _, d := range datagrams {
		held, next := a.BulkAnswered(later, d.Agent, BulkAnswer{ID: d.ID, Complete: true}, routing)
		must.SliceEmpty(t, held)
		must.SliceEmpty(t, next)
	}
	must.MapEmpty(t, a.searches.flows[callerKey(1)].denied)
}

// Answers that are duplicated, come from another agent, or answer no query must deny nothing.
func TestForeignBulkAnswersDenyNothing(t *testing.T) {
	const now = time.Minute
	a, routing, datagrams := newBulkSearch(t, now)
	first := datagrams[0]
	for _, answer := range []struct {
		agent Address
		id    uint64
	}{{datagrams[1].Agent, first.ID}, {first.Agent, first.ID + 100}} {
		_, next := a.BulkAnswered(now, answer.agent, BulkAnswer{ID: answer.id, Complete: true}, routing)
		must.SliceEmpty(t, next)
	}
	must.MapEmpty(t, a.searches.flows[callerKey(1)].denied)

	for range 2 {
		_, next := a.BulkAnswered(now, first.Agent, BulkAnswer{ID: first.ID, Complete: true}, routing)
		must.SliceEmpty(t, next)
	}
	_, next := a.BulkAnswered(now, datagrams[1].Agent, BulkAnswer{ID: datagrams[1].ID, Complete: true}, routing)
	must.Len(t, 1, next)
	must.True(t, next[0].Decision.SendReset)
}

// An agent that does not know all flows, or has another flow with the same fingerprint, must not
// deny the flow.
func TestBulkAnswerWithoutCertaintyLeadsToAQuery(t *testing.T) {
	const now = time.Minute
	key := callerKey(1)
	for name, answer := range map[string]BulkAnswer{
		"incomplete":               {},
		"state is not certain":     {Complete: true, Unsure: []Fingerprint{key.Fingerprint()}},
		"other flow, same as this": {Complete: true, Held: []Key{callerKey(2)}, Unsure: []Fingerprint{key.Fingerprint()}},
	} {
		t.Run(name, func(t *testing.T) {
			a, routing, datagrams := newBulkSearch(t, now)
			answer.ID = datagrams[0].ID
			held, next := a.BulkAnswered(now, datagrams[0].Agent, answer, routing)
			must.SliceEmpty(t, held)
			must.Len(t, 1, next)
			must.Eq(t, []Address{datagrams[0].Agent}, next[0].Decision.QueryAgents)
			must.MapEmpty(t, a.searches.flows[key].denied)
			// An agent that was restarted since its last report gets the packet, not another query.
			d, datagram := a.Unsure(now, key, datagrams[0].Agent, routing)
			must.EqOp(t, 0, d.BulkQueried)
			must.Eq(t, []Address{datagrams[0].Agent}, d.SearchAgents)
			must.EqOp(t, "data", string(datagram))
		})
	}
}

// An agent denies a flow only if it has none with the fingerprint in any state.
func TestAgentDeniesOnlyUnknownFlowsInBulk(t *testing.T) {
	const now = time.Minute
	table := NewAgentTable(now, 2, simFlowLifetime, false)
	open, offeredOnly, unknown := callerKey(1), callerKey(2), callerKey(3)
	query := BulkQuery{ID: 5, Fingerprints: []Fingerprint{open.Fingerprint(), offeredOnly.Fingerprint(), unknown.Fingerprint()}}
	must.False(t, table.BulkQuery(now, query).Complete)
	table.ConfirmComplete(1)
	for _, key := range []Key{open, offeredOnly, callerKey(4)} {
		table.FromBalancer(now, Packet{Flow: key, Opening: true}, Delivery{}, []byte("opening"))
	}
	table.FromEndpoint(now, Packet{Flow: open, Accepting: true, Sequence: 1000})
	table.FromBalancer(now, Packet{Flow: open, Acknowledged: 1001}, Delivery{}, nil)
	must.Eq(t, BulkAnswer{ID: 5, Complete: true, Held: []Key{open}, Unsure: []Fingerprint{offeredOnly.Fingerprint()}}, table.BulkQuery(now, query))
}

// Bulk queries that are lost are repeated, without the caller and without its packet.
func TestLostBulkQueriesAreRepeated(t *testing.T) {
	const now = time.Minute
	a, routing, datagrams := newBulkSearch(t, now)
	a.BulkAnswered(now, datagrams[0].Agent, BulkAnswer{ID: datagrams[0].ID, Complete: true}, routing)
	later := now + bulkDelay + bulkRetry
	retried, _ := a.RetrySearches(later, routing)
	must.Len(t, 1, retried)
	must.SliceEmpty(t, retried[0].Decision.SearchAgents)
	repeated := a.FlushBulk(a.BulkDueAt())
	must.Len(t, 1, repeated)
	must.EqOp(t, datagrams[1].Agent, repeated[0].Agent)
	_, next := a.BulkAnswered(later, repeated[0].Agent, BulkAnswer{ID: repeated[0].ID, Complete: true}, routing)
	must.Len(t, 1, next)
	must.True(t, next[0].Decision.SendReset)
}

// Agents of older builds do not answer bulk queries; they get queries for each flow.
func TestAgentsWithoutBulkQueriesAreQueriedForEachFlow(t *testing.T) {
	const now = time.Minute
	a, routing := newTestAssignments(), knowingRoutingTable(2)
	routing.Agents[agentAt(0)].AgentLoad.Report(now, placement.Usage{FlowsKnown: true, BulkQueries: true})
	routing.Agents[agentAt(1)].AgentLoad.Report(now, placement.Usage{FlowsKnown: true})
	a.bulk.lost = lostThreshold
	d := a.FromCaller(now, Packet{Flow: callerKey(1), Acknowledged: 77, Data: 900}, routing, []byte("data"))
	must.EqOp(t, 1, d.BulkQueried)
	must.Eq(t, []Address{agentAt(1)}, d.QueryAgents)
}

// An agent answers a query of a balancer that was restarted since; the new process, which had not seen the
// flow at that time, must not take the answer for one to its own query.
func TestBulkQueriesOfEachProcessDiffer(t *testing.T) {
	first := NewAssignments(time.Minute, rand.New(rand.NewPCG(1, 2)))
	second := NewAssignments(time.Minute, rand.New(rand.NewPCG(3, 4)))
	must.Greater(t, 1<<32, max(first.bulk.lastID, second.bulk.lastID)-min(first.bulk.lastID, second.bulk.lastID))
}
