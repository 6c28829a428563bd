package flow

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// query sends a balancer's query to an agent.
func (s *simulation) query(b int, to Address, q Query) {
	a := s.agents[to.IP[3]-1]
	s.enqueue(fmt.Sprintf("%v queried at agent %v", q.Flow, to), func() {
		answer := a.flowTable.Query(s.now, q)
		if answer == HasEnded {
			s.reset(Reset(q))
			return
		}
		s.enqueue(fmt.Sprintf("%v answer %v of agent %v", q.Flow, answer, to), func() { s.answered(b, a, q, answer) })
	})
}

func (s *simulation) answered(b int, a *simAgent, q Query, answer Answer) {
	switch answer {
	case Holds:
		s.found(b, q.Flow, a.address)
	case Denies:
		d, datagram := s.balancers[b].Denied(s.now, q.Flow, a.address, s.table)
		s.continueSearch(b, q.Flow, d, datagram)
	case IsUnsure:
		d, datagram := s.balancers[b].Unsure(s.now, q.Flow, a.address, s.table)
		s.continueSearch(b, q.Flow, d, datagram)
	}
}

func (s *simulation) continueSearch(b int, key Key, d Decision, datagram []byte) {
	packet := Packet{Flow: key}
	if datagram != nil {
		packet = s.packetOf(datagram)
	}
	s.applyDecision(b, packet, d, 0)
}

func (s *simulation) found(b int, key Key, owner Address) {
	for _, datagram := range s.balancers[b].Found(s.now, key, owner, nil) {
		s.applyDecision(b, s.packetOf(datagram), Decision{To: owner}, 0)
	}
}

func (s *simulation) retrySearches() {
	for b, assignments := range s.balancers {
		retried, _ := assignments.RetrySearches(s.now, s.table)
		for _, r := range retried {
			s.continueSearch(b, r.Packet.Flow, r.Decision, r.Datagram)
		}
	}
}

// mustBePresent fails the test if the route sends no new flows to the agent's service.
func (s *simulation) mustBePresent(agent Address) {
	service := s.table.Agents[agent].Service
	for present := range s.table.Routes[serviceAddress].present {
		if present == service {
			return
		}
	}
	s.t.Fatalf("a flow was opened at %v of the former service %s", agent, service.Name)
}

// moveRoute sends new flows to the service that got none until now.
func (s *simulation) moveRoute() {
	route := s.table.Routes[serviceAddress]
	present, former := route.Shares[0].Service, append(route.Former, route.Assumed...)[0]
	s.t.Logf("%v the route moves to %s", s.now, former.Name)
	moved := *s.table
	moved.Routes = map[Address]*Route{serviceAddress: {Shares: []Share{{Service: former, Weight: 1}}, Weight: 1, Former: []*Service{present}}}
	s.table = &moved
}

// forgetHistory makes all balancers assume which services the route has left.
func (s *simulation) forgetHistory() {
	s.t.Logf("%v the route history is lost", s.now)
	forgotten := *s.table
	route := *s.table.Routes[serviceAddress]
	route.Former, route.Assumed = nil, append(route.Former, route.Assumed...)
	forgotten.Routes = map[Address]*Route{serviceAddress: &route}
	s.table = &forgotten
}

// As TestFlowsAreFoundAndNeverResetInError, for a route that moves between two services,
// while the balancers lose its history and learn it again: flows stay where they were opened,
// and new ones open at the present service.
func TestFlowsOfMovedRouteAreFound(t *testing.T) {
	for _, agents := range []int{2, preferenceThreshold + 1} {
		rapid.Check(t, func(t *rapid.T) {
			s := newSimulation(t, agents, 2)
			s.bulk = rapid.Bool().Draw(t, "bulk")
			other := &Service{Name: "drawings", ID: 3, Tag: 3}
			s.addAgents(other, 2)
			s.table.Routes[serviceAddress].Former = []*Service{other}
			for range 3 {
				s.newCaller()
			}
			for range rapid.IntRange(10, 100).Draw(t, "steps") {
				switch s.draw("move", 12) {
				case 0:
					s.moveRoute()
				case 1:
					s.forgetHistory()
				}
				s.step()
			}
			s.settle()
			for _, c := range s.callers {
				s.mustReach(c)
			}
		})
	}
}
