package soak

import (
	"testing"
	"time"

	"cactustray/standin/packets"

	"github.com/shoenig/test/must"
)

const second = time.Second

// cleanHistory returns a history of planned work without violations. Hosts 10 and 11 are
// balancers, 50 to 52 the endpoints' machines.
func cleanHistory() History {
	return History{
		Plan: Plan{Faults: []Fault{{Kind: ReplaceEndpoint, Host: 51}}},
		Attempts: []Attempt{
			{ID: "orders-1", Service: "orders", Opened: 1 * second, Began: 1 * second, Ended: 2 * second, BalancerHost: 10, Endpoint: "i-50"},
			{ID: "orders-2", Service: "orders", Opened: 12 * second, Began: 12 * second, Ended: 13 * second, BalancerHost: 11, Endpoint: "i-50"},
			{ID: "drawings-3", Service: "drawings", ExtraRoute: true, Opened: 10 * second, Ended: 11 * second, BalancerHost: 10, Outcome: RefusedOpening},
			{ID: "drawings-4", Service: "drawings", ExtraRoute: true, Opened: 20 * second, Ended: 21 * second, BalancerHost: 10, Endpoint: "i-51"},
			{ID: "moving-5", Service: movingService, Opened: 20 * second, Began: 20 * second, Ended: 21 * second, BalancerHost: 10, Endpoint: "i-51"},
		},
		Spans:        []Span{{Fault: Fault{Kind: ReplaceEndpoint, Host: 51}, Began: 2 * second, Ended: 7 * second}},
		RouteChanges: []RouteChange{{At: 14 * second, Added: true}},
		RouteMoves:   []RouteMove{{At: 15 * second, Service: "drawings"}},
		Endpoints: []EndpointRecord{
			{Name: "i-50", Service: "orders", Host: 50, Counts: packets.Counts{Runs: map[string]int{"orders-1": 1, "orders-2": 1}}},
			{Name: "i-51", Service: "drawings", Host: 51, Counts: packets.Counts{Runs: map[string]int{"drawings-4": 1, "moving-5": 1}}},
			{Name: "i-52", Service: "orders", Host: 52, DrainBegan: 2 * second, Ended: 7 * second},
		},
	}
}

// One violation in a clean history is reported by its own check and by no other.
func TestCheckReportsEachViolation(t *testing.T) {
	must.SliceEmpty(t, Check(cleanHistory()))
	unplanned := func(h *History) { h.Plan.Faults = []Fault{{Kind: KillProcess}} }
	for name, c := range map[string]struct {
		property string
		violate  func(h *History)
	}{
		"run at two endpoints": {RunsAtMostOnce, func(h *History) { h.Endpoints[2].Runs = map[string]int{"orders-1": 1} }},
		"run twice at one":     {RunsAtMostOnce, func(h *History) { h.Endpoints[0].Runs["orders-1"] = 2 }},
		"another service":      {RunsAtOwnService, func(h *History) { h.Endpoints[1].Runs["orders-9"] = 1 }},
		"packet corrupted":     {PacketsUnchanged, func(h *History) { h.Endpoints[0].Corrupted = 1 }},
		"reset of a held flow": {NoResetOfHeldFlow, func(h *History) { unplanned(h); h.Attempts[0].Outcome = ResetOpen }},
		"reset by an unknown endpoint, while none of the service ended": {NoResetOfHeldFlow, func(h *History) {
			unplanned(h)
			h.Attempts[1].Outcome, h.Attempts[1].Endpoint = ResetOpen, ""
		}},
		"opening lost under planned work": {PlannedWorkBreaksNothing, func(h *History) { h.Attempts[0].Outcome = SilentOpening }},
		"flow lost under planned work":    {PlannedWorkBreaksNothing, func(h *History) { h.Attempts[1].Outcome = SilentOpen }},
		"new flow at a drained endpoint": {DrainingGetsNoNewFlows, func(h *History) {
			h.Attempts[1].Endpoint, h.Endpoints[2].Ended = "i-52", 0
		}},
		"new flow in an evacuated failure domain": {EvacuatedGetsNoNewFlows, func(h *History) {
			h.Evacuations = []Interval{{Began: 6 * second, Ended: 15 * second}}
		}},
		"removed route opens": {RoutesFollow, func(h *History) { h.Attempts[2].Outcome = Answered }},
		"added route refuses, while an endpoint's process is stopped": {RoutesFollow, func(h *History) {
			h.Attempts[3].Outcome = RefusedOpening
			h.Spans = append(h.Spans, Span{Fault: Fault{Kind: StopProcess, Host: 51}, Began: 19 * second, Ended: 22 * second})
		}},
		"new flow at a service that its route has left": {RoutesFollow, func(h *History) { h.Attempts[4].Endpoint = "i-50" }},
		"reset of a held flow of a moved route": {NoResetOfHeldFlow, func(h *History) {
			unplanned(h)
			h.Attempts[4].Outcome = ResetOpen
		}},
		"added route refuses": {RoutesFollow, func(h *History) { h.Attempts[3].Outcome = RefusedOpening }},
		"no recovery after faults": {RecoversAfterFaults, func(h *History) {
			unplanned(h)
			h.Attempts[1].Outcome, h.Attempts[1].Final = SilentOpen, true
		}},
		"daemon exits":      {KeepsRunning, func(h *History) { h.Exits = []Exit{{Host: 10, Code: 2}} }},
		"daemon stops late": {StopsInTime, func(h *History) { h.SlowStops = []int{10} }},
	} {
		t.Run(name, func(t *testing.T) {
			h := cleanHistory()
			c.violate(&h)
			found := Check(h)
			must.Len(t, 1, found)
			must.EqOp(t, c.property, found[0].Property)
		})
	}
}

