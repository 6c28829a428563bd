package flow

import (
	queue "container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// splitReplay replays, in virtual time, a route that is split 90 to 10 over services of 48 and
// 12 endpoints, with a burst, and a route of short requests to the second service alone. Each
// request has a flow; each of several balancers places by its own copy of the loads.
type splitReplay struct {
	now       Timestamp
	random    *rand.Rand
	endpoints []*replayEndpoint
	balancers []*splitBalancer
	events    replayEvents
	flows     int
	place     func(r *splitReplay, b *splitBalancer, route *Route, key Key) *replayEndpoint
	result    map[string]*splitResult
}

type splitBalancer struct {
	assignments *Assignments
	services    [2]*Service
	feed, short *Route
}

type splitResult struct{ requests, onTime, overflow int }

const (
	splitEndpoints = 48
	splitSpare     = 12
	splitSlots     = 3
	splitWork      = 40 * time.Millisecond
	splitShortWork = 5 * time.Millisecond
	splitShortRate = 900 // a second, an eighth of what the second service can do
	splitLength    = 20 * time.Second
)

// splitDemand is the route's demand as a share of the capacity of its first service.
func splitDemand(now Timestamp) float64 {
	if now > 8*time.Second && now < 13*time.Second {
		return 1.15 // a burst
	}
	return 0.7
}

func replaySplit(class Class, place func(*splitReplay, *splitBalancer, *Route, Key) *replayEndpoint) map[string]*splitResult {
	r := &splitReplay{random: rand.New(rand.NewPCG(9, 10)), place: place, result: map[string]*splitResult{"feed": {}, "short": {}}}
	for range splitEndpoints + splitSpare {
		r.endpoints = append(r.endpoints, &replayEndpoint{factor: 1, free: make([]Timestamp, splitSlots)})
	}
	for range 12 {
		r.addBalancer(class)
	}
	for i := range r.endpoints {
		r.at(placement.ReportInterval*Timestamp(i)/Timestamp(len(r.endpoints)), func() { r.report(i) })
	}
	r.at(placement.ReportInterval, func() { r.arrive("feed") })
	r.at(placement.ReportInterval, func() { r.arrive("short") })
	for r.now < splitLength {
		next := queue.Pop(&r.events).(replayEvent)
		r.now = next.at
		next.run()
	}
	return r.result
}

func (r *splitReplay) at(t Timestamp, run func()) { queue.Push(&r.events, replayEvent{t, run}) }

func (r *splitReplay) addBalancer(class Class) {
	b := &splitBalancer{assignments: NewAssignments(time.Minute, r.random)}
	for s := range b.services {
		b.services[s] = &Service{Name: []string{"a", "b"}[s], ID: ServiceID(s + 1), Tag: uint16(2*s + 1)}
	}
	for i := range r.endpoints {
		service := b.services[0]
		if i >= splitEndpoints {
			service = b.services[1]
		}
		NewEndpoint(agentAt(i), service, placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: splitSlots}).Accept()
	}
	b.feed = &Route{Class: class, Weight: 100, Shares: []Share{{b.services[0], 90}, {b.services[1], 10}}}
	b.short = &Route{Class: class, Weight: 1, Shares: []Share{{b.services[1], 1}}}
	r.balancers = append(r.balancers, b)
}

func (r *splitReplay) report(i int) {
	e := r.endpoints[i]
	u := placement.Usage{Running: e.running(r.now), Mean: float64(e.running(r.now)), ProcessingTime: e.work.now(r.now)}
	for _, b := range r.balancers {
		s, at := 0, i
		if i >= splitEndpoints {
			s, at = 1, i-splitEndpoints
		}
		b.services[s].Candidates[at].AgentLoad.Report(max(r.now, 1), u)
	}
	r.at(r.now+placement.ReportInterval, func() { r.report(i) })
}

func (r *splitReplay) arrive(kind string) {
	r.flows++
	key := Key{Caller: Address{IP: [4]byte{100, byte(r.flows >> 16), byte(r.flows >> 8), byte(r.flows)}, Port: 1024}, Service: serviceAddress}
	b := r.balancers[r.random.IntN(len(r.balancers))]
	route, work, goal, rate := b.feed, splitWork, 300*time.Millisecond, splitDemand(r.now)*splitEndpoints*splitSlots/splitWork.Seconds()
	if kind == "short" {
		route, work, goal, rate = b.short, splitShortWork, 800*time.Millisecond, splitShortRate
	}
	e := r.place(r, b, route, key)
	took := r.run(e, work)
	result := r.result[kind]
	result.requests++
	if took <= goal {
		result.onTime++
	}
	if slices.Index(r.endpoints, e) >= splitEndpoints && route.Service(key) == b.services[0] {
		result.overflow++
	}
	r.at(r.now+Timestamp(r.random.ExpFloat64()/rate*float64(time.Second)), func() { r.arrive(kind) })
}

