package hedging

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

const (
	replayEndpoints = 7
	replaySlots     = 3
	replayZones     = 3
	// replayWork is the mean time of a request that is not a straggler.
	replayWork = 40 * time.Millisecond
	// replayHop is the time of a message from one agent to another.
	replayHop = time.Millisecond
	// stragglerShare of the runs take stragglerFactor times as long.
	stragglerShare  = 0.03
	stragglerFactor = 7
	// minutesVariable is the environment variable with the virtual time of a replay; the
	// figures of docs/design/hedging.md are of 6 minutes.
	minutesVariable = "CACTUSTRAY_REPLAY_MINUTES"
	defaultMinutes  = 1
	fixedDelay      = 100 * time.Millisecond
)

// policy is a way to send second copies.
type policy int

const (
	noCopies policy = iota
	// afterFixedDelay sends a copy after fixedDelay, which may queue.
	afterFixedDelay
	// afterQuantile sends a copy after the quantile, which may queue, without a budget.
	afterQuantile
	// withinBudget is what the agents do.
	withinBudget
	// twoAtOnce sends both copies on arrival; the loser is cancelled when the winner ends.
	twoAtOnce
	// tied sends both copies on arrival; each is cancelled when the other one starts.
	tied
)

var policyNames = []string{"no copies", "fixed delay of 100 ms", "quantile, no budget", "quantile within the budget", "two at once", "tied"}

// load is the load that is replayed: it depends on the seed only, not on the policy.
type load struct {
	name string
	// share of the capacity that is used.
	share float64
	// slowEndpoint is the factor by which endpoint 0 is slower.
	slowEndpoint float64
	// slowAll is the factor by which all endpoints are slower in the second half.
	slowAll float64
	// byRequest is true if both copies of a straggler take long, since the request itself
	// is expensive; otherwise each run is drawn anew.
	byRequest bool
}

type run struct {
	request  *simRequest
	endpoint int
	copy     Copy
	running  bool
	ended    bool
	started  time.Time
	// expected is the work that the copy was admitted with.
	expected time.Duration
}

type simRequest struct {
	arrived time.Time
	home    int
	work    [2]time.Duration
	runs    [2]*run
	done    bool
}