// A failure that a fault explains, or that lies within its time limit, is no violation.
func TestCheckAllowsEffectsOfFaults(t *testing.T) {
	for name, allow := range map[string]func(h *History){
		"reset by an endpoint that ended": func(h *History) {
			h.Attempts[0].Outcome, h.Endpoints[0].Ended = ResetOpen, 1500*time.Millisecond
		},
		"drained endpoint, by a balancer with a cut link": func(h *History) {
			h.Attempts[1].Endpoint, h.Endpoints[2].Ended = "i-52", 0
			h.Spans = append(h.Spans, Span{Fault: Fault{Kind: CutLink, Host: 11, Peer: 50}, Began: 9 * second, Ended: 10 * second})
		},
		"drained endpoint, within the time limit": func(h *History) {
			h.Attempts[1].Endpoint, h.Endpoints[2].Ended = "i-52", 0
			h.Attempts[1].Opened = 2*second + maxDrainDelay
		},
		"removed route, while the store does not answer": func(h *History) {
			h.Attempts[2].Outcome = Answered
			h.Spans = append(h.Spans, Span{Fault: Fault{Kind: SilenceStore}, Began: 8 * second, Ended: forever})
		},
		"added route refused by an unknown balancer, while one is killed": func(h *History) {
			h.Attempts[3].Outcome, h.Attempts[3].BalancerHost = RefusedOpening, 0
			h.Spans = append(h.Spans, Span{Fault: Fault{Kind: KillProcess, Host: 11}, Began: 19 * second, Ended: 22 * second})
		},
		"service that its route has left, move still propagating": func(h *History) {
			h.Attempts[4].Endpoint, h.Attempts[4].Opened = "i-50", 15*second
		},
		"flow opened before its route moved": func(h *History) {
			h.Attempts[4].Endpoint, h.Attempts[4].Opened = "i-50", 11*second
		},
		"evacuated failure domain, within the time limit": func(h *History) {
			h.Evacuations = []Interval{{Began: 12*second - maxEvacuationDelay, Ended: 15 * second}}
		},
		"evacuated failure domain, after the order was withdrawn": func(h *History) {
			h.Evacuations = []Interval{{Began: 2 * second, Ended: 11 * second}}
		},
		"added route, change still propagating": func(h *History) {
			h.Attempts[3].Outcome, h.Attempts[3].Opened = RefusedOpening, 15*second
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := cleanHistory()
			allow(&h)
			must.SliceEmpty(t, Check(h))
		})
	}
}

// A seed always gives the same plan, PlannedOnly leaves only planned work in it, and a saved
// plan loads unchanged.
func TestPlansAreReproducible(t *testing.T) {
	size := Size{Balancers: 3, Endpoints: 7, Length: 20 * second}
	must.Eq(t, Draw(7, size), Draw(7, size))
	must.NotEq(t, Draw(7, size).Faults, Draw(8, size).Faults)
	size.PlannedOnly = true
	planned := Draw(7, size)
	must.SliceNotEmpty(t, planned.Faults)
	must.True(t, planned.PlannedOnly())
	file := t.TempDir() + "/plan.json"
	must.NoError(t, planned.Save(file))
	loaded, err := LoadPlan(file)
	must.NoError(t, err)
	must.Eq(t, planned, loaded)
}

// Shrink leaves only the faults without which the violation disappears.
func TestShrinkLeavesOnlyNeededFaults(t *testing.T) {
	plan := Draw(3, Size{Balancers: 3, Endpoints: 7, Length: 20 * second})
	needed := plan.Faults[2]
	smaller := Shrink(plan, func(p Plan) bool {
		for _, f := range p.Faults {
			if f == needed {
				return true
			}
		}
		return false
	}, time.Now().Add(time.Minute))
	must.Eq(t, []Fault{needed}, smaller.Faults)
}
