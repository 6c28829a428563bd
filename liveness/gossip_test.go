package liveness

import (
	"fmt"
	"testing"
	"time"

	"cactustray/membership"

	"github.com/shoenig/test/must"
)

// mesh simulates a set of balancers with their real observers and gossipers. Calls
// arrive within the round in which they are made.
type mesh struct {
	now       time.Time
	names     []string
	nodes     []membership.Node
	observers map[string]*Observer
	gossipers map[string]*Gossiper
	// sent is how many bytes each balancer sent, estimated by factBytes and
	// callBytes.
	sent map[string]int
	// lost reports whether a call from one balancer to another is lost.
	lost func(from, to string) bool
}

func newMesh(size int) *mesh {
	m := &mesh{
		now:       start,
		observers: make(map[string]*Observer),
		gossipers: make(map[string]*Gossiper),
		sent:      make(map[string]int),
		lost:      func(string, string) bool { return false },
	}
	for i := range size {
		name := fmt.Sprintf("entry-%d", i)
		m.names = append(m.names, name)
		m.nodes = append(m.nodes, membership.Node{Name: name})
		m.observers[name], m.gossipers[name] = NewObserver(), NewGossiper()
	}
	for _, name := range m.names {
		m.observers[name].SetBalancers(start, m.nodes)
		m.updateNeighbours(name)
	}
	return m
}

func (m *mesh) updateNeighbours(name string) {
	live := m.observers[name].Live(m.nodes)
	m.gossipers[name].SetNeighbours(membership.Successors(name, live, GossipRings), m.observers[name].Unavailable)
}

func (m *mesh) apply(name string, fact Fact, from string) {
	change := m.observers[name].Apply(m.now, fact)
	if change.Disseminate {
		m.gossipers[name].Add(fact.Subject, from)
	}
	if change.Balancers {
		m.updateNeighbours(name)
	}
}

// round advances the time by MinCallInterval and makes the calls that are due on
// every balancer.
func (m *mesh) round() {
	m.now = m.now.Add(MinCallInterval)
	due := make(map[string][]Batch)
	for _, name := range m.names {
		due[name] = m.gossipers[name].Due(m.now, Fact{Subject: BalancerSubject(name), State: Ready}, m.observers[name])
	}
	for _, name := range m.names {
		for _, batch := range due[name] {
			m.call(name, batch)
		}
	}
}

func (m *mesh) call(from string, batch Batch) {
	m.sent[from] += callBytes + len(batch.Facts)*factBytes
	if m.lost(from, batch.To.Name) {
		if m.gossipers[from].CallEnded(batch.To.Name, false) {
			fact := Fact{Subject: BalancerSubject(batch.To.Name), Suspected: true}
			m.apply(from, fact, "")
		}
		return
	}
	for _, fact := range batch.Facts {
		m.apply(batch.To.Name, fact, from)
	}
	m.gossipers[from].CallEnded(batch.To.Name, true)
}

// rounds runs rounds until each named balancer stores at least the given
// number of facts about unavailable processes, and returns the number of rounds, or
// 0 after 10,000.
func (m *mesh) rounds(facts int, names []string) int {
	for n := 1; n < 10_000; n++ {
		m.round()
		known := true
		for _, name := range names {
			known = known && len(m.observers[name].Unavailable()) >= facts
		}
		if known {
			return n
		}
	}
	return 0
}

func TestFactsReachAllBalancersWithinByteBudget(t *testing.T) {
	const facts = 400
	m := newMesh(60)
	for i := range facts {
		m.apply(m.names[i%60], Fact{Subject: Subject(1000 + i), Incarnation: 1, State: Ready, Suspected: true}, "")
	}
	rounds := m.rounds(facts, m.names)
	must.Positive(t, rounds)
	allowed := GossipRate + int(float64(rounds)*MinCallInterval.Seconds()*GossipRate) + GossipRings*callBytes
	for name, bytes := range m.sent {
		must.LessEq(t, allowed, bytes, must.Sprint(name))
	}
}

