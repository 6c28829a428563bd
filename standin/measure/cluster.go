package measure

import (
	"math/rand/v2"
	"time"

	"cactustray/admission"
	"cactustray/ticket"
)

const tickInterval = 50 * time.Millisecond

// Policy says where a job goes and whether agents hand work over.
type Policy struct {
	Name string
	// Place picks the agent for a job by load reports; nil means its home.
	Place func(c *cluster, j *job) int
	// Exchange lets agents ask their peers for free slots.
	Exchange bool
}

// agent is one agent with its backend server.
type agent struct {
	key   ticket.EndpointKey
	index int
	state *admission.State
	asks  map[ticket.EndpointKey]admission.AskID
}

type asked struct {
	from *agent
	at   *agent
}

// load is what an agent last reported.
type load struct{ free, queued, running int }

// cluster is the agents of one service, joined by messages with a delay.
type cluster struct {
	model
	*tally
	random *rand.Rand
	policy Policy
	agents []*agent
	jobs   map[admission.RequestID]*job
	owners map[admission.RequestID]*agent
	// attempts are the attempts of requests that were handed over.
	attempts map[admission.RequestID]int
	asks     map[admission.AskID]asked
	lastAsk  admission.AskID
	loads    []load
}

func newCluster(policy Policy, d Deployment, seed uint64, start, from time.Time) *cluster {
	c := &cluster{
		model:    model{now: start},
		tally:    newTally(policy.Name, d.Endpoints, from),
		random:   rand.New(rand.NewPCG(seed, 1)),
		policy:   policy,
		jobs:     make(map[admission.RequestID]*job),
		owners:   make(map[admission.RequestID]*agent),
		attempts: make(map[admission.RequestID]int),
		asks:     make(map[admission.AskID]asked),
		loads:    make([]load, d.Endpoints),
	}
	limits := admission.Limits{Slots: d.Slots, QueueTime: queueTime}
	for i := range d.Endpoints {
		a := &agent{key: ticket.EndpointKey(i + 1), index: i, asks: make(map[ticket.EndpointKey]admission.AskID)}
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

// report spreads the agents' loads, as old as a report interval.
func (c *cluster) report() {
	for i, a := range c.agents {
		c.loads[i] = load{free: a.state.FreeSlots(c.now), queued: a.state.Queued(), running: a.state.Running()}
	}
	c.after(reportInterval, c.report)
}

// offer brings a caller's job to the agent that the policy picks.
func (c *cluster) offer(j *job) {
	c.arrived(j)
	id := admission.RequestID(j.id)
	c.jobs[id] = j
	to := c.agents[j.home]
	delay := time.Duration(0)
	if c.policy.Place != nil {
		to = c.agents[c.policy.Place(c, j)]
	}
	if to.index != j.home {
		delay = oneWay
		c.HandedOver++
		c.Messages += 2
	}
	c.after(delay, func() {
		c.apply(to, to.state.Arrive(c.now, admission.Request{ID: id, Deadline: j.deadline}))
	})
}

func (c *cluster) apply(a *agent, out admission.Outputs) {
	for _, d := range out.Decisions {
		c.decided(a, d)
	}
	for _, g := range out.Granted {
		c.granted(a, g)
	}
	for _, key := range out.Withdraw {
		ask := a.asks[key]
		delete(a.asks, key)
		c.send(func() { c.agents[key-1].state.SlotWithdrawn(ask) })
	}
	for _, key := range out.Ask {
		c.ask(a, c.agents[key-1])
	}
}

func (c *cluster) send(run func()) {
	c.Messages++
	c.after(oneWay, run)
}

func (c *cluster) ask(a, peer *agent) {
	c.lastAsk++
	ask := c.lastAsk
	c.asks[ask] = asked{from: a, at: peer}
	a.asks[peer.key] = ask
	waited := a.state.Waited(c.now)
	c.send(func() { c.apply(peer, peer.state.SlotAsked(c.now, ask, waited)) })
}

func (c *cluster) granted(peer *agent, g admission.Granted) {
	to := c.asks[g.Ask].from
	c.send(func() {
		decline := func() {
			c.send(func() { c.apply(peer, peer.state.ReservationDeclined(c.now, g.Reservation)) })
		}
		if to.asks[peer.key] != g.Ask {
			decline()
			return
		}
		delete(to.asks, peer.key)
		out, used := to.state.SlotOffered(c.now, peer.key, g.Reservation)
		c.apply(to, out)
		if !used {
			decline()
		}
	})
}

func (c *cluster) decided(a *agent, d admission.Decision) {
	j := c.jobs[d.ID]
	owner := c.owners[d.ID]
	switch {
	case d.Refusal != admission.None && owner != nil && owner != a:
		delete(c.owners, d.ID)
		c.send(func() { c.apply(owner, owner.state.Return(c.now, d.ID, c.attempts[d.ID])) })
	case d.Refusal != admission.None:
		c.refuse(j)
	case d.Peer != 0:
		c.handOver(a, d)
	default:
		c.started(j, a.index)
		c.after(j.work, func() { c.finish(a, d.ID) })
	}
}

func (c *cluster) handOver(a *agent, d admission.Decision) {
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
