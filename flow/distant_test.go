package flow

import (
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// distantTable has one service whose last agents do not report to the balancer.
func distantTable(agents, distant int) (*RoutingTable, *Service) {
	routing, service := testRoutingTable(agents)
	for i, endpoint := range service.Holders {
		if i < agents-distant {
			endpoint.AgentLoad.Report(time.Second, placement.Usage{FlowsKnown: true})
		} else {
			endpoint.AgentLoad = new(placement.AgentLoad)
		}
	}
	service.MarkDistant(func(e *Endpoint) bool { return e.AgentLoad.ReportedAt() != 0 })
	return routing, service
}

// Guards against new flows at agents whose load is not known, and against services with few
// endpoints that are treated otherwise than before.
func TestFlowsAreNotPlacedAtDistantAgents(t *testing.T) {
	_, service := distantTable(20, 6)
	must.Len(t, 14, service.Accepting)
	must.Len(t, 14, service.Candidates)
	must.Len(t, 20, service.Holders)
	for i, endpoint := range service.Accepting {
		must.False(t, endpoint.Distant)
		must.EqOp(t, &endpoint.Candidate, service.Candidates[i])
	}
	must.False(t, service.IsSmall())
	_, small := testRoutingTable(preferenceThreshold)
	must.True(t, small.IsSmall())
	before := small.Accepting
	small.MarkDistant(func(*Endpoint) bool { return true })
	must.Eq(t, before, small.Accepting)
	must.False(t, small.hasDistant)
}

// A flow is reset only after the distant agents have denied it too. They are queried by key
// after those in touch, again if they do not answer, and at last sent the packet; a missing
// answer resets nothing.
func TestDistantAgentsMustDenyAFlow(t *testing.T) {
	const inTouch, distant = 14, 3
	routing, service := distantTable(inTouch+distant, distant)
	a, now := newTestAssignments(), time.Second
	packet := Packet{Flow: callerKey(1), Acknowledged: 77, Data: 900}
	d := a.FromCaller(now, packet, routing, []byte("data"))
	for asked := 0; asked < inTouch; {
		must.Positive(t, len(d.QueryAgents))
		must.SliceEmpty(t, d.SearchAgents)
		agents := d.QueryAgents
		for _, agent := range agents {
			must.False(t, routing.Agents[agent].Distant)
			asked++
			d = decisionOf(a.Denied(now, packet.Flow, agent, routing))
			must.False(t, d.SendReset)
		}
	}
	must.Len(t, distant, d.QueryAgents)
	must.SliceEmpty(t, d.SearchAgents)
	for _, agent := range d.QueryAgents {
		must.True(t, routing.Agents[agent].Distant)
	}
	must.EqOp(t, 77, d.Query.Acknowledged)
	silent := d.QueryAgents[2]
	must.False(t, decisionOf(a.Denied(now, packet.Flow, d.QueryAgents[0], routing)).SendReset)
	must.False(t, decisionOf(a.Denied(now, packet.Flow, d.QueryAgents[1], routing)).SendReset)

	queries, packets := 0, 0
	for end := now + 1500*time.Millisecond; now < end; now += 20 * time.Millisecond {
		for _, endpoint := range service.Accepting {
			endpoint.AgentLoad.Report(now, placement.Usage{FlowsKnown: true})
		}
		retried, _ := a.RetrySearches(now, routing)
		for _, r := range retried {
			must.False(t, r.Decision.SendReset)
			for _, agent := range r.Decision.QueryAgents {
				must.EqOp(t, silent, agent)
				queries++
			}
			for _, agent := range r.Decision.SearchAgents {
				must.EqOp(t, silent, agent)
				packets++
			}
		}
	}
	must.EqOp(t, distantQueries-1, queries)
	must.EqOp(t, 1, packets)
	must.True(t, decisionOf(a.Denied(now, packet.Flow, silent, routing)).SendReset)
}

// A distant agent that was restarted does not know the flows of its endpoint; it gets the packet
// at once, although it does not report.
func TestUnsureDistantAgentGetsPacket(t *testing.T) {
	const inTouch = 13
	routing, _ := distantTable(inTouch+1, 1)
	a, now := newTestAssignments(), time.Second
	packet := Packet{Flow: callerKey(1), Data: 900}
	d := a.FromCaller(now, packet, routing, []byte("data"))
	for len(d.QueryAgents) > 0 && d.QueryAgents[0] != agentAt(inTouch) {
		agents := d.QueryAgents
		for _, agent := range agents {
			d = decisionOf(a.Denied(now, packet.Flow, agent, routing))
		}
	}
	must.Eq(t, []Address{agentAt(inTouch)}, d.QueryAgents)
	d, datagram := a.Unsure(now, packet.Flow, agentAt(inTouch), routing)
	must.Eq(t, []Address{agentAt(inTouch)}, d.SearchAgents)
	must.Eq(t, []byte("data"), datagram)
	must.SliceEmpty(t, a.Found(now, packet.Flow, agentAt(inTouch), nil))
}

// A copy of an opening packet stays with an agent that reports once a second, as long as the
// next report is not overdue: no report since the placement does not mean that it is
// unreachable. Once it is overdue, the copy goes to another endpoint.
func TestOpeningPacketStaysWithAgentThatReportsRarely(t *testing.T) {
	routing, service := testRoutingTable(3)
	for i, endpoint := range service.Accepting {
		endpoint.AgentLoad.Report(time.Second, placement.Usage{Running: i, Interval: time.Second})
	}
	a := newTestAssignments()
	opening := func(copy uint32) Packet { return Packet{Flow: callerKey(1), Opening: true, Copy: copy} }
	placed := 1100 * time.Millisecond
	must.EqOp(t, agentAt(0), a.FromCaller(placed, opening(0), routing, nil).To)
	must.EqOp(t, agentAt(0), a.FromCaller(placed+200*time.Millisecond, opening(1), routing, nil).To)
	must.True(t, service.Accepting[0].AgentLoad.Alive(4500*time.Millisecond))
	must.False(t, service.Accepting[0].AgentLoad.Alive(4501*time.Millisecond))
	b := newTestAssignments()
	late := 2400 * time.Millisecond
	first := b.FromCaller(late, opening(0), routing, nil).To
	must.NotEqOp(t, first, b.FromCaller(late+200*time.Millisecond, opening(1), routing, nil).To)
}

// As TestFlowsAreFoundAndNeverResetInError, for a large service of which some agents do not
// report, while others are chosen: flows stay where they were opened, and are found there.
func TestFlowsAtDistantAgentsAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const agents = preferenceThreshold + 4
		s := newSimulation(t, agents, 2)
		s.lossy = rapid.Bool().Draw(t, "lossy")
		s.chooseOthers()
		for range 3 {
			s.newCaller()
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			if s.draw("choose", 8) == 0 {
				s.chooseOthers()
			}
			s.step()
		}
		s.lossy = false
		s.settle()
		for _, c := range s.callers {
			s.mustReach(c)
		}
	})
}

