package hedging

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The replay of opening packets: what a second offer of an opening packet could gain in the
// packet roles, where the request itself cannot be copied. The figures are those of the
// second deployment's lookups (one flow for each request).
const (
	openingEndpoints = 42
	openingSlots     = 2
	// openingSaturation is the number of requests in progress for each slot beyond which
	// opening packets wait at the agent; package flow has the same.
	openingSaturation = 2
	openingWork       = 25 * time.Millisecond
	callerHop         = 3 * time.Millisecond
	// reportInterval is the time between two reports of the loads to the balancer.
	reportInterval = 50 * time.Millisecond
)

// openingPolicy is a way to find an endpoint for an opening packet.
type openingPolicy int

const (
	// asToday: the better of two endpoints by their reports; a busy agent forwards to the
	// alternate if that had fewer requests in progress.
	asToday openingPolicy = iota
	// forwardSooner: a busy agent always forwards, to the better of two others by the reports
	// at that time.
	forwardSooner
	// secondOffer: as today, and an opening packet that is not accepted within the quantile
	// is offered to another one too, the better of two by the reports. It costs nothing here that both know at
	// once which of them has accepted: so this is the best that it could do.
	secondOffer
	// betterFirst: the least loaded endpoint, by loads that are exact and include the opening
	// packets on their way.
	betterFirst
	// sharedQueue: every request starts on the first slot that is free anywhere, the bound.
	sharedQueue
)

var openingPolicyNames = []string{"as today", "forward sooner", "second offer", "exact loads at first", "one shared queue"}

type opening struct {
	begun    time.Time
	accepted bool
}

type openingEndpoint struct {
	inProgress int
	reported   int
	// coming are the opening packets on their way.
	coming  int
	free    int
	factor  float64
	waiting []*opening
	queue   []*opening
}

type openingReplay struct {
	clockwork
	policy    openingPolicy
	random    *rand.Rand
	endpoints [openingEndpoints]*openingEndpoint
	shared    []*opening
	accepted  *sketch
	latencies []time.Duration
	waits     []time.Duration
	offers    int
}

func runOpenings(share float64, slow bool, p openingPolicy) *openingReplay {
	r := &openingReplay{clockwork: clockwork{now: replayStart}, policy: p, random: rand.New(rand.NewPCG(4, 4)), accepted: newSketch(replayStart)}
	for i := range r.endpoints {
		r.endpoints[i] = &openingEndpoint{free: openingSlots, factor: 1}
		if slow && i%7 == 0 {
			r.endpoints[i].factor = 4
		}
	}
	interval := float64(openingWork) * (1 - stragglerShare + stragglerShare*stragglerFactor) / (openingEndpoints * openingSlots * share)
	demand := rand.New(rand.NewPCG(3, 3))
	var next, report func()
	next = func() {
		r.begin()
		r.after(time.Duration(demand.ExpFloat64()*interval), next)
	}
	report = func() {
		for _, e := range r.endpoints {
			e.reported = e.inProgress + len(e.waiting)
		}
		r.after(reportInterval, report)
	}
	r.after(0, next)
	r.after(0, report)
	r.run(replayStart.Add(replayTime))
	slices.Sort(r.latencies)
	slices.Sort(r.waits)
	return r
}

func (r *openingReplay) begin() {
	o := &opening{begun: r.now}
	first, alternate := r.random.IntN(openingEndpoints), r.random.IntN(openingEndpoints)
	if r.endpoints[alternate].reported < r.endpoints[first].reported {
		first, alternate = alternate, first
	}
	switch r.policy {
	case betterFirst:
		first = r.leastLoaded()
	case secondOffer:
		if timing, ok := r.accepted.at(r.now); ok {
			r.after(timing.Delay, func() { r.offerAgain(o, first) })
		}
	}
	if r.policy == sharedQueue {
		r.waits = append(r.waits, callerHop+replayHop)
		r.after(3*callerHop+replayHop, func() {
			r.shared = append(r.shared, o)
			r.drainShared()
		})
		return
	}
	r.endpoints[first].coming++
	r.after(callerHop+replayHop, func() { r.receive(o, first, alternate) })
}

// leastLoaded returns an endpoint with the lowest exact load, a random one among equals.
func (r *openingReplay) leastLoaded() int {
	load := func(i int) int {
		e := r.endpoints[i]
		return e.inProgress + len(e.waiting) + e.coming
	}
	start := r.random.IntN(openingEndpoints)
	best := start
	for i := range openingEndpoints {
		if at := (start + i) % openingEndpoints; load(at) < load(best) {
			best = at
		}
	}
	return best
}

