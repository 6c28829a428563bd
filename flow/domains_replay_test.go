package flow

import (
	queue "container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cactustray/placement"
)

// domainLoad is a load that is replayed in virtual time against a deployment of three failure
// domains.
type domainLoad struct {
	name       string
	endpoints  int // in each domain
	slots      int
	work, goal time.Duration
	// demand returns a domain's requests as a share of its capacity.
	demand func(t Timestamp, domain int) float64
	// slowOne makes every seventh endpoint five times as slow; stragglers makes 3 in 100
	// requests seven times as long.
	slowOne, stragglers bool
}

const (
	replayDomains = 3
	// replayBalancers is the number of balancers in each domain; each places flows by its
	// own copy of the loads.
	replayBalancers = 4
	replayLength    = 60 * time.Second
	// replayFeeds is the share of requests on flows that send one a second for feedTime on
	// average; the others have a flow each.
	replayFeeds = 0.75
	feedTime    = 5 * time.Second
	// replayLatency is the one-way latency between two domains.
	replayLatency = 1400 * time.Microsecond
	replaySlow    = 5
	// replayPhase is how long a wave's peak stays in one domain.
	replayPhase = 15 * time.Second
)

func steady(share float64) func(Timestamp, int) float64 {
	return func(Timestamp, int) float64 { return share }
}

// peakMoves puts one domain at 1.3 times its capacity, in turn, and the others at half.
func peakMoves(t Timestamp, domain int) float64 {
	if int(t/replayPhase)%replayDomains == domain {
		return 1.3
	}
	return 0.5
}

var domainLoads = []domainLoad{
	{"a third", 16, 3, 40 * time.Millisecond, 300 * time.Millisecond, steady(0.33), false, false},
	{"a third, 4 endpoints", 4, 3, 40 * time.Millisecond, 300 * time.Millisecond, steady(0.33), false, false},
	{"0.7", 16, 3, 40 * time.Millisecond, 300 * time.Millisecond, steady(0.7), false, false},
	{"1.3, others 0.5", 16, 3, 40 * time.Millisecond, 300 * time.Millisecond, peakMoves, false, false},
	{"one of seven slow", 14, 3, 40 * time.Millisecond, 300 * time.Millisecond, steady(0.5), true, false},
	{"stragglers, 2 slots", 14, 2, 19 * time.Millisecond, 250 * time.Millisecond, steady(0.6), false, true},
}

// domainRule places a flow at one of the endpoints.
type domainRule struct {
	name  string
	class bool
	// place returns the decision for a new flow; nil is the rule of the product.
	place func(r *domainReplay, b *replayBalancer, key Key) Decision
	// perfect places each request by exact knowledge.
	perfect bool
}

var domainRules = []domainRule{
	{name: "fixed cost (before)"},
	{name: "room for the goal", class: true},
	{name: "free slot, else by load", place: placeByFreeSlot},
	{name: "room, sharp border", place: placeBySharpBorder},
	{name: "perfect knowledge", perfect: true},
}

// within places a flow among the endpoints that include returns true for.
func (b *replayBalancer) within(r *domainReplay, include func(*placement.Candidate) bool) Decision {
	first, second := placement.Choose(r.now, r.random, b.service.Candidates, func(i int) bool { return !include(b.service.Candidates[i]) })
	d := Decision{To: b.service.Accepting[first].Agent}
	if second >= 0 {
		d.Alternate = b.service.Accepting[second].Agent
		d.AlternateRunning = uint8(b.service.Candidates[second].AgentLoad.Running())
	}
	return d
}

func isOwn(c *placement.Candidate) bool { return !c.Remote }

// placeByFreeSlot stays in the own domain while an endpoint there has a free slot.
func placeByFreeSlot(r *domainReplay, b *replayBalancer, key Key) Decision {
	for _, c := range b.service.Candidates {
		if !c.Remote && c.HasFreeSlot(r.now) {
			return b.within(r, isOwn)
		}
	}
	return b.assignments.place(r.now, Packet{Flow: key, Opening: true}, &Route{}, b.service, assignment{})
}

// placeBySharpBorder leaves the own domain as soon as no endpoint there can start a request
// soon enough.
func placeBySharpBorder(r *domainReplay, b *replayBalancer, _ Key) Decision {
	for _, c := range b.service.Candidates {
		if !c.Remote && c.AgentLoad.Slowness() == 1 && c.AgentLoad.Running() <= c.RunningWithinGoal(r.now, r.load.goal) {
			return b.within(r, isOwn)
		}
	}
	return b.within(r, func(c *placement.Candidate) bool { return c.Remote })
}