// A balancer that has failed is suspected by its neighbours, and all others receive
// the suspicion. A balancer that restarts without facts receives those about
// unavailable processes.
func TestDeadBalancerIsSuspectedAndNewcomerCatchesUp(t *testing.T) {
	m := newMesh(40)
	dead, newcomer := "entry-7", "entry-9"
	m.lost = func(from, to string) bool { return from == dead || to == dead || from == newcomer || to == newcomer }
	others := make([]string, 0, len(m.names))
	for _, name := range m.names {
		if name != dead && name != newcomer {
			others = append(others, name)
		}
	}
	must.Positive(t, m.rounds(2, others))
	m.lost = func(from, to string) bool { return from == dead || to == dead }
	m.observers[newcomer], m.gossipers[newcomer] = NewObserver(), NewGossiper()
	m.observers[newcomer].SetBalancers(m.now, m.nodes)
	m.updateNeighbours(newcomer)
	back := Fact{Subject: BalancerSubject(newcomer), Incarnation: 1, State: Ready}
	m.apply("entry-1", back, "")
	must.Positive(t, m.rounds(1, []string{newcomer}))
	fact, _ := m.observers[newcomer].Fact(BalancerSubject(dead))
	must.True(t, fact.Suspected)
}

// The facts of a call that was lost are sent again.
func TestFactsOfLostCallAreResent(t *testing.T) {
	o, g := NewObserver(), NewGossiper()
	node := membership.Node{Name: "entry-1"}
	g.SetNeighbours([]membership.Node{node}, o.Unavailable)
	o.Apply(start, Fact{Subject: 1, Suspected: true})
	g.Add(1, "")
	must.SliceLen(t, 1, g.Due(start, Fact{}, o)[0].Facts)
	must.SliceEmpty(t, g.Due(start.Add(MaxCallInterval), Fact{}, o), must.Sprint("a call is in flight"))
	must.False(t, g.CallEnded("entry-1", false))
	must.SliceLen(t, 1, g.Due(start.Add(MaxCallInterval), Fact{}, o)[0].Facts)
	must.True(t, g.CallEnded("entry-1", false))
	must.EqOp(t, 1, g.Pending())
}

// If this process was paused during a call, a missing answer is no evidence against
// the neighbour.
func TestResumeIgnoresLossOfCallInFlight(t *testing.T) {
	o, g := NewObserver(), NewGossiper()
	g.SetNeighbours([]membership.Node{{Name: "entry-1"}}, o.Unavailable)
	g.Due(start, Fact{}, o)
	g.CallEnded("entry-1", false)
	g.Due(start.Add(MaxCallInterval), Fact{}, o)
	g.Resume()
	must.False(t, g.CallEnded("entry-1", false))
}

// Two partitions that suspect each other probe each other, at most once per
// MaxCallInterval, and the probe lets a balancer refute its suspicion.
func TestSuspectedBalancersAreProbed(t *testing.T) {
	o, g := NewObserver(), NewGossiper()
	nodes := []membership.Node{{Name: "entry-1"}, {Name: "entry-2"}}
	o.Apply(start, Fact{Subject: BalancerSubject("entry-2"), Incarnation: 4, Suspected: true})
	first := func(int) int { return 0 }
	probes := g.Probe(start, Fact{}, o, o.SuspectedBalancers(nodes), first)
	must.EqOp(t, "entry-2", probes[0].To.Name)
	self := NewSelf(BalancerSubject("entry-2"), 4)
	must.True(t, self.Refute(probes[0].Facts[0]))
	must.SliceEmpty(t, g.Probe(start, Fact{}, o, o.SuspectedBalancers(nodes), first))
}

// BenchmarkDomainLost measures how long the suspicions caused by a lost failure
// domain take to reach all balancers, and how much a balancer sends meanwhile.
func BenchmarkDomainLost(b *testing.B) {
	const balancers, facts = 2880, 2400 + 320
	for range b.N {
		m := newMesh(balancers)
		for i := range facts {
			for watcher := range Watchers {
				name := m.names[(i*Watchers+watcher)%balancers]
				m.apply(name, Fact{Subject: Subject(1_000_000 + i), Incarnation: 1, State: Ready, Suspected: true}, "")
			}
		}
		rounds := m.rounds(facts, m.names)
		most := 0
		for _, bytes := range m.sent {
			most = max(most, bytes)
		}
		seconds := float64(rounds) * MinCallInterval.Seconds()
		b.ReportMetric(seconds, "s-to-all")
		b.ReportMetric(float64(most)/seconds, "B/s-sent")
	}
}