// chooseOthers keeps the balancers in touch with other agents.
func (s *simulation) chooseOthers() {
	service := s.table.Routes[serviceAddress].Shares[0].Service
	service.Accepting, service.Candidates, service.hasDistant = nil, nil, false
	for _, endpoint := range service.Holders {
		endpoint.Distant = false
		endpoint.Accept()
	}
	service.MarkDistant(func(*Endpoint) bool { return s.draw("in touch", 3) == 0 })
}

// A distant agent of a service that the route may have left does not report, although it lives
// and may hold the flow: it is queried several times before the search goes on without it, as
// without one whose machine lost power.
func TestDistantAgentOfAssumedServiceIsAwaited(t *testing.T) {
	routing, _ := testRoutingTable(1)
	now := 10 * time.Second
	assumed := &Service{Name: "drawings", ID: 3, Tag: 3}
	endpoint := NewEndpoint(agentAt(100), assumed, placement.Candidate{AgentLoad: new(placement.AgentLoad)})
	endpoint.Distant, assumed.hasDistant, assumed.Holders = true, true, []*Endpoint{endpoint}
	routing.Agents[endpoint.Agent] = endpoint
	routing.Routes[serviceAddress].Assumed = []*Service{assumed}
	a := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Data: 900}
	present := routing.Agents[agentAt(0)].AgentLoad
	present.Report(now, placement.Usage{FlowsKnown: true})
	must.Len(t, 1, a.FromCaller(now, packet, routing, []byte("data")).QueryAgents)
	d := decisionOf(a.Denied(now, packet.Flow, agentAt(0), routing))
	must.Eq(t, []Address{endpoint.Agent}, d.QueryAgents)
	queries := 1
	start, ended := now, time.Duration(0)
	for ; now < start+2*time.Second && ended == 0; now += 20 * time.Millisecond {
		present.Report(now, placement.Usage{FlowsKnown: true})
		retried, _ := a.RetrySearches(now, routing)
		for _, r := range retried {
			queries += len(r.Decision.QueryAgents)
			if r.Decision.SendReset {
				ended = now - start
			}
		}
	}
	must.EqOp(t, distantQueries, queries)
	must.Between(t, agentStartTime, ended, 2*time.Second)
}