// otherThan returns the better of two endpoints by the reports, not the given one.
func (r *openingReplay) otherThan(first int) int {
	a, b := r.random.IntN(openingEndpoints-1), r.random.IntN(openingEndpoints-1)
	other := (first + 1 + a) % openingEndpoints
	if next := (first + 1 + b) % openingEndpoints; r.endpoints[next].reported < r.endpoints[other].reported {
		other = next
	}
	return other
}

func (r *openingReplay) offerAgain(o *opening, first int) {
	if o.accepted {
		return
	}
	other := r.otherThan(first)
	r.offers++
	r.after(replayHop, func() { r.deliver(o, other) })
}

// receive applies the decision of the first agent.
func (r *openingReplay) receive(o *opening, at, alternate int) {
	e := r.endpoints[at]
	e.coming--
	switch {
	case e.inProgress < openingSlots || r.policy == betterFirst:
	case r.policy == forwardSooner:
		other := r.otherThan(at)
		r.after(replayHop, func() { r.deliver(o, other) })
		return
	case e.inProgress > r.endpoints[alternate].reported:
		r.after(replayHop, func() { r.deliver(o, alternate) })
		return
	}
	r.deliver(o, at)
}

// deliver delivers an opening packet to an endpoint, or lets it wait while that is
// saturated.
func (r *openingReplay) deliver(o *opening, at int) {
	e := r.endpoints[at]
	if o.accepted {
		return
	}
	if e.inProgress >= openingSaturation*openingSlots {
		e.waiting = append(e.waiting, o)
		return
	}
	r.accept(o, e)
}

func (r *openingReplay) accept(o *opening, e *openingEndpoint) {
	o.accepted = true
	e.inProgress++
	r.accepted.add(r.now, r.now.Sub(o.begun))
	r.waits = append(r.waits, r.now.Sub(o.begun))
	r.after(2*callerHop, func() {
		e.queue = append(e.queue, o)
		r.startNext(e)
	})
}

// drainShared starts requests of the shared queue on all free slots, those of endpoints
// that are not slow first.
func (r *openingReplay) drainShared() {
	for _, slow := range []bool{false, true} {
		for _, e := range r.endpoints {
			for (e.factor > 1) == slow && e.free > 0 && len(r.shared) > 0 {
				e.queue = append(e.queue, r.shared[0])
				r.shared = r.shared[1:]
				e.inProgress++
				r.startNext(e)
			}
		}
	}
}

func (r *openingReplay) startNext(e *openingEndpoint) {
	if e.free == 0 || len(e.queue) == 0 {
		return
	}
	o := e.queue[0]
	e.queue = e.queue[1:]
	e.free--
	work := float64(openingWork) * (0.5 + r.random.Float64()) * e.factor
	if r.random.Float64() < stragglerShare {
		work *= stragglerFactor
	}
	r.after(time.Duration(work), func() {
		r.latencies = append(r.latencies, r.now.Sub(o.begun)+callerHop)
		e.free++
		e.inProgress--
		r.startNext(e)
		for len(e.waiting) > 0 && e.inProgress < openingSaturation*openingSlots {
			last := len(e.waiting) - 1 // the newest first
			o := e.waiting[last]
			e.waiting = e.waiting[:last]
			if !o.accepted {
				r.accept(o, e)
			}
		}
		r.drainShared()
	})
}

// Compares what an opening packet can gain. Guards the decision to leave the second offer
// out: it must not be better than today's by more than a tenth at the 99th percentile.
func TestReplayOfOpeningPackets(t *testing.T) {
	cases := []struct {
		name  string
		share float64
		slow  bool
	}{
		{"a third of the capacity", 0.33, false},
		{"0.9 of the capacity", 0.9, false},
		{"a third, one endpoint in seven takes 4 times as long", 0.33, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Logf("%-20s | p50 ms | p99    | p99.9  | accepted p99 | p99.9 | offers%%", "")
			var results []*openingReplay
			for p := range openingPolicyNames {
				r := runOpenings(c.share, c.slow, openingPolicy(p))
				results = append(results, r)
				at := func(sorted []time.Duration, q float64) float64 {
					return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
				}
				t.Logf("%-20s | %6.0f | %6.0f | %6.0f | %6.0f | %6.0f | %6.2f", openingPolicyNames[p], at(r.latencies, 0.5), at(r.latencies, 0.99), at(r.latencies, 0.999),
					at(r.waits, 0.99), at(r.waits, 0.999), 100*float64(r.offers)/float64(len(r.latencies)))
			}
			p99 := func(r *openingReplay) float64 { return float64(r.latencies[len(r.latencies)*99/100]) }
			must.GreaterEq(t, 0.9*p99(results[asToday]), p99(results[secondOffer]))
		})
	}
}
