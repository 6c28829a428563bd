package flow

import (
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// assumedSearch is a search for a flow of a route that may have left another service with
// one endpoint, while every agent of the present service has denied the flow.
type assumedSearch struct {
	assignments *Assignments
	routing     *RoutingTable
	route       *Route
	other       *Endpoint
	key         Key
	started     Timestamp
	// ended is true if the flow ended when the present service had denied it.
	ended bool
}

// newAssumedSearch starts the search at the given time, on a balancer that learned of the
// other service's endpoint an interval before. prepare sets up the other service's endpoint, whose agent has not reported.
func newAssumedSearch(t *testing.T, now Timestamp, age time.Duration, prepare func(*Endpoint)) *assumedSearch {
	a, routing := newTestAssignments(), knowingRoutingTable(2)
	for i := range 2 {
		routing.Agents[agentAt(i)].AgentLoad.Report(now, placement.Usage{FlowsKnown: true})
	}
	service := &Service{Name: "drawings", ID: 3, Tag: 3}
	addEndpoint(routing, service, 2)
	s := &assumedSearch{
		assignments: a, routing: routing, route: routing.Routes[serviceAddress], other: routing.Agents[agentAt(2)],
		key: callerKey(1), started: now,
	}
	s.route.Assumed = []*Service{service}
	routing.CurrentAt = func() Timestamp { return now }
	s.other.AddedAt = now - age
	s.other.AgentLoad = new(placement.AgentLoad)
	prepare(s.other)
	a.FromCaller(now, Packet{Flow: s.key, Acknowledged: 77, Data: 900}, routing, []byte("data"))
	must.False(t, decisionOf(a.Denied(now, s.key, agentAt(0), routing)).SendReset)
	s.ended = decisionOf(a.Denied(now, s.key, agentAt(1), routing)).SendReset
	return s
}

// endsAfter returns how long after its start the search ends the flow, unless it takes
// longer than the flow's caller waits.
func (s *assumedSearch) endsAfter() (time.Duration, bool) {
	if s.ended {
		return 0, true
	}
	const step = 10 * time.Millisecond
	for now := s.started; now < s.started+searchTimeout; now += step {
		retried, _ := s.assignments.RetrySearches(now, s.routing)
		if len(retried) == 1 && retried[0].Decision.SendReset {
			return now - s.started, true
		}
	}
	return 0, false
}

// A flow of a route whose history is not known was reset 0.3 s after the begin of its search,
// although the agent of the endpoint that holds it had not answered yet.
func TestFlowAtAssumedServiceIsNotResetUnanswered(t *testing.T) {
	const now = time.Minute
	lives := map[string]func(*Endpoint){
		"agent knows its flows": func(e *Endpoint) {
			e.AgentLoad.Report(now, placement.Usage{FlowsKnown: true, Interval: searchTimeout})
		},
		"agent knows its flows, and the entry has lapsed": func(e *Endpoint) {
			e.AgentLoad.Report(now, placement.Usage{FlowsKnown: true, Interval: searchTimeout})
			e.Unregistered = true
		},
		"agent is being restarted": func(e *Endpoint) {
			e.AgentLoad.Report(now-time.Second, placement.Usage{FlowsKnown: true, Leaving: true})
		},
		"agent was restarted, and the registry confirms the endpoint": func(e *Endpoint) {
			e.AgentLoad.Report(now, placement.Usage{Interval: searchTimeout})
			e.ConfirmedFrom = now
		},
		"agent has introduced itself to another balancer": func(e *Endpoint) {
			e.Introduced, e.Unregistered = true, true
		},
		"agent is silent, and the registry confirms the endpoint": func(e *Endpoint) { e.ConfirmedFrom = now },
	}
	for name, prepare := range lives {
		t.Run(name, func(t *testing.T) {
			_, ended := newAssumedSearch(t, now, 2*agentStartTime, prepare).endsAfter()
			must.False(t, ended)
		})
	}
}

// While an agent was cut off from a balancer that started after all of them had been killed, a
// flow at its endpoint was reset 1 s after that start. Agents of other machines show that there
// was no loss of power.
func TestFlowAtSilentAgentIsAwaitedIfAgentsOutlivedBalancers(t *testing.T) {
	const now = time.Minute
	s := newAssumedSearch(t, now, 2*agentStartTime, func(e *Endpoint) { e.ConfirmedFrom = now + time.Hour })
	s.routing.Outlived = func() bool { return true }
	_, ended := s.endsAfter()
	must.False(t, ended)

	s = newAssumedSearch(t, now, 2*agentStartTime, func(e *Endpoint) { e.Unregistered = true })
	s.routing.Outlived = func() bool { return true }
	after, ended := s.endsAfter()
	must.True(t, ended)
	must.LessEq(t, assumedTimeout+maxRetryInterval, after)
}

// After all balancers were killed, a flow was reset because its endpoint's entry had expired
// and no balancer knew of it. If agents outlived the balancers, flows end only once such entries
// are registered again.
func TestNoFlowEndsBeforeExpiredEntriesAreBack(t *testing.T) {
	const now = time.Minute
	for _, outlived := range []bool{false, true} {
		a, routing := newTestAssignments(), knowingRoutingTable(1)
		routing.Agents[agentAt(0)].AgentLoad.Report(now, placement.Usage{FlowsKnown: true})
		routing.SettledAt, routing.Outlived = now+time.Second, func() bool { return outlived }
		key := callerKey(1)
		a.FromCaller(now, Packet{Flow: key, Acknowledged: 77, Data: 900}, routing, []byte("data"))
		must.EqOp(t, !outlived, decisionOf(a.Denied(now, key, agentAt(0), routing)).SendReset)
		must.Len(t, 0, a.EndSearches(now+time.Second-1, routing))
		ended := a.EndSearches(now+time.Second, routing)
		must.EqOp(t, outlived, len(ended) == 1 && ended[0].SendReset)
	}
}

// A balancer that has just learned of an endpoint waits for its agent, which may be starting.
func TestAssumedServiceIsAwaitedWhileAgentsStart(t *testing.T) {
	const now = time.Minute
	s := newAssumedSearch(t, now, agentStartTime/4, func(*Endpoint) {})
	after, ended := s.endsAfter()
	must.True(t, ended)
	must.GreaterEq(t, agentStartTime*3/4, after)
}

// While it is not known which services a route left, the agents of all are queried, but one
// that cannot answer, since its endpoint does not run, holds up no lost flow for long.
func TestAssumedFormerServiceHoldsUpNoFlow(t *testing.T) {
	const now = time.Minute
	gone := map[string]func(*Endpoint){
		"machine has not returned": func(e *Endpoint) { e.ConfirmedFrom = now + time.Second },
		"agent runs without its endpoint": func(e *Endpoint) {
			e.AgentLoad.Report(now, placement.Usage{Interval: searchTimeout})
			e.ConfirmedFrom = now + time.Second
		},
		"agent introduced itself, but does not know its flows": func(e *Endpoint) {
			e.AgentLoad.Report(now, placement.Usage{Interval: searchTimeout})
			e.Introduced, e.Unregistered = true, true
		},
		"agent of an unknown endpoint that does not run was stopped": func(e *Endpoint) {
			e.AgentLoad.Report(now-time.Second, placement.Usage{Silent: true})
			e.Introduced, e.Unregistered = true, true
		},
		"endpoint has left, and its agent runs": func(e *Endpoint) {
			e.AgentLoad.Report(now, placement.Usage{Interval: searchTimeout})
			e.Unregistered = true
		},
	}
	for name, prepare := range gone {
		t.Run(name, func(t *testing.T) {
			after, ended := newAssumedSearch(t, now, agentStartTime, prepare).endsAfter()
			must.True(t, ended)
			must.LessEq(t, assumedTimeout+maxRetryInterval, after)
		})
	}
}

// A service that the route is known to have left is awaited also while its history is not
// known, and its agents are queried before those of other services.
func TestKnownFormerServiceIsAwaitedWhileHistoryIsUnknown(t *testing.T) {
	const now = time.Minute
	s := newAssumedSearch(t, now, 0, func(*Endpoint) {})
	s.other.AddedAt, s.route.Former = now-2*agentStartTime, s.route.Assumed
	_, ended := s.endsAfter()
	must.False(t, ended)

	third := &Service{Name: "maps", ID: 4, Tag: 4}
	addEndpoint(s.routing, third, 3)
	s.route.Assumed = append(s.route.Assumed, third)
	must.Eq(t, []Address{agentAt(2)}, newSearch(now).remainingIn(formerWave, s.key, s.route))
	must.Eq(t, []Address{agentAt(3)}, newSearch(now).remainingIn(assumedWave, s.key, s.route))
}

// Machines whose endpoints no registry lists were removed after a loss of power. All lost flows
// waited for their agents until these were forgotten, 3 s later.
func TestUnknownAgentThatCeasedToReportIsAwaitedForItsRestart(t *testing.T) {
	const now, restart = time.Minute, agentStartTime + assumedTimeout
	for _, silent := range []time.Duration{restart / 2, restart - 10*time.Millisecond, 2 * restart} {
		after, ended := newAssumedSearch(t, now, 2*agentStartTime, func(e *Endpoint) {
			e.AgentLoad.Report(now-silent, placement.Usage{})
			e.Introduced, e.Unregistered = true, true
		}).endsAfter()
		must.True(t, ended)
		must.GreaterEq(t, restart-silent, after)
		must.LessEq(t, max(restart-silent, 0)+maxRetryInterval, after)
	}
}

// An agent that knew its flows was not awaited if its endpoint had left an opening packet
// unanswered before the machine froze, although it holds flows.
func TestFrozenUnknownAgentIsAwaitedAlsoIfItsEndpointWasSilent(t *testing.T) {
	const now = time.Minute
	_, ended := newAssumedSearch(t, now, 2*agentStartTime, func(e *Endpoint) {
		e.AgentLoad.Report(now-time.Second, placement.Usage{Silent: true, FlowsKnown: true})
		e.Introduced, e.Unregistered = true, true
	}).endsAfter()
	must.False(t, ended)
}
