package soak

import (
	"testing"
	"time"

	"cactustray/standin/packets"

	"github.com/shoenig/test/must"
)

const second = time.Second

// clean returns a history of planned work in which nothing is wrong. Hosts 10 and 11
// are balancers, 50 and 51 the endpoints' machines.
func clean() History {
	return History{
		Plan: Plan{Faults: []Fault{{Kind: ReplaceEndpoint, Host: 51}}},
		Attempts: []Attempt{
			{ID: "orders-1", Service: "orders", Opened: 1 * second, Began: 1 * second, Ended: 2 * second, Via: 10, Endpoint: "i-50"},
			{ID: "orders-2", Service: "orders", Opened: 12 * second, Began: 12 * second, Ended: 13 * second, Via: 11, Endpoint: "i-50"},
			{ID: "drawings-3", Service: "drawings", Extra: true, Opened: 10 * second, Ended: 11 * second, Via: 10, Outcome: RefusedOpening},
			{ID: "drawings-4", Service: "drawings", Extra: true, Opened: 20 * second, Ended: 21 * second, Via: 10, Endpoint: "i-51"},
		},
		Spans:   []Span{{Fault: Fault{Kind: ReplaceEndpoint, Host: 51}, Began: 2 * second, Ended: 7 * second}},
		Changes: []Change{{At: 14 * second, Added: true}},
		Endpoints: []EndpointRecord{
			{Name: "i-50", Service: "orders", Host: 50, Counts: packets.Counts{Runs: map[string]int{"orders-1": 1, "orders-2": 1}}},
			{Name: "i-51", Service: "drawings", Host: 51, Counts: packets.Counts{Runs: map[string]int{"drawings-4": 1}}},
			{Name: "i-52", Service: "orders", Host: 52, Drained: 2 * second, Ended: 7 * second},
		},
	}
}

// Each check finds the one thing that is wrong, and nothing else.
func TestChecksFindWhatIsWrong(t *testing.T) {
	must.SliceEmpty(t, Check(clean()))
	unplanned := func(h *History) { h.Plan.Faults = []Fault{{Kind: KillProcess}} }
	for name, c := range map[string]struct {
		promise string
		spoil   func(h *History)
	}{
		"run at two endpoints": {AtMostOnce, func(h *History) { h.Endpoints[2].Runs = map[string]int{"orders-1": 1} }},
		"run twice at one":     {AtMostOnce, func(h *History) { h.Endpoints[0].Runs["orders-1"] = 2 }},
		"another service":      {RightService, func(h *History) { h.Endpoints[1].Runs["orders-9"] = 1 }},
		"packet changed":       {Unchanged, func(h *History) { h.Endpoints[0].Forged = 1 }},
		"reset of a held flow": {NeverReset, func(h *History) { unplanned(h); h.Attempts[0].Outcome = ResetOpen }},
		"reset at a dead endpoint's service, while none died": {NeverReset, func(h *History) {
			unplanned(h)
			h.Attempts[1].Outcome, h.Attempts[1].Endpoint = ResetOpen, ""
		}},
		"opening lost under planned work": {PlannedBreaks, func(h *History) { h.Attempts[0].Outcome = SilentOpening }},
		"flow lost under planned work":    {PlannedBreaks, func(h *History) { h.Attempts[1].Outcome = SilentOpen }},
		"new flow at a drained endpoint": {Drains, func(h *History) {
			h.Attempts[1].Endpoint, h.Endpoints[2].Ended = "i-52", 0
		}},
		"removed route opens": {RoutesFollow, func(h *History) { h.Attempts[2].Outcome = Answered }},
		"added route refuses": {RoutesFollow, func(h *History) { h.Attempts[3].Outcome = RefusedOpening }},
		"lost for good": {FoundAgain, func(h *History) {
			unplanned(h)
			h.Attempts[1].Outcome, h.Attempts[1].Final = SilentOpen, true
		}},
		"daemon ends":      {KeepsRunning, func(h *History) { h.Exits = []Exit{{Host: 10, Code: 2}} }},
		"daemon ends late": {StopsInTime, func(h *History) { h.SlowStops = []int{10} }},
	} {
		t.Run(name, func(t *testing.T) {
			h := clean()
			c.spoil(&h)
			found := Check(h)
			must.Len(t, 1, found)
			must.EqOp(t, c.promise, found[0].Promise)
		})
	}
}

// What a fault excuses is not taken for a broken promise.
func TestChecksAllowWhatFaultsExcuse(t *testing.T) {
	for name, allow := range map[string]func(h *History){
		"reset by an endpoint that ended": func(h *History) {
			h.Attempts[0].Outcome, h.Endpoints[0].Ended = ResetOpen, 1500*time.Millisecond
		},
		"drained endpoint, by a balancer that was cut": func(h *History) {
			h.Attempts[1].Endpoint, h.Endpoints[2].Ended = "i-52", 0
			h.Spans = append(h.Spans, Span{Fault: Fault{Kind: CutLink, Host: 11, Peer: 50}, Began: 9 * second, Ended: 10 * second})
		},
		"drained endpoint, within the bound": func(h *History) {
			h.Attempts[1].Endpoint, h.Endpoints[2].Ended = "i-52", 0
			h.Attempts[1].Opened = 2*second + drainBound
		},
		"removed route, while the store is silent": func(h *History) {
			h.Attempts[2].Outcome = Answered
			h.Spans = append(h.Spans, Span{Fault: Fault{Kind: SilenceStore}, Began: 8 * second, Ended: forever})
		},
		"added route, change under way": func(h *History) {
			h.Attempts[3].Outcome, h.Attempts[3].Opened = RefusedOpening, 15*second
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := clean()
			allow(&h)
			must.SliceEmpty(t, Check(h))
		})
	}
}

// A seed makes the same plan each time; plans of planned work have nothing else.
func TestDraw(t *testing.T) {
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

// A plan shrinks to the faults that it takes.
func TestShrink(t *testing.T) {
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
