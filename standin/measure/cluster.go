package measure

import (
	"math/rand/v2"
	"time"

	"cactustray/admission"
	"cactustray/ticket"
)

const tickInterval = 50 * time.Millisecond

// Policy decides which agent gets a job and whether agents transfer queued jobs.
type Policy struct {
	Name string
	// Place returns the index of the agent for a job, chosen by load reports. If it is
	// nil, the home agent gets the job.
	Place func(c *cluster, j *job) int
	// Exchange is true if agents request free slots from their peers.
	Exchange bool
}

// agent is one agent with its backend server.
type agent struct {
	key          ticket.EndpointKey
	index        int
	state        *admission.State
	slotRequests map[ticket.EndpointKey]admission.SlotRequestID
}

// slotRequestEnds are the two agents of a slot request.
type slotRequestEnds struct {
	from *agent
	to   *agent
}

// load is an agent's load as last reported: free slots, queued and running jobs.
type load struct{ free, queued, running int }

// cluster simulates the agents of one service, which exchange messages with a delay.
type cluster struct {
	model
	*tally
	random *rand.Rand
	policy Policy
	agents []*agent
	jobs   map[admission.RequestID]*job
	// owners holds, for each transferred request, the agent that transferred it.
	owners map[admission.RequestID]*agent
	// attempts holds the attempt number of each transferred request.
	attempts        map[admission.RequestID]int
	slotRequests    map[admission.SlotRequestID]slotRequestEnds
	lastSlotRequest admission.SlotRequestID
	loads           []load
}

func newCluster(policy Policy, d Deployment, seed uint64, start, measureFrom time.Time) *cluster {
	c := &cluster{
		model:        model{now: start},
		tally:        newTally(policy.Name, d.Endpoints, measureFrom),
		random:       rand.New(rand.NewPCG(seed, 1)),
		policy:       policy,
		jobs:         make(map[admission.RequestID]*job),
		owners:       make(map[admission.RequestID]*agent),
		attempts:     make(map[admission.RequestID]int),
		slotRequests: make(map[admission.SlotRequestID]slotRequestEnds),
		loads:        make([]load, d.Endpoints),
	}
	limits := admission.Limits{Slots: d.Slots, QueueTime: queueTimeout}
	for i := range d.Endpoints {
		a := &agent{key: ticket.EndpointKey(i + 1), index: i, slotRequests: make(map[ticket.EndpointKey]admission.SlotRequestID)}
		random := rand.New(rand.NewPCG(seed, uint64(i+2)))
		a.state = admission.NewState(start, limits, random, func(admission.Violation) { c.Violations++ })
		c.agents = append(c.agents, a)
	}
	if policy.Exchange {
		c.joinPeers()
	}
	for _, a := range c.agents {
		c.tick(a)
	}
	c.report()
	return c
}

func (c *cluster) joinPeers() {
	for _, a := range c.agents {
		var peers []ticket.EndpointKey
		for _, other := range c.agents {
			if other != a {
				peers = append(peers, other.key)
			}
		}
		a.state.SetPeers(c.now, peers)
	}
}

func (c *cluster) tick(a *agent) {
	c.apply(a, a.state.Tick(c.now, tickInterval))
	c.after(tickInterval, func() { c.tick(a) })
}

// report publishes the agents' loads, once per report interval.
func (c *cluster) report() {
	for i, a := range c.agents {
		c.loads[i] = load{free: a.state.FreeSlots(c.now), queued: a.state.Queued(), running: a.state.Running()}
	}
	c.after(reportInterval, c.report)
}

// submit sends a caller's job to the agent that the policy chooses.
func (c *cluster) submit(j *job) {
	c.arrived(j)
	id := admission.RequestID(j.id)
	c.jobs[id] = j
	to := c.agents[j.home]
	delay := time.Duration(0)
	if c.policy.Place != nil {
		to = c.agents[c.policy.Place(c, j)]
	}
	if to.index != j.home {
		delay = oneWayDelay
		c.HandedOver++
		c.Messages += 2
	}
	c.after(delay, func() {
		c.apply(to, to.state.Arrive(c.now, admission.Request{ID: id, Deadline: j.deadline}))
	})
}

func (c *cluster) apply(a *agent, out admission.Outputs) {
	for _, d := range out.Decisions {
		c.handleDecision(a, d)
	}
	for _, g := range out.Grants {
		c.handleGrant(a, g)
	}
	for _, key := range out.WithdrawFrom {
		request := a.slotRequests[key]
		delete(a.slotRequests, key)
		c.send(func() { c.agents[key-1].state.SlotWithdrawn(request) })
	}
	for _, key := range out.RequestFrom {
		c.request(a, c.agents[key-1])
	}
}

func (c *cluster) send(run func()) {
	c.Messages++
	c.after(oneWayDelay, run)
}

// request requests a free slot from a peer.
func (c *cluster) request(a, peer *agent) {
	c.lastSlotRequest++
	request := c.lastSlotRequest
	c.slotRequests[request] = slotRequestEnds{from: a, to: peer}
	a.slotRequests[peer.key] = request
	waited := a.state.OldestWait(c.now)
	c.send(func() { c.apply(peer, peer.state.SlotRequested(c.now, request, waited)) })
}

func (c *cluster) handleGrant(peer *agent, g admission.Grant) {
	to := c.slotRequests[g.SlotRequest].from
	c.send(func() {
		decline := func() {
			c.send(func() { c.apply(peer, peer.state.ReservationDeclined(c.now, g.Reservation)) })
		}
		if to.slotRequests[peer.key] != g.SlotRequest {
			decline()
			return
		}
		delete(to.slotRequests, peer.key)
		out, used := to.state.SlotOffered(c.now, peer.key, g.Reservation)
		c.apply(to, out)
		if !used {
			decline()
		}
	})
}

func (c *cluster) handleDecision(a *agent, d admission.Decision) {
	j := c.jobs[d.ID]
	owner := c.owners[d.ID]
	switch {
	case d.Refusal != admission.None && owner != nil && owner != a:
		delete(c.owners, d.ID)
		c.send(func() { c.apply(owner, owner.state.Return(c.now, d.ID, c.attempts[d.ID])) })
	case d.Refusal != admission.None:
		c.refuse(j)
	case d.Peer != 0:
		c.transfer(a, d)
	default:
		c.started(j, a.index)
		c.after(j.work, func() { c.finish(a, d.ID) })
	}
}

func (c *cluster) transfer(a *agent, d admission.Decision) {
	c.HandedOver++
	c.owners[d.ID] = a
	c.attempts[d.ID] = d.Attempt
	peer := c.agents[d.Peer-1]
	request := admission.Request{ID: d.ID, Deadline: c.jobs[d.ID].deadline, Reservation: d.Reservation}
	c.send(func() { c.apply(peer, peer.state.Arrive(c.now, request)) })
}

func (c *cluster) finish(a *agent, id admission.RequestID) {
	j := c.jobs[id]
	c.apply(a, a.state.Finish(c.now, id))
	owner := c.owners[id]
	if owner == nil || owner == a {
		c.answered(j, c.now)
		delete(c.jobs, id)
		return
	}
	c.send(func() {
		c.apply(owner, owner.state.Finish(c.now, id))
		c.answered(j, c.now)
		delete(c.jobs, id)
		delete(c.owners, id)
	})
}
