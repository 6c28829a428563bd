package placement

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// maxPaceDebt is how many intervals ahead flows are counted that were placed at a cold endpoint
// although its pace allowed none, because there was no other.
const maxPaceDebt = 2

// pace records when the next flow may be placed at a cold endpoint. All balancers together then
// place them at the rate that the endpoint can take, without a message between them.
type pace struct {
	// begunFor is the AddedAt of the candidate for which it was begun.
	begunFor atomic.Int64
	next     atomic.Int64
}

// beginPace begins the pace of an endpoint that was added, at a random point of the first interval:
// otherwise all balancers would place a flow there at once.
func (c *Candidate) beginPace(random *rand.Rand) {
	p := &c.AgentLoad.pace
	if c.ColdInterval > 0 && p.begunFor.Load() != int64(c.AddedAt) {
		p.begunFor.Store(int64(c.AddedAt))
		p.next.Store(int64(c.AddedAt) + random.Int64N(int64(c.ColdInterval)))
	}
}

// isPaced reports whether the endpoint is cold and its next flow is not due yet.
func (c *Candidate) isPaced(now time.Duration) bool {
	return c.ColdInterval > 0 && now < c.ColdUntil && int64(now) < c.AgentLoad.pace.next.Load()
}

// countPace counts a flow that is placed at the endpoint.
func (c *Candidate) countPace(now time.Duration) {
	if c.ColdInterval > 0 && now < c.ColdUntil {
		next := max(time.Duration(c.AgentLoad.pace.next.Load()), now) + c.ColdInterval
		c.AgentLoad.pace.next.Store(int64(min(next, now+maxPaceDebt*c.ColdInterval)))
	}
}
