package flow

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newClassSimulation is a simulation with a route of a known class that is split over two
// services, whose endpoints are saturated after two openings and work for long.
func newClassSimulation(t *rapid.T) *simulation {
	s := newSimulation(t, 2, 2)
	s.saturated = true
	route := s.table.Routes[serviceAddress]
	other := &Service{Name: "spare", Tag: 3}
	s.addAgents(other, 2)
	route.Shares = append(route.Shares, Share{Service: other, Weight: 1})
	route.Weight, route.Class = 2, testClass
	for _, a := range s.agents {
		s.table.Agents[a.address].AgentLoad.SetReadsClass(rapid.Bool().Draw(t, "reads class"))
		a.flowTable = NewAgentTable(s.now, 1, simFlowLifetime, true)
		work := time.Duration(s.draw("work in ms", 2000)) * time.Millisecond
		a.flowTable.waiting.order.answered(s.now, testClass, Request{Elapsed: work})
	}
	return s
}

// admitWaiting delivers an agent's waiting openings, and resets those that cannot be served.
func (s *simulation) admitWaiting(a *simAgent) {
	for _, o := range a.flowTable.AdmitWaiting(s.now) {
		s.applyVerdict(a, Packet{Flow: o.Flow, Opening: true}, Address{}, o.Verdict)
	}
}

// A refusal of a waiting opening must be true, and flows that overflow to another service must
// be found: as TestFlowsAreFoundAndNeverResetInError, with classes and a split route.
func TestFlowsOfClassesAreFoundAndNeverResetInError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newClassSimulation(t)
		s.lossy = rapid.Bool().Draw(t, "lossy")
		for range 5 {
			s.newCaller()
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			s.step()
		}
		s.lossy = false
		s.settle()
		for _, c := range s.callers {
			s.mustReach(c)
		}
	})
}
