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
	other := &Service{Name: "spare", ID: 3, Tag: 3}
	s.addAgents(other, 2)
	route.Shares = append(route.Shares, Share{Service: other, Weight: 1})
	route.Weight, route.Class = 2, testClass
	for _, a := range s.agents {
		s.table.Agents[a.address].AgentLoad.SetReadsClass(s.draw("older build", 8) < 7)
		a.flowTable = NewAgentTable(s.now, 1, simFlowLifetime, true)
		work := []time.Duration{2 * time.Second, 40 * time.Millisecond}[s.draw("work", 2)]
		a.flowTable.waiting.order.answered(s.now, testClass, Request{Elapsed: work})
	}
	return s
}

// admitWaiting delivers an agent's waiting openings, and resets those that cannot be served. The
// opening that a caller sent only once must not have been accepted by an endpoint then: in this
// simulation, unlike in time, a caller's copies may arrive with the first.
func (s *simulation) admitWaiting(a *simAgent) {
	for _, o := range a.flowTable.AdmitWaiting(s.now) {
		for _, other := range s.agents {
			if o.Verdict.Action == SendReset && s.callerOf(o.Flow).copies == 1 && other.endpoint.sequences[o.Flow] != 0 {
				s.t.Fatalf("reset of %v, which waits at %v and was accepted at %v", o.Flow, a.address, other.address)
			}
		}
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
			s.admitWaiting(s.agents[s.draw("agent", len(s.agents))])
		}
		s.lossy = false
		s.settle()
		for _, c := range s.callers {
			s.mustReach(c)
		}
	})
}
