package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// waitShare is the share of a request's latency goal that it may wait for a slot in its own
// failure domain. Flows are long-lived: a larger share leaves no reserve for the requests
// that follow on a flow. design/placement-domains.md has the measured alternatives.
const waitShare = 0.1

// Domain is where a new flow is placed.
type Domain uint8

const (
	// AnyDomain: neither the balancer's failure domain nor another has a healthy endpoint.
	AnyDomain Domain = iota
	// OwnDomain: the balancer's failure domain.
	OwnDomain
	// OtherDomain: another failure domain.
	OtherDomain
)

// Includes reports whether the candidate is in the domain.
func (d Domain) Includes(c *Candidate) bool {
	return d == AnyDomain || c.Remote == (d == OtherDomain)
}

// isHealthy reports whether the candidate is usable, neither slow nor failing.
func (c *Candidate) isHealthy(now time.Duration) bool {
	l := c.AgentLoad
	return c.status(now) == usable && l.Slowness() == 1 && l.failing.Load() < failingThreshold
}

// maxWait returns how long a request with the latency goal may wait for a slot before its
// flow goes to another failure domain.
func maxWait(goal time.Duration) time.Duration { return time.Duration(waitShare * float64(goal)) }

// work returns how long the endpoint works on a request, or 0 if that is not known. A cold
// endpoint may have reported the time that requests took before its restart.
func (c *Candidate) work(now time.Duration) float64 {
	work := float64(c.AgentLoad.processingTime.Load())
	if now < c.ColdUntil {
		work *= coldCostFactor
	}
	return work
}

// expectedWait returns how long a new request would wait for a slot. If all slots are taken
// and the processing time is not known, that is unlimited.
func (c *Candidate) expectedWait(now time.Duration) time.Duration {
	l, slots := c.AgentLoad, float64(max(c.Slots, 1))
	load := (float64(l.running.Load())+float64(l.meanRunning.Load())/1000)/2 + float64(l.placed.Load())
	ahead := load - slots + 1
	if ahead <= 0 {
		return 0
	}
	work := c.work(now)
	if work == 0 {
		if load < slots {
			return 0
		}
		return math.MaxInt64
	}
	return time.Duration(ahead * work / slots)
}

// RunningWithinGoal returns the number of requests in progress up to which a new request with
// the latency goal starts soon enough at the endpoint.
func (c *Candidate) RunningWithinGoal(now time.Duration, goal time.Duration) int64 {
	slots := float64(max(c.Slots, 1))
	work := c.work(now)
	if work == 0 {
		return int64(slots)
	}
	return int64(slots - 1 + float64(maxWait(goal))*slots/work)
}

// ChooseDomain returns the failure domain in which a flow of requests with the latency goal
// is placed. It is the balancer's own while a healthy endpoint there is expected to start the
// request within waitShare of the goal. Beyond that, flows go to another domain with a
// probability in proportion to the excess over the wait there, so that balancers with equal
// reports neither all leave the domain at once nor all return. Candidates for which exclude
// returns true are left out; exclude may be nil.
func ChooseDomain(now time.Duration, random *rand.Rand, candidates []*Candidate, exclude func(int) bool, goal time.Duration) Domain {
	const none = time.Duration(-1)
	own, other := none, none
	for i, c := range candidates {
		if exclude != nil && exclude(i) || !c.isHealthy(now) {
			continue
		}
		best := &own
		if c.Remote {
			best = &other
		}
		if *best == none || *best > 0 {
			if wait := c.expectedWait(now); *best == none || wait < *best {
				*best = wait
			}
		}
	}
	switch {
	case own == none && other == none:
		return AnyDomain
	case own == none:
		return OtherDomain
	case other == none:
		return OwnDomain
	}
	allowed := maxWait(goal)
	excess := float64(own) - float64(other) - float64(allowed)
	if excess <= 0 || random.Float64()*float64(allowed) >= excess {
		return OwnDomain
	}
	return OtherDomain
}

// NextBest returns the index of the best candidate that is not suspected, or -1. It counts
// no flow as placed there.
func NextBest(now time.Duration, random *rand.Rand, candidates []*Candidate, exclude func(int) bool) int {
	index := -1
	var best rank
	for i, c := range candidates {
		if exclude(i) || c.status(now) == suspected {
			continue
		}
		if r := (rank{status: c.status(now), cost: c.cost(now, random)}); index < 0 || r.before(best) {
			index, best = i, r
		}
	}
	return index
}
