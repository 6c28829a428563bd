package measure

import "time"

// reportInterval is the time between load reports, and so their greatest age.
const reportInterval = 100 * time.Millisecond

// Policies returns the policies to compare: the baseline first, the system's own last.
func Policies() []Policy {
	return []Policy{
		{Name: "hash only"},
		{Name: "least loaded of two", Place: leastOfTwo},
		{Name: "least loaded of all", Place: leastOfAll},
		{Name: "local, then idle peer", Place: idlePeer},
		{Name: "slot exchange", Exchange: true},
	}
}

// jobs returns the number of jobs queued or running.
func (l load) jobs() int { return l.queued + l.running }

// leastOfTwo returns the less loaded of the home agent and one agent drawn at random.
func leastOfTwo(c *cluster, j *job) int {
	other := c.random.IntN(len(c.agents))
	if c.loads[other].jobs() < c.currentLoad(j.home).jobs() {
		return other
	}
	return j.home
}

// leastOfAll returns the agent with the least load by the reports; ties go to the home
// agent.
func leastOfAll(c *cluster, j *job) int {
	best, least := j.home, c.currentLoad(j.home).jobs()
	for i, l := range c.loads {
		if i != j.home && l.jobs() < least {
			best, least = i, l.jobs()
		}
	}
	return best
}

// idlePeer returns the home agent, unless it has no free slot and another agent has
// reported one.
func idlePeer(c *cluster, j *job) int {
	if c.currentLoad(j.home).free > 0 {
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

// currentLoad returns an agent's load now, as the agent itself knows it.
func (c *cluster) currentLoad(i int) load {
	s := c.agents[i].state
	return load{free: s.FreeSlots(c.now), queued: s.Queued(), running: s.Running()}
}