// run runs a request and returns how long it takes.
func (r *splitReplay) run(e *replayEndpoint, work Timestamp) Timestamp {
	concurrent := e.running(r.now)
	slot := slices.Index(e.free, slices.Min(e.free))
	end := r.now + e.wait(r.now) + Timestamp((0.5+r.random.Float64())*float64(work))
	e.free[slot] = end
	e.ends = append(e.ends, end)
	took := end - r.now
	r.at(end, func() { e.work.ended(r.now, Request{Elapsed: took, Concurrent: concurrent}, splitSlots) })
	return took
}

// forwarded returns the endpoint that gets the opening packet after the chosen agent's
// decision.
func (r *splitReplay) forwarded(d Decision) *replayEndpoint {
	at := func(agent Address) *replayEndpoint { return r.endpoints[int(agent.IP[2])<<8|int(agent.IP[3])] }
	e := at(d.To)
	if running := e.running(r.now); running >= splitSlots && running > int(d.AlternateRunning) && !d.Alternate.IsZero() {
		e = at(d.Alternate)
	}
	return e
}

func (r *splitReplay) placeAt(b *splitBalancer, route *Route, service *Service, key Key) *replayEndpoint {
	d := b.assignments.place(r.now, Packet{Flow: key, Opening: true}, route, service, assignment{})
	delete(b.assignments.flows, key)
	return r.forwarded(d)
}

func placeByRule(r *splitReplay, b *splitBalancer, route *Route, key Key) *replayEndpoint {
	return r.placeAt(b, route, b.assignments.serviceFor(r.now, route, key, assignment{}), key)
}

// placeInProportion leaves a service without a free slot with a probability of the free slots of
// the other to the slots of this one, so that balancers with the same reports do not fill the
// other many times over.
func placeInProportion(r *splitReplay, b *splitBalancer, route *Route, key Key) *replayEndpoint {
	service := route.Service(key)
	if len(route.Shares) > 1 && service == b.services[0] && !service.hasFreeSlot(r.now) {
		free := 0
		for _, c := range b.services[1].Candidates {
			if c.HasFreeSlot(r.now) {
				free += splitSlots - int(c.AgentLoad.Running())
			}
		}
		if r.random.IntN(splitEndpoints*splitSlots) < free {
			service = b.services[1]
		}
	}
	return r.placeAt(b, route, service, key)
}

// placeExactly knows the work in progress: the endpoint of the service that starts the request
// first, or the one of all services if that would be late.
func placeExactly(r *splitReplay, b *splitBalancer, route *Route, key Key) *replayEndpoint {
	first := func(endpoints []*replayEndpoint) *replayEndpoint {
		return slices.MinFunc(endpoints, func(x, y *replayEndpoint) int { return int(x.wait(r.now) - y.wait(r.now)) })
	}
	own := r.endpoints[:splitEndpoints]
	if route.Service(key) == b.services[1] {
		own = r.endpoints[splitEndpoints:]
	}
	if e := first(own); len(route.Shares) == 1 || e.wait(r.now) == 0 {
		return e
	}
	return first(r.endpoints)
}

// A burst that one service cannot serve must use the free slots of the other, without cost to
// the requests that only the other serves.
func TestOverflowServesBurst(t *testing.T) {
	results := make(map[string]map[string]*splitResult)
	for _, c := range []struct {
		name  string
		class Class
		place func(*splitReplay, *splitBalancer, *Route, Key) *replayEndpoint
	}{
		{"weights alone (before)", Class{}, placeByRule},
		{"overflow", testClass, placeByRule},
		{"in proportion to the free slots", testClass, placeInProportion},
		{"perfect knowledge", testClass, placeExactly},
	} {
		results[c.name] = replaySplit(c.class, c.place)
		feed, short := results[c.name]["feed"], results[c.name]["short"]
		t.Logf("%s: feed %.2f%% on time, %.2f%% at the other service; short %.2f%% on time",
			c.name, share(feed.onTime, feed.requests), share(feed.overflow, feed.requests), share(short.onTime, short.requests))
	}
	before, after := results["weights alone (before)"], results["overflow"]
	must.Greater(t, share(before["feed"].onTime, before["feed"].requests), share(after["feed"].onTime, after["feed"].requests))
	must.GreaterEq(t, share(before["short"].onTime, before["short"].requests)-0.5, share(after["short"].onTime, after["short"].requests))
}
