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
type keyRun struct {
	at       int
	boot     int
	key      Key
	arrived  time.Time
	ask      []ticket.EndpointKey
	memories []Memory
}

// keepers are the agents of one service with one caller per key, who asks
// again and again through any agent.
type keepers struct {
	t       *rapid.T
	now     time.Time
	nodes   []*Keeper
	boots   []int
	down    []bool
	tickets [][]ticket.EndpointKey
	// holds is the ticket each agent has.
	holds []int
	// asking and running are claims in progress.
	asking  []*keyRun
	running []*keyRun
	// runs lists when the requests arrived with which each key ran.
	runs map[Key][]time.Time
	// lostAt is when each agent was killed.
	lostAt []time.Time
	moving []moving
	passes PassID
}

const (
	keeperAgents = 4
	keeperKeys   = 3
)

func newKeepers(t *rapid.T) *keepers {
	k := &keepers{t: t, now: start, runs: make(map[Key][]time.Time)}
	var all []ticket.EndpointKey
	for i := range keeperAgents {
		all = append(all, ticket.EndpointKey(i+1))
	}
	k.tickets = [][]ticket.EndpointKey{all}
	for i := range keeperAgents {
		node := NewKeeper(k.now, ticket.EndpointKey(i+1))
		node.SetMembers(k.now, membersOf(all))
		k.nodes = append(k.nodes, node)
	}
	k.boots = make([]int, keeperAgents)
	k.down = make([]bool, keeperAgents)
	k.holds = make([]int, keeperAgents)
	k.lostAt = make([]time.Time, keeperAgents)
	return k
}

// membersOf returns the members of a ticket that drains all but the given
// endpoints.
func membersOf(keepers []ticket.EndpointKey) Members {
	m := Members{Keepers: keepers}
	for i := range keeperAgents {
		m.All = append(m.All, ticket.EndpointKey(i+1))
	}
	return m
}

func (k *keepers) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(k.t, name) }

// moving is a request on its way to its key's keeper.
type moving struct {
	key     Key
	at      int
	hops    int
	pass    PassID
	witness ticket.EndpointKey
}

// claim sends a caller's request in through an agent.
func (k *keepers) claim() {
	k.passes++
	k.moving = append(k.moving, moving{
		key: Key(fmt.Sprint("key-", k.draw("key", keeperKeys))), at: k.draw("entry", keeperAgents), pass: k.passes,
	})
}

// hop lets one request reach an agent, which passes it on to the keeper by its
// own ticket, or claims the key. The agent waits for the ticket by which the
// one before passed the request on.
func (k *keepers) hop() {
	if len(k.moving) == 0 {
		return
	}
	i := k.draw("moving", len(k.moving))
	m := k.moving[i]
	k.moving = append(k.moving[:i], k.moving[i+1:]...)
	if k.down[m.at] || m.hops > 3 {
		return
	}
	if m.hops > 0 && k.holds[m.at] < k.holds[int(m.witness-1)] {
		k.learnAt(m.at)
	}
	keeper, _ := KeeperOf(m.key, k.tickets[k.holds[m.at]])
	if keeper == ticket.EndpointKey(m.at+1) {
		k.nodes[m.at].CameBack(m.key, m.pass)
		k.claimAt(m.at, m.key, m.witness)
		return
	}
	k.nodes[m.at].PassOn(k.now, m.key, m.pass)
	m.witness = ticket.EndpointKey(m.at + 1)
	m.at = int(keeper - 1)
	m.hops++
	k.moving = append(k.moving, m)
}

func (k *keepers) claimAt(at int, key Key, witness ticket.EndpointKey) {
	claim := k.nodes[at].Claim(k.now, key, 1)
	k.t.Logf("%v agent %d claims %s: %+v", k.now.Sub(start), at, key, claim)
	run := &keyRun{at: at, boot: k.boots[at], key: key, arrived: k.now, ask: claim.Ask}
	switch claim.Verdict {
	case AskOthers:
		k.asking = append(k.asking, run)
	case Run:
		if witness == 0 {
			k.askWitness(run)
		}
		k.run(run)
	}
}

func (k *keepers) askWitness(run *keyRun) {
	for i := range k.nodes {
		if i != run.at && !k.down[i] {
			k.nodes[i].Witness(k.now, run.key)
			return
		}
	}
}

// recall lets one asked agent answer, or fail to.
func (k *keepers) recall() {
	if len(k.asking) == 0 {
		return
	}
	i := k.draw("asking", len(k.asking))
	run := k.asking[i]
	if len(run.memories) < len(run.ask) {
		other := int(run.ask[len(run.memories)] - 1)
		memory := Memory{Unreached: true}
		if !k.down[other] && k.draw("lost", 10) > 0 {
			memory = k.nodes[other].Witness(k.now, run.key)
		}
		run.memories = append(run.memories, memory)
		return
	}
	k.asking = append(k.asking[:i], k.asking[i+1:]...)
	if run.boot != k.boots[run.at] {
		return
	}
	claim := k.nodes[run.at].Recalled(k.now, run.key, run.memories)
	k.t.Logf("%v agent %d recalled %s from %v: %+v gives %+v", k.now.Sub(start), run.at, run.key, run.ask, run.memories, claim)
	if claim.Verdict == Run {
		k.run(run)
	}
}

