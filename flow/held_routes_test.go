package flow

import (
	"fmt"
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// Lost flows got no reset for as long as an agent of another service was frozen, since their
// route might have used that service before all balancers were lost.
func TestFrozenAgentOfAssumedServiceHoldsUpNoFlow(t *testing.T) {
	const now, settled = time.Minute, 50 * time.Second
	otherRoute := Address{IP: [4]byte{10, 9, 0, 1}, Port: 80}
	freeze := func(e *Endpoint) {
		e.AgentLoad.Report(now-time.Second, placement.Usage{FlowsKnown: true})
		e.ConfirmedFrom = now - time.Second
	}
	cases := map[string]struct {
		prepare func(e *Endpoint)
		state   func(h *HeldRoutes)
		ends    bool
	}{
		"it holds no flow of any route": {prepare: freeze, ends: true, state: func(h *HeldRoutes) { h.Record(settled, agentAt(2), nil) }},
		"it holds flows of another route": {prepare: freeze, ends: true, state: func(h *HeldRoutes) {
			h.Record(settled, agentAt(2), []Address{otherRoute})
		}},
		"it has stated nothing": {prepare: freeze, state: func(*HeldRoutes) {}},
		"it holds flows of the route": {prepare: freeze, state: func(h *HeldRoutes) {
			h.Record(settled, agentAt(2), []Address{otherRoute, serviceAddress})
		}},
		"other balancers may have sent it flows of the route since": {prepare: freeze, state: func(h *HeldRoutes) {
			h.Record(settled-1, agentAt(2), nil)
		}},
		"its service is not known": {
			prepare: func(e *Endpoint) { freeze(e); e.Introduced, e.Unregistered = true, true },
			state:   func(h *HeldRoutes) { h.Record(settled, agentAt(2), nil) },
		},
		"it reports, and has yet to deny the flow": {
			prepare: func(e *Endpoint) {
				e.AgentLoad.Report(now, placement.Usage{FlowsKnown: true, Interval: searchTimeout})
			},
			state: func(h *HeldRoutes) { h.Record(settled, agentAt(2), nil) },
		},
	}
	for name, c := range cases {
		for _, outlived := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " outlived=", outlived), func(t *testing.T) {
				s := newAssumedSearch(t, now, 2*agentStartTime, func(e *Endpoint) { c.prepare(e) })
				s.routing.Outlived = func() bool { return outlived }
				s.routing.RoutesSettledAt, s.routing.HeldRoutes = settled, new(HeldRoutes)
				c.state(s.routing.HeldRoutes)
				after, ended := s.endsAfter()
				must.EqOp(t, c.ends, ended)
				must.LessEq(t, assumedTimeout, after)
			})
		}
	}
}

// A service that the route is known to have left is awaited whatever its agents have stated:
// other balancers may have sent them flows of the route since.
func TestStatementDoesNotExcludeFlowsOfKnownFormerService(t *testing.T) {
	const now = time.Minute
	s := newAssumedSearch(t, now, 2*agentStartTime, func(e *Endpoint) {
		e.AgentLoad.Report(now-time.Second, placement.Usage{FlowsKnown: true})
	})
	s.route.Former = s.route.Assumed
	s.routing.HeldRoutes = new(HeldRoutes)
	s.routing.HeldRoutes.Record(now-time.Second, agentAt(2), nil)
	_, ended := s.endsAfter()
	must.False(t, ended)
}

// An agent that omits the route of a flow which its endpoint holds gets that flow reset.
func TestAgentStatesRoutesOfEveryFlow(t *testing.T) {
	const now = time.Minute
	table := NewAgentTable(now, 2, time.Hour, false)
	_, ok := table.HeldRoutes(now)
	must.False(t, ok, must.Sprint("an earlier agent may have delivered flows"))
	table.ConfirmComplete(1)
	routes, ok := table.HeldRoutes(now)
	must.True(t, ok)
	must.SliceEmpty(t, routes)

	second := Address{IP: [4]byte{10, 9, 0, 1}, Port: 80}
	for i := range 6 {
		key := callerKey(i)
		if i%2 == 1 {
			key.Service = second
		}
		table.FromBalancer(now, Packet{Flow: key, Opening: true}, Delivery{}, []byte("opening"))
	}
	routes, ok = table.HeldRoutes(now)
	must.True(t, ok)
	must.SliceContainsAll(t, routes, []Address{serviceAddress, second})

	for i := range maxHeldRoutes {
		key := callerKey(100 + i)
		key.Service = Address{IP: [4]byte{10, 10, 0, byte(i)}, Port: 80}
		table.FromBalancer(now, Packet{Flow: key, Opening: true}, Delivery{}, []byte("opening"))
	}
	_, ok = table.HeldRoutes(now)
	must.False(t, ok, must.Sprint("more routes than a report lists"))
}

// Statements of agents that have left must not accumulate.
func TestStatementsOfRemovedAgentsAreDropped(t *testing.T) {
	var held HeldRoutes
	routing, _ := testRoutingTable(1)
	held.Record(time.Second, agentAt(0), nil)
	held.Record(time.Second, agentAt(1), nil)
	held.Retain(routing)
	must.True(t, held.exclude(agentAt(0), serviceAddress, time.Second))
	must.False(t, held.exclude(agentAt(1), serviceAddress, time.Second))
}
