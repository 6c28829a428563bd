package admission

import (
	"fmt"
	"testing"
	"time"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

type testAnswer string

func (a testAnswer) Size() int { return len(a) }

// keyRun is one claimed key on its way at its keeper.
type claimedKey struct {
	agent       int
	incarnation int
	key         Key
	arrived     time.Time
	peers       []ticket.EndpointKey
	statuses    []KeyStatus
}

// keepers are the agents of one service with one caller per key, who asks
// again and again through any agent.
type keySimulation struct {
	t            *rapid.T
	now          time.Time
	nodes        []*Keeper
	incarnations []int
	down         []bool
	tickets      [][]ticket.EndpointKey
	// holds is the ticket each agent has.
	held []int
	// asking and running are claims in progress.
	querying []*claimedKey
	running  []*claimedKey
	// runs lists when the requests arrived with which each key ran.
	runs map[Key][]time.Time
	// lostAt is when each agent was killed.
	killedAt      []time.Time
	inTransit     []inTransit
	lastForwardID ForwardID
}

const (
	keyAgents = 4
	keyCount  = 3
)

func newKeySimulation(t *rapid.T) *keySimulation {
	k := &keySimulation{t: t, now: start, runs: make(map[Key][]time.Time)}
	var all []ticket.EndpointKey
	for i := range keyAgents {
		all = append(all, ticket.EndpointKey(i+1))
	}
	k.tickets = [][]ticket.EndpointKey{all}
	for i := range keyAgents {
		node := NewKeeper(k.now, ticket.EndpointKey(i+1))
		node.SetMembers(k.now, membersOf(all))
		k.nodes = append(k.nodes, node)
	}
	k.incarnations = make([]int, keyAgents)
	k.down = make([]bool, keyAgents)
	k.held = make([]int, keyAgents)
	k.killedAt = make([]time.Time, keyAgents)
	return k
}

// membersOf returns the members of a ticket that drains all but the given
// endpoints.
func membersOf(owners []ticket.EndpointKey) Members {
	m := Members{Keepers: owners}
	for i := range keyAgents {
		m.All = append(m.All, ticket.EndpointKey(i+1))
	}
	return m
}

func (k *keySimulation) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(k.t, name) }

// moving is a request on its way to its key's keeper.
type inTransit struct {
	key       Key
	agent     int
	hops      int
	forwardID ForwardID
	forwarder ticket.EndpointKey
}

// claim sends a caller's request in through an agent.
func (k *keySimulation) claim() {
	k.lastForwardID++
	k.inTransit = append(k.inTransit, inTransit{
		key: Key(fmt.Sprint("key-", k.draw("key", keyCount))), agent: k.draw("entry", keyAgents), forwardID: k.lastForwardID,
	})
}

// hop lets one request reach an agent, which passes it on to the keeper by its
// own ticket, or claims the key. The agent waits for the ticket by which the
// one before passed the request on.
func (k *keySimulation) forwardOne() {
	if len(k.inTransit) == 0 {
		return
	}
	i := k.draw("moving", len(k.inTransit))
	m := k.inTransit[i]
	k.inTransit = append(k.inTransit[:i], k.inTransit[i+1:]...)
	if k.down[m.agent] || m.hops > 3 {
		return
	}
	if m.hops > 0 && k.held[m.agent] < k.held[int(m.forwarder-1)] {
		k.receiveTicketAt(m.agent)
	}
	owner, _ := KeeperOf(m.key, k.tickets[k.held[m.agent]])
	if owner == ticket.EndpointKey(m.agent+1) {
		k.nodes[m.agent].CameBack(m.key, m.forwardID)
		k.claimAt(m.agent, m.key, m.forwarder)
		return
	}
	k.nodes[m.agent].PassOn(k.now, m.key, m.forwardID)
	m.forwarder = ticket.EndpointKey(m.agent + 1)
	m.agent = int(owner - 1)
	m.hops++
	k.inTransit = append(k.inTransit, m)
}

func (k *keySimulation) claimAt(agent int, key Key, forwarder ticket.EndpointKey) {
	claim := k.nodes[agent].Claim(k.now, key, 1)
	k.t.Logf("%v agent %d claims %s: %+v", k.now.Sub(start), agent, key, claim)
	run := &claimedKey{agent: agent, incarnation: k.incarnations[agent], key: key, arrived: k.now, peers: claim.Peers}
	switch claim.Verdict {
	case QueryPeers:
		k.querying = append(k.querying, run)
	case Run:
		if forwarder == 0 {
			k.replicate(run)
		}
		k.run(run)
	}
}

func (k *keySimulation) replicate(run *claimedKey) {
	for i := range k.nodes {
		if i != run.agent && !k.down[i] {
			k.nodes[i].AddReplica(k.now, run.key)
			return
		}
	}
}

// recall lets one asked agent answer, or fail to.
func (k *keySimulation) queryOne() {
	if len(k.querying) == 0 {
		return
	}
	i := k.draw("asking", len(k.querying))
	run := k.querying[i]
	if len(run.statuses) < len(run.peers) {
		peer := int(run.peers[len(run.statuses)] - 1)
		status := KeyStatus{Unreachable: true}
		if !k.down[peer] && k.draw("lost", 10) > 0 {
			status = k.nodes[peer].AddReplica(k.now, run.key)
		}
		run.statuses = append(run.statuses, status)
		return
	}
	k.querying = append(k.querying[:i], k.querying[i+1:]...)
	if run.incarnation != k.incarnations[run.agent] {
		return
	}
	claim := k.nodes[run.agent].Recalled(k.now, run.key, run.statuses)
	k.t.Logf("%v agent %d recalled %s from %v: %+v gives %+v", k.now.Sub(start), run.agent, run.key, run.peers, run.statuses, claim)
	if claim.Verdict == Run {
		k.run(run)
	}
}