type replayBalancer struct {
	domain      int
	assignments *Assignments
	service     *Service
	route       *Route
}

// replayEndpoint runs requests in order of arrival, one per slot at a time.
type replayEndpoint struct {
	domain int
	factor float64
	free   []Timestamp
	// ends are when the requests end that run or wait.
	ends    []Timestamp
	work    processingTime
	meanSum float64
}

type domainReplay struct {
	load      domainLoad
	rule      domainRule
	now       Timestamp
	random    *rand.Rand
	balancers []*replayBalancer
	endpoints []*replayEndpoint
	events    replayEvents
	flows     int
	result    domainResult
	waits     []Timestamp
}

type domainResult struct {
	requests, onTime, requestsCrossing int
	flows, flowsCrossing               int
	p99                                Timestamp
}

// replayEvents is a heap of what happens later.
type replayEvents []replayEvent

type replayEvent struct {
	at  Timestamp
	run func()
}

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *domainReplay) at(t Timestamp, run func()) { queue.Push(&r.events, replayEvent{t, run}) }

func replayDomainLoad(load domainLoad, rule domainRule, length time.Duration) domainResult {
	r := &domainReplay{load: load, rule: rule, random: rand.New(rand.NewPCG(5, 6))}
	for i := range replayDomains * load.endpoints {
		e := &replayEndpoint{domain: i % replayDomains, factor: 1, free: make([]Timestamp, load.slots)}
		if load.slowOne && i%7 == 0 {
			e.factor = replaySlow
		}
		r.endpoints = append(r.endpoints, e)
	}
	for i := range replayDomains * replayBalancers {
		r.addBalancer(i % replayDomains)
	}
	for i := range r.endpoints {
		r.at(placement.ReportInterval*Timestamp(i)/Timestamp(len(r.endpoints)), func() { r.report(i) })
	}
	for domain := range replayDomains {
		r.at(placement.ReportInterval, func() { r.arrive(domain) })
	}
	for r.now < length {
		next := queue.Pop(&r.events).(replayEvent)
		r.now = next.at
		next.run()
	}
	slices.Sort(r.waits)
	r.result.p99 = r.waits[len(r.waits)*99/100]
	return r.result
}

func (r *domainReplay) addBalancer(domain int) {
	b := &replayBalancer{domain: domain, assignments: NewAssignments(time.Minute, r.random), service: &Service{Name: "feed", ID: 1, Tag: 1}, route: &Route{}}
	if r.rule.class {
		b.route.Class = Class{Goal: r.load.goal, Limit: 5 * r.load.goal}
	}
	for i, e := range r.endpoints {
		NewEndpoint(agentAt(i), b.service, placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: r.load.slots, Remote: e.domain != domain}).Accept()
	}
	r.balancers = append(r.balancers, b)
}

func (e *replayEndpoint) running(now Timestamp) int {
	e.ends = slices.DeleteFunc(e.ends, func(end Timestamp) bool { return end <= now })
	return len(e.ends)
}

// report reports an endpoint's load to every balancer.
func (r *domainReplay) report(i int) {
	e := r.endpoints[i]
	running := e.running(r.now)
	u := placement.Usage{Running: running, Mean: (float64(running) + e.meanSum) / 2, ProcessingTime: e.work.now(r.now)}
	e.meanSum = float64(running)
	for _, b := range r.balancers {
		b.service.Candidates[i].AgentLoad.Report(max(r.now, 1), u)
	}
	if i == 0 {
		for _, b := range r.balancers {
			placement.UpdateSlowness(b.service.Candidates, func(int, float64) {})
		}
	}
	r.at(r.now+placement.ReportInterval, func() { r.report(i) })
}

// arrive opens a flow from a domain and schedules the next.
func (r *domainReplay) arrive(domain int) {
	capacity := float64(r.load.endpoints*r.load.slots) / r.meanWork().Seconds()
	demand := r.load.demand(r.now, domain) * capacity
	feeds := replayFeeds * demand / (1 + feedTime.Seconds())
	others := (1 - replayFeeds) * demand
	b := r.balancers[domain+replayDomains*r.random.IntN(replayBalancers)]
	lasts := Timestamp(0)
	if r.random.Float64() < feeds/(feeds+others) {
		lasts = Timestamp(r.random.ExpFloat64() * float64(feedTime))
	}
	r.open(b, lasts)
	r.at(r.now+Timestamp(r.random.ExpFloat64()/(feeds+others)*float64(time.Second)), func() { r.arrive(domain) })
}

