package placement

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// ReportInterval is how often an agent reports its endpoint's load to the
	// balancers of a small deployment: a few times a caller's latency target of 100 ms
	// or more.
	ReportInterval = 100 * time.Millisecond
	// reportedFor is how long an endpoint counts as reachable after a report, in
	// intervals: three are lost in a row once in 40,000 at 3% loss.
	reportedFor = 3.5
	// leftAfter is how long after its last report an agent that said it would stop
	// counts as gone for good: longer than a planned restart takes.
	leftAfter = 10 * time.Second
	// newFor is how long a new endpoint may take to send its first report.
	newFor = time.Second
	// remoteCost is what a failure domain away costs, in shares of all slots:
	// traffic between failure domains is billed and takes a millisecond.
	remoteCost = 0.15
	// coldCost is how much more a cold endpoint's slots are worth; started
	// endpoints work at about half their speed.
	coldCost = 2.0
	// flowCost is the share of a slot that an open flow takes on average: a
	// feed has a request a second that runs for some 10 ms.
	flowCost = 0.01
	// failingCost is what an endpoint costs whose requests all fail, in shares of
	// all slots: more than a queue that is still in time.
	failingCost = 4.0
	// freeFailing is the share of failed requests, in thousandths, from which an
	// endpoint is not taken for free: two of the last twenty.
	freeFailing = 100
	// jitter keeps balancers with equal reports from one choice, in shares of
	// all slots.
	jitter = 0.1
)

// Gauge is the load of one endpoint as its agent reports it to a balancer. All
// of it is safe for concurrent use: reports arrive on one goroutine and new
// flows are placed on another.
type Gauge struct {
	heard atomic.Int64
	// interval is the pause until the next report, in nanoseconds.
	interval atomic.Int64
	running  atomic.Int64
	// mean is the mean number of running requests, in thousandths.
	mean  atomic.Int64
	flows atomic.Int64
	// failing is the share of late requests that failed, in thousandths.
	failing atomic.Int64
	// answer is the mean time that the endpoint works on a request, in nanoseconds,
	// or 0 where it is not known; slowness is that over the usual time of its
	// service, in thousandths, or 0 where it was not compared yet.
	answer   atomic.Int64
	slowness atomic.Int64
	silent   atomic.Bool
	leaving  atomic.Bool
	// placed counts flows placed here since the last report.
	placed atomic.Int64
}

// Usage is one report of an endpoint's load.
type Usage struct {
	Flows   int
	Running int
	// Mean is the mean number of running requests since the report before.
	Mean float64
	// Failing is the share of late requests that failed, 0 to 1.
	Failing float64
	// Answer is the mean time that the endpoint works on a request, or 0 where it
	// has not answered lately.
	Answer time.Duration
	// Interval is the pause until the next report.
	Interval time.Duration
	// Silent tells that the endpoint does not answer its agent.
	Silent bool
	// Leaving tells that the agent stops soon.
	Leaving bool
}

// Report takes an agent's report in.
func (g *Gauge) Report(now time.Duration, u Usage) {
	g.running.Store(int64(u.Running))
	g.mean.Store(int64(u.Mean * 1000))
	g.flows.Store(int64(u.Flows))
	g.failing.Store(int64(u.Failing * 1000))
	g.answer.Store(int64(u.Answer))
	g.silent.Store(u.Silent)
	g.leaving.Store(u.Leaving)
	g.placed.Store(0)
	g.interval.Store(int64(max(u.Interval, ReportInterval)))
	g.heard.Store(int64(max(now, 1)))
}

// Heard returns when the last report came, or 0.
func (g *Gauge) Heard() time.Duration { return time.Duration(g.heard.Load()) }

// Running returns how many requests are in progress, as far as is known: those of
// the last report, and one for each flow placed since.
func (g *Gauge) Running() int64 { return g.running.Load() + g.placed.Load() }

// Slowness returns how many times the usual answer time of its service the
// endpoint needs; 1 where that is below slowRatio.
func (g *Gauge) Slowness() float64 { return max(1, float64(g.slowness.Load())/1000) }

// Alive tells whether the agent has reported lately.
func (g *Gauge) Alive(now time.Duration) bool {
	heard := g.Heard()
	return heard > 0 && now-heard <= time.Duration(reportedFor*float64(g.interval.Load()))
}

// Left tells whether the agent has said that it stops, and has not come back.
func (g *Gauge) Left(now time.Duration) bool {
	return g.leaving.Load() && now-g.Heard() > leftAfter
}

// Candidate is an endpoint that may take a new flow.
type Candidate struct {
	Gauge *Gauge
	Slots int
	// Remote tells that it stands in another failure domain.
	Remote bool
	// ColdUntil is when a started endpoint reaches its full speed.
	ColdUntil time.Duration
	// Learned is when this process learned of the endpoint.
	Learned time.Duration
}

// standing ranks candidates before their load counts.
type standing int

const (
	usable standing = iota
	unheard
	suspected
)

func (c *Candidate) standing(now time.Duration) standing {
	g := c.Gauge
	switch {
	case g.leaving.Load():
		return suspected
	case g.Alive(now):
		if g.silent.Load() {
			return suspected
		}
		return usable
	case g.Heard() == 0 && now-c.Learned < newFor:
		return unheard
	default:
		return suspected
	}
}

// Free tells whether a new flow would find a slot at an endpoint that is well.
func (c *Candidate) Free(now time.Duration) bool {
	well := c.standing(now) == usable && c.Gauge.Slowness() == 1 && c.Gauge.failing.Load() < freeFailing
	return well && c.Gauge.Running() < int64(c.Slots)
}

func (c *Candidate) cost(now time.Duration, random *rand.Rand) float64 {
	g := c.Gauge
	load := (float64(g.running.Load()) + float64(g.mean.Load())/1000) / 2
	load += float64(g.placed.Load()) + flowCost*float64(g.flows.Load())
	cost := load / float64(max(c.Slots, 1))
	if now < c.ColdUntil {
		cost = cost*coldCost + 1/float64(max(c.Slots, 1))
	}
	// An answer takes slowness times as long, also from an endpoint without load.
	cost = (cost+1)*g.Slowness() - 1
	if c.Remote {
		cost += remoteCost
	}
	cost += failingCost * float64(g.failing.Load()) / 1000
	return cost + jitter*random.Float64()
}

// Choose returns the indexes of the best candidate for a new flow and of the
// next best, or -1. Candidates that exclude names come last: a suspicion never
// leaves a service without an endpoint.
func Choose(now time.Duration, random *rand.Rand, candidates []*Candidate, exclude func(int) bool) (first, second int) {
	first, second = -1, -1
	var best, next rank
	for i, c := range candidates {
		if exclude != nil && exclude(i) {
			continue
		}
		r := rank{standing: c.standing(now), cost: c.cost(now, random)}
		switch {
		case first < 0 || r.before(best):
			second, next = first, best
			first, best = i, r
		case second < 0 || r.before(next):
			second, next = i, r
		}
	}
	if second >= 0 && next.standing == suspected {
		second = -1
	}
	if first >= 0 {
		candidates[first].Gauge.placed.Add(1)
	}
	return first, second
}

type rank struct {
	standing standing
	cost     float64
}

func (r rank) before(other rank) bool {
	if r.standing != other.standing {
		return r.standing < other.standing
	}
	return r.cost < other.cost
}