// run is the dispatch to a backend server.
func (k *keepers) run(run *keyRun) {
	for _, at := range k.runs[run.key] {
		if apart := run.arrived.Sub(at); apart < KeepTime {
			k.t.Fatalf("%s ran twice for requests %v apart", run.key, apart)
		}
	}
	k.runs[run.key] = append(k.runs[run.key], run.arrived)
	k.running = append(k.running, run)
}

func (k *keepers) settle() {
	if len(k.running) == 0 {
		return
	}
	i := k.draw("running", len(k.running))
	run := k.running[i]
	k.running = append(k.running[:i], k.running[i+1:]...)
	if run.boot != k.boots[run.at] {
		return
	}
	switch k.draw("outcome", 3) {
	case 0:
		k.nodes[run.at].Settled(k.now, run.key, nil)
	default:
		k.nodes[run.at].Settled(k.now, run.key, testAnswer("confirmed"))
	}
}

// kill ends an agent; it comes back later with no memory. One agent is lost
// within KeepTime, as the stated window allows.
func (k *keepers) kill() {
	for i := range k.nodes {
		if k.down[i] || k.now.Sub(k.lostAt[i]) < KeepTime && !k.lostAt[i].IsZero() {
			return
		}
	}
	at := k.draw("killed", keeperAgents)
	k.down[at] = true
	k.boots[at]++
	k.lostAt[at] = k.now
	k.t.Logf("%v agent %d killed", k.now.Sub(start), at)
}

func (k *keepers) restart() {
	for i := range k.nodes {
		if k.down[i] {
			k.down[i] = false
			k.nodes[i] = NewKeeper(k.now, ticket.EndpointKey(i+1))
			k.nodes[i].SetMembers(k.now, membersOf(k.tickets[k.holds[i]]))
		}
	}
}

// publish makes a ticket that drains one endpoint, or none.
func (k *keepers) publish() {
	all := k.tickets[0]
	draining := k.draw("draining", keeperAgents+1)
	var next []ticket.EndpointKey
	for i, e := range all {
		if i != draining {
			next = append(next, e)
		}
	}
	k.tickets = append(k.tickets, next)
}

// learn brings the newest ticket to one agent.
func (k *keepers) learn() { k.learnAt(k.draw("learner", keeperAgents)) }

func (k *keepers) learnAt(at int) {
	if k.down[at] || k.holds[at] == len(k.tickets)-1 {
		return
	}
	k.holds[at] = len(k.tickets) - 1
	k.t.Logf("%v agent %d learns %v", k.now.Sub(start), at, k.tickets[k.holds[at]])
	k.nodes[at].SetMembers(k.now, membersOf(k.tickets[k.holds[at]]))
}

// pass lets seconds go by, in which a ticket reaches every live agent.
func (k *keepers) pass() {
	for at := range k.nodes {
		k.learnAt(at)
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
		k := newKeepers(t)
		actions := []func(){k.claim, k.claim, k.claim, k.hop, k.hop, k.hop, k.hop, k.hop, k.recall, k.recall, k.recall, k.recall, k.recall,
			k.settle, k.pass, k.kill, k.restart, k.publish, k.learn, k.learn}
		for range rapid.IntRange(1, caseSteps()).Draw(t, "steps") {
			actions[k.draw("action", len(actions))]()
		}
	})
}

// A request that comes back to an agent that passed it on, since a ticket made
// that agent the key's keeper meanwhile, runs: nobody else has seen the key.
func TestRequestThatComesBackRuns(t *testing.T) {
	all := []ticket.EndpointKey{1, 2, 3, 4}
	first := func(pass PassID) *Keeper {
		k := NewKeeper(start, 1)
		k.SetMembers(start, membersOf(all))
		now := start.Add(2 * KeepTime)
		k.Tick(now, time.Second)
		must.False(t, k.PassOn(now, "key", pass).Known)
		return k
	}
	now := start.Add(2*KeepTime + time.Second)
	t.Run("by the same request", func(t *testing.T) {
		k := first(7)
		k.CameBack("key", 7)
		must.EqOp(t, Run, k.Claim(now, "key", 1).Verdict)
	})
	t.Run("not by another request", func(t *testing.T) {
		k := first(7)
		k.CameBack("key", 8)
		must.EqOp(t, Uncertain, k.Claim(now, "key", 1).Verdict)
	})
	t.Run("not after a second request was passed on", func(t *testing.T) {
		k := first(7)
		must.True(t, k.PassOn(now, "key", 8).Known)
		k.CameBack("key", 7)
		must.EqOp(t, Uncertain, k.Claim(now, "key", 1).Verdict)
	})
	t.Run("not after a keeper asked for the key", func(t *testing.T) {
		k := first(7)
		must.True(t, k.Witness(now, "key").Known)
		k.CameBack("key", 7)
		must.EqOp(t, Uncertain, k.Claim(now, "key", 1).Verdict)
	})
}
