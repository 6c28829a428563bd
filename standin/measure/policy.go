package measure

import "time"

// reportInterval is how old load reports get.
const reportInterval = 100 * time.Millisecond

// Policies are those weighed: the baseline first, ours last.
func Policies() []Policy {
	return []Policy{
		{Name: "hash only"},
		{Name: "least loaded of two", Place: leastOfTwo},
		{Name: "least loaded of all", Place: leastOfAll},
		{Name: "local, then idle peer", Place: idlePeer},
		{Name: "slot exchange", Exchange: true},
	}
}

func (l load) waiting() int { return l.queued + l.running }

// leastOfTwo compares the home with one peer drawn at random.
func leastOfTwo(c *cluster, j *job) int {
	other := c.random.IntN(len(c.agents))
	if c.loads[other].waiting() < c.fresh(j.home).waiting() {
		return other
	}
	return j.home
}

// leastOfAll joins the shortest queue that the reports tell of.
func leastOfAll(c *cluster, j *job) int {
	best, least := j.home, c.fresh(j.home).waiting()
	for i, l := range c.loads {
		if i != j.home && l.waiting() < least {
			best, least = i, l.waiting()
		}
	}
	return best
}

// idlePeer leaves the home only when it is busy and a peer reported a free
// slot.
func idlePeer(c *cluster, j *job) int {
	if c.fresh(j.home).free > 0 {
		return j.home
	}
	first := c.random.IntN(len(c.agents))
	for i := range c.agents {
		at := (first + i) % len(c.agents)
		if c.loads[at].free > 0 {
			c.loads[at].free--
			return at
		}
	}
	return j.home
}

// fresh is an agent's own load, which it always knows.
func (c *cluster) fresh(i int) load {
	s := c.agents[i].state
	return load{free: s.FreeSlots(c.now), queued: s.Queued(), running: s.Running()}
}