// run is the dispatch to a backend server.
func (k *keySimulation) run(run *claimedKey) {
	for _, earlier := range k.runs[run.key] {
		if interval := run.arrived.Sub(earlier); interval < DedupWindow {
			k.t.Fatalf("%s ran twice for requests %v apart", run.key, interval)
		}
	}
	k.runs[run.key] = append(k.runs[run.key], run.arrived)
	k.running = append(k.running, run)
}

func (k *keySimulation) finishOne() {
	if len(k.running) == 0 {
		return
	}
	i := k.draw("running", len(k.running))
	run := k.running[i]
	k.running = append(k.running[:i], k.running[i+1:]...)
	if run.incarnation != k.incarnations[run.agent] {
		return
	}
	switch k.draw("outcome", 3) {
	case 0:
		k.nodes[run.agent].Settled(k.now, run.key, nil)
	default:
		k.nodes[run.agent].Settled(k.now, run.key, testAnswer("confirmed"))
	}
}

// kill ends an agent; it comes back later with no memory. One agent is lost
// within KeepTime, as the stated window allows.
func (k *keySimulation) kill() {
	for i := range k.nodes {
		if k.down[i] || k.now.Sub(k.killedAt[i]) < DedupWindow && !k.killedAt[i].IsZero() {
			return
		}
	}
	agent := k.draw("killed", keyAgents)
	k.down[agent] = true
	k.incarnations[agent]++
	k.killedAt[agent] = k.now
	k.t.Logf("%v agent %d killed", k.now.Sub(start), agent)
}

func (k *keySimulation) restart() {
	for i := range k.nodes {
		if k.down[i] {
			k.down[i] = false
			k.nodes[i] = NewKeeper(k.now, ticket.EndpointKey(i+1))
			k.nodes[i].SetMembers(k.now, membersOf(k.tickets[k.held[i]]))
		}
	}
}

// publish makes a ticket that drains one endpoint, or none.
func (k *keySimulation) publish() {
	all := k.tickets[0]
	draining := k.draw("draining", keyAgents+1)
	var next []ticket.EndpointKey
	for i, e := range all {
		if i != draining {
			next = append(next, e)
		}
	}
	k.tickets = append(k.tickets, next)
}

// learn brings the newest ticket to one agent.
func (k *keySimulation) receiveTicket() { k.receiveTicketAt(k.draw("learner", keyAgents)) }

func (k *keySimulation) receiveTicketAt(agent int) {
	if k.down[agent] || k.held[agent] == len(k.tickets)-1 {
		return
	}
	k.held[agent] = len(k.tickets) - 1
	k.t.Logf("%v agent %d learns %v", k.now.Sub(start), agent, k.tickets[k.held[agent]])
	k.nodes[agent].SetMembers(k.now, membersOf(k.tickets[k.held[agent]]))
}

// pass lets seconds go by, in which a ticket reaches every live agent.
func (k *keySimulation) advance() {
	for agent := range k.nodes {
		k.receiveTicketAt(agent)
	}
	k.now = k.now.Add(time.Duration(1+k.draw("seconds", 50)) * time.Second)
	for i, node := range k.nodes {
		if !k.down[i] {
			node.Tick(k.now, time.Second)
		}
	}
}

// A key never runs twice within KeepTime, while callers retry through any
// agent, tickets drain endpoints and reach agents at different times, answers
// between agents are lost, and one agent at a time is killed and started anew.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newKeySimulation(t)
		actions := []func(){k.claim, k.claim, k.claim, k.forwardOne, k.forwardOne, k.forwardOne, k.forwardOne, k.forwardOne, k.queryOne, k.queryOne, k.queryOne, k.queryOne, k.queryOne,
			k.finishOne, k.advance, k.kill, k.restart, k.publish, k.receiveTicket, k.receiveTicket}
		for range rapid.IntRange(1, caseSteps()).Draw(t, "steps") {
			actions[k.draw("action", len(actions))]()
		}
	})
}

// A request that comes back to an agent that passed it on, since a ticket made
// that agent the key's keeper meanwhile, runs: nobody else has seen the key.
func TestForwardedRequestRunsWhenItReturns(t *testing.T) {
	all := []ticket.EndpointKey{1, 2, 3, 4}
	forwarded := func(id ForwardID) *Keeper {
		k := NewKeeper(start, 1)
		k.SetMembers(start, membersOf(all))
		now := start.Add(2 * DedupWindow)
		k.Tick(now, time.Second)
		must.False(t, k.PassOn(now, "key", id).Known)
		return k
	}
	now := start.Add(2*DedupWindow + time.Second)
	t.Run("by the same request", func(t *testing.T) {
		k := forwarded(7)
		k.CameBack("key", 7)
		must.EqOp(t, Run, k.Claim(now, "key", 1).Verdict)
	})
	t.Run("not by another request", func(t *testing.T) {
		k := forwarded(7)
		k.CameBack("key", 8)
		must.EqOp(t, Uncertain, k.Claim(now, "key", 1).Verdict)
	})
	t.Run("not after a second request was passed on", func(t *testing.T) {
		k := forwarded(7)
		must.True(t, k.PassOn(now, "key", 8).Known)
		k.CameBack("key", 7)
		must.EqOp(t, Uncertain, k.Claim(now, "key", 1).Verdict)
	})
	t.Run("not after a keeper asked for the key", func(t *testing.T) {
		k := forwarded(7)
		must.True(t, k.AddReplica(now, "key").Known)
		k.CameBack("key", 7)
		must.EqOp(t, Uncertain, k.Claim(now, "key", 1).Verdict)
	})
}