// meanWork is the mean time that a fast endpoint works on a request.
func (r *domainReplay) meanWork() Timestamp {
	if r.load.stragglers {
		return r.load.work * 118 / 100
	}
	return r.load.work
}

// open places a flow, which sends one request a second while it lasts.
func (r *domainReplay) open(b *replayBalancer, lasts Timestamp) {
	r.flows++
	key := Key{Caller: Address{IP: [4]byte{100, byte(r.flows >> 16), byte(r.flows >> 8), byte(r.flows)}, Port: 1024}, Service: serviceAddress}
	if r.rule.perfect {
		for offset := Timestamp(0); offset <= lasts; offset += time.Second {
			r.at(r.now+offset, func() { r.request(b.domain, r.best(b.domain)) })
		}
		return
	}
	var d Decision
	if r.rule.place != nil {
		d = r.rule.place(r, b, key)
	} else {
		d = b.assignments.place(r.now, Packet{Flow: key, Opening: true}, b.route, b.service, assignment{})
		delete(b.assignments.flows, key)
	}
	e := r.endpoint(d.To)
	if running := e.running(r.now); running >= r.load.slots && running > int(d.AlternateRunning) && !d.Alternate.IsZero() {
		e = r.endpoint(d.Alternate)
	}
	if r.now > 2*time.Second {
		r.result.flows++
		if e.domain != b.domain {
			r.result.flowsCrossing++
		}
	}
	for offset := Timestamp(0); offset <= lasts; offset += time.Second {
		r.at(r.now+offset, func() { r.request(b.domain, e) })
	}
}

func (r *domainReplay) endpoint(agent Address) *replayEndpoint {
	return r.endpoints[int(agent.IP[2])<<8|int(agent.IP[3])]
}

// wait returns how long a request that arrives now waits at an endpoint.
func (e *replayEndpoint) wait(now Timestamp) Timestamp { return max(0, slices.Min(e.free)-now) }

// best returns the endpoint of the own domain that answers first, or the one of all domains if
// the own one is expected to answer too late.
func (r *domainReplay) best(domain int) *replayEndpoint {
	var own, all *replayEndpoint
	took := func(e *replayEndpoint) Timestamp {
		return e.wait(r.now) + Timestamp(e.factor*float64(r.load.work)*1.5)
	}
	for _, e := range r.endpoints {
		if all == nil || took(e) < took(all) {
			all = e
		}
		if e.domain == domain && (own == nil || took(e) < took(own)) {
			own = e
		}
	}
	if took(own) <= r.load.goal {
		return own
	}
	return all
}

// request runs a request at an endpoint.
func (r *domainReplay) request(domain int, e *replayEndpoint) {
	concurrent := e.running(r.now)
	work := (0.5 + r.random.Float64()) * float64(r.load.work) * e.factor
	if r.load.stragglers && r.random.IntN(100) < 3 {
		work *= 7
	}
	wait := e.wait(r.now)
	slot := slices.Index(e.free, slices.Min(e.free))
	end := r.now + wait + Timestamp(work)
	e.free[slot] = end
	e.ends = append(e.ends, end)
	took := end - r.now
	r.at(end, func() { e.work.ended(r.now, Request{Elapsed: took, Concurrent: concurrent}, r.load.slots) })
	if e.domain != domain {
		took += 2 * replayLatency
	}
	if r.now < 2*time.Second {
		return // balancers do not know the processing times yet
	}
	r.result.requests++
	r.waits = append(r.waits, wait)
	if took <= r.load.goal {
		r.result.onTime++
	}
	if e.domain != domain {
		r.result.requestsCrossing++
	}
}

func share(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// BenchmarkDomains compares the rules by which flows leave their failure domain.
func BenchmarkDomains(b *testing.B) {
	for _, load := range domainLoads {
		for _, rule := range domainRules {
			b.Run(load.name+"/"+rule.name, func(b *testing.B) {
				for range b.N {
					result := replayDomainLoad(load, rule, replayLength)
					b.ReportMetric(share(result.onTime, result.requests), "on-time-%")
					b.ReportMetric(float64(result.p99.Microseconds())/1000, "p99-wait-ms")
					b.ReportMetric(share(result.flowsCrossing, result.flows), "flows-crossing-%")
					b.ReportMetric(share(result.requestsCrossing, result.requests), "requests-crossing-%")
				}
			})
		}
	}
}