type simEvent struct {
	at    time.Time
	order int
	apply func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// clockwork applies events in the order of virtual time.
type clockwork struct {
	now    time.Time
	events simEvents
	order  int
}

func (c *clockwork) after(d time.Duration, apply func()) {
	c.order++
	heap.Push(&c.events, simEvent{at: c.now.Add(d), order: c.order, apply: apply})
}

func (c *clockwork) run(until time.Time) {
	for c.now.Before(until) {
		e := heap.Pop(&c.events).(simEvent)
		c.now = e.at
		e.apply()
	}
}

type simEndpoint struct {
	state    *State
	snapshot *Snapshot
	free     int
	queue    []*run
}

// replay is one load under one policy in virtual time. Requests arrive at random
// endpoints; queued ones go to any endpoint with a free slot, as the slot exchange of
// package admission arranges.
type replay struct {
	clockwork
	load      load
	policy    policy
	random    *rand.Rand
	endpoints [replayEndpoints]*simEndpoint
	latencies []time.Duration
	// useful and wasted are the slot times of winners and of other copies.
	useful, wasted time.Duration
	offered        int
	copies         int
	// copiesSlow are the copies that ran while all endpoints were slow.
	copiesSlow int
	won        int
}

var replayTime = replayMinutes() * time.Minute

func replayMinutes() time.Duration {
	if minutes, err := strconv.Atoi(os.Getenv(minutesVariable)); err == nil {
		return time.Duration(minutes)
	}
	return defaultMinutes
}

var replayStart = time.Unix(1_000_000, 0)

func runReplay(l load, p policy, settings Settings) *replay {
	r := &replay{load: l, policy: p, random: rand.New(rand.NewPCG(2, 2)), clockwork: clockwork{now: replayStart}}
	for i := range r.endpoints {
		r.endpoints[i] = &simEndpoint{state: NewState(settings), free: replaySlots}
	}
	mean := float64(replayWork) * (1 - stragglerShare + stragglerShare*stragglerFactor)
	interval := mean / (replayEndpoints * replaySlots * l.share)
	demand := rand.New(rand.NewPCG(1, 1))
	var next func()
	next = func() {
		r.arrive(demand)
		r.after(time.Duration(demand.ExpFloat64()*interval), next)
	}
	r.after(0, next)
	var tick func()
	tick = func() {
		r.tick()
		r.after(100*time.Millisecond, tick)
	}
	r.after(0, tick)
	r.run(replayStart.Add(replayTime))
	slices.Sort(r.latencies)
	return r
}

// tick publishes the snapshots, with loads that are up to 100 ms old.
func (r *replay) tick() {
	for i, e := range r.endpoints {
		var peers []Peer
		for other, o := range r.endpoints {
			if other != i {
				peers = append(peers, Peer{Key: keyOf(other), Zone: zoneOf(other), Known: true, FreeSlots: o.free - len(o.queue)})
			}
		}
		e.state.SetPeers(peers)
		e.snapshot = e.state.Snapshot(r.now)
	}
}

func keyOf(endpoint int) ticket.EndpointKey { return ticket.EndpointKey(endpoint + 1) }
func zoneOf(endpoint int) string            { return string(rune('a' + endpoint%replayZones)) }

func (r *replay) arrive(demand *rand.Rand) {
	q := &simRequest{arrived: r.now, home: demand.IntN(replayEndpoints)}
	for i := range q.work {
		work := float64(replayWork) * (0.5 + demand.Float64())
		if demand.Float64() < stragglerShare {
			work *= stragglerFactor
		}
		q.work[i] = time.Duration(work)
	}
	if r.load.byRequest {
		q.work[Second] = q.work[First]
	}
	r.enqueue(&run{request: q, endpoint: q.home})
	other := (q.home + 1 + r.random.IntN(replayEndpoints-1)) % replayEndpoints
	switch r.policy {
	case twoAtOnce:
		r.secondCopy(q, other)
	case tied:
		// Without the pause, two idle endpoints would both start.
		r.after(replayHop, func() {
			if !q.runs[First].running {
				r.secondCopy(q, other)
			}
		})
	}
}

// secondCopy sends a copy that queues like any other request.
func (r *replay) secondCopy(q *simRequest, endpoint int) {
	r.offered++
	r.after(replayHop, func() {
		if !q.done {
			r.enqueue(&run{request: q, copy: Second, endpoint: endpoint})
		}
	})
}

func (r *replay) enqueue(c *run) {
	c.request.runs[c.copy] = c
	e := r.endpoints[c.endpoint]
	e.queue = append(e.queue, c)
	if e.free > 0 {
		r.fill(c.endpoint)
		return
	}
	r.after(2*replayHop, func() {
		if c.running || c.ended {
			return
		}
		for i, other := range r.endpoints {
			if other.free > 0 {
				r.fill(i)
				return
			}
		}
	})
}

// fill gives a free slot to the oldest request of the endpoint's own queue, or else to the
// oldest of all queues.
func (r *replay) fill(endpoint int) {
	e := r.endpoints[endpoint]
	from := e
	if len(from.queue) == 0 {
		for _, other := range r.endpoints {
			if len(other.queue) > 0 && (len(from.queue) == 0 || other.queue[0].request.arrived.Before(from.queue[0].request.arrived)) {
				from = other
			}
		}
	}
	if e.free == 0 || len(from.queue) == 0 {
		return
	}
	c := from.queue[0]
	from.queue = from.queue[1:]
	if from != e {
		c.endpoint = endpoint
	}
	r.start(c)
}

func (r *replay) start(c *run) {
	q := c.request
	r.endpoints[c.endpoint].free--
	c.running, c.started = true, r.now
	if c.copy == Second {
		r.copies++
		if r.slowNow() {
			r.copiesSlow++
		}
	}
	work := float64(q.work[c.copy])
	if c.endpoint == 0 && r.load.slowEndpoint > 0 {
		work *= r.load.slowEndpoint
	}
	if r.slowNow() {
		work *= r.load.slowAll
	}
	r.after(time.Duration(work), func() { r.finish(c) })
	if other := q.runs[1-c.copy]; r.policy == tied && other != nil {
		r.after(replayHop, func() { r.cancel(other, c) })
	}
	if c.copy == First {
		r.startHedge(c)
	}
}

func (r *replay) slowNow() bool {
	return r.load.slowAll > 0 && r.now.Sub(replayStart) > replayTime/2
}

func (r *replay) startHedge(c *run) {
	snapshot := r.endpoints[c.request.home].snapshot
	switch r.policy {
	case afterFixedDelay:
		r.after(fixedDelay, func() { r.hedgeUnlimited(c) })
	case afterQuantile:
		if delay, ok := snapshot.Delay("", time.Minute); ok {
			r.after(delay, func() { r.hedgeUnlimited(c) })
		}
	case withinBudget:
		if delay, ok := snapshot.Delay("", time.Minute); ok {
			r.after(delay, func() { r.hedge(c, nil) })
		}
	}
}

func (r *replay) hedgeUnlimited(c *run) {
	if !c.request.done {
		r.secondCopy(c.request, (c.endpoint+1+r.random.IntN(replayEndpoints-1))%replayEndpoints)
	}
}

// hedge offers a copy to a peer, and to one more if that refuses, as the agents do.
func (r *replay) hedge(c *run, tried []ticket.EndpointKey) {
	q := c.request
	home := r.endpoints[q.home]
	peer, ok := home.snapshot.Choose(keyOf(c.endpoint), zoneOf(c.endpoint), tried, r.random.Uint64())
	if q.done || !ok || len(tried) == MaxOffers {
		return
	}
	r.offered++
	r.after(replayHop, func() {
		if q.done {
			return
		}
		to := r.endpoints[peer.Key-1]
		admission := to.state.Admit(r.now, "", Room{Slots: replaySlots, Free: to.free, Queued: len(to.queue)})
		if admission.Verdict == Admitted {
			second := &run{request: q, copy: Second, endpoint: int(peer.Key - 1), expected: admission.Expected}
			q.runs[Second] = second
			r.start(second)
		}
		r.after(replayHop, func() {
			home.state.Offered(r.now, Offered{Peer: peer.Key, Verdict: admission.Verdict, Delay: admission.Delay})
			if admission.Verdict != Admitted {
				r.hedge(c, append(tried, peer.Key))
			}
		})
	})
}

func (r *replay) finish(c *run) {
	if c.ended {
		return
	}
	q := c.request
	r.release(c)
	if q.done {
		r.wasted += r.now.Sub(c.started)
		return
	}
	q.done = true
	r.useful += r.now.Sub(c.started)
	if c.copy == First {
		r.endpoints[c.endpoint].state.Answered(r.now, Answered{Took: r.now.Sub(c.started)})
	} else {
		r.won++
	}
	latency := r.now.Sub(q.arrived)
	if c.endpoint != q.home {
		latency += replayHop
	}
	r.latencies = append(r.latencies, latency)
	if other := q.runs[1-c.copy]; other != nil {
		r.after(replayHop, func() { r.cancel(other, c) })
	}
}

// cancel ends a copy because of the other one, unless both have started at the same time
// and cancel each other: then the first copy stays.
func (r *replay) cancel(c, because *run) {
	if c.ended || !because.request.done && c.running && c.copy == First {
		return
	}
	if c.running {
		r.wasted += r.now.Sub(c.started)
		r.release(c)
		return
	}
	c.ended = true
	e := r.endpoints[c.endpoint]
	e.queue = slices.DeleteFunc(e.queue, func(q *run) bool { return q == c })
}

func (r *replay) release(c *run) {
	c.ended = true
	if c.expected > 0 {
		r.endpoints[c.endpoint].state.CopyEnded(CopyEnded{Expected: c.expected, Took: r.now.Sub(c.started)})
	}
	r.endpoints[c.endpoint].free++
	r.fill(c.endpoint)
}

func (r *replay) quantile(q float64) time.Duration {
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// work is the mean slot time of a request, with all its copies.
func (r *replay) work() float64 {
	return float64(r.useful+r.wasted) / float64(len(r.latencies))
}

// extra is by how many percent the slot time exceeds that without copies. It can be
// negative, since a straggler's first copy is cancelled.
func (r *replay) extra(none *replay) float64 { return 100 * (r.work()/none.work() - 1) }

// share returns a number in percent of the requests.
func (r *replay) share(n int) float64 { return 100 * float64(n) / float64(len(r.latencies)) }

func (r *replay) row(none *replay) string {
	millis := func(q float64) float64 { return float64(r.quantile(q)) / float64(time.Millisecond) }
	return fmt.Sprintf("%-28s | %6.0f | %6.0f | %6.0f | %6.1f | %6.1f | %6.1f", policyNames[r.policy],
		millis(0.5), millis(0.99), millis(0.999), r.extra(none), r.share(r.copies), r.share(r.won))
}

var replaySettings = Settings{Percent: 5, FreePercent: 30}

// Compares the ways to send second copies. Guards against a change of the decisions that
// makes them worse than no copies, or that exceeds the operators' limit.
func TestReplayOfPolicies(t *testing.T) {
	loads := []load{
		{name: "a third of the capacity", share: 0.33},
		{name: "0.9 of the capacity", share: 0.9},
		{name: "a third, one endpoint in seven takes 4 times as long", share: 0.33, slowEndpoint: 4},
		{name: "a third, stragglers are expensive requests", share: 0.33, byRequest: true},
		{name: "0.2, all take 3 times as long in the second half", share: 0.2, slowAll: 3},
	}
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			t.Logf("%-28s | p50 ms | p99    | p99.9  | extra%% | copies%%| won%%", "")
			none := runReplay(l, noCopies, replaySettings)
			t.Log(none.row(none))
			for p := afterFixedDelay; p <= tied; p++ {
				if l.share == 0.9 && p == twoAtOnce {
					continue // the load exceeds the capacity: the queues grow without limit
				}
				r := runReplay(l, p, replaySettings)
				t.Log(r.row(none))
				if p != withinBudget {
					continue
				}
				must.LessEq(t, replaySettings.Percent, r.share(r.copies))
				must.LessEq(t, replaySettings.Percent, r.extra(none))
				must.LessEq(t, 1.03*float64(none.quantile(0.99)), float64(r.quantile(0.99)))
				must.LessEq(t, 1.03*float64(none.quantile(0.5)), float64(r.quantile(0.5)))
				t.Logf("copies while all endpoints were slow: %d", r.copiesSlow)
			}
		})
	}
}

// Shows what the operators' limits cost. Guards against a limit that does not bound the
// number of copies.
func TestReplayOfLimits(t *testing.T) {
	third := load{name: "a third of the capacity", share: 0.33}
	slow := load{name: "a third, one endpoint in seven takes 4 times as long", share: 0.33, slowEndpoint: 4}
	high := load{name: "0.9 of the capacity", share: 0.9}
	cases := []struct {
		load   load
		limits []Settings
	}{
		{third, []Settings{{Percent: 2, FreePercent: 30}, {Percent: 5, FreePercent: 30}, {Percent: 10, FreePercent: 30}}},
		{slow, []Settings{{Percent: 5, FreePercent: 30}, {Percent: 10, FreePercent: 30}, {Percent: 20, FreePercent: 30}}},
		{high, []Settings{{Percent: 5, FreePercent: 0}, {Percent: 5, FreePercent: 30}, {Percent: 5, FreePercent: 60}}},
	}
	for _, c := range cases {
		t.Run(c.load.name, func(t *testing.T) {
			none := runReplay(c.load, noCopies, Settings{})
			for _, limits := range c.limits {
				r := runReplay(c.load, withinBudget, limits)
				t.Logf("%+v %s", limits, r.row(none))
				must.LessEq(t, limits.Percent, r.share(r.copies))
			}
		})
	}
}
