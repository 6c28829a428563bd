package spread

import (
	"flag"
	"os"
	"testing"
	"time"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	patience = 2 * time.Minute
	services = 3
)

// TestMain fixes rapid's seed and number of runs; -rapid.seed and -rapid.checks
// on the command line go before it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	flag.Parse()
	os.Exit(m.Run())
}

// contents are all that was published under one number.
type contents struct {
	service string
	number  ticket.Number
}

// acceptance is one content as one node accepted it.
type acceptance struct {
	contents
	content uint64
	node    *Node
	life    int
}

// machine runs a small network through random steps and asserts what must
// always hold.
type machine struct {
	*Network
	number [services]ticket.Number
	// highest is the highest number in force on each life of a node.
	highest map[*Node]map[string]ticket.Number
	// accepted are the contents that any node has accepted, acceptedAt those
	// that one life of a node has.
	accepted   map[contents]map[uint64]bool
	acceptedAt map[acceptance]bool
	backup     map[string]ticket.Held
	index      uint64
	variant    uint32
	// cuts tells that the run separates nodes.
	cuts bool
}

func newMachine(t *rapid.T, cuts bool) *machine {
	m := &machine{
		Network:    New(Size{Nodes: 6, Zones: 3, Regions: 2, Seed: rapid.Uint64Range(0, 1<<20).Draw(t, "seed")}),
		highest:    make(map[*Node]map[string]ticket.Number),
		accepted:   make(map[contents]map[uint64]bool),
		acceptedAt: make(map[acceptance]bool),
		cuts:       cuts,
	}
	m.Observe = func(n *Node, out ticket.Output) { m.observe(t, n, out) }
	for i := range services {
		m.number[i] = 1
		m.Network.Publish(Ticket(i, 1, 0, 2))
	}
	_, ok := m.Until(patience, m.allReady)
	must.True(t, ok)
	m.backup, m.index = m.Platform.Snapshot()
	return m
}

func (m *machine) observe(t *rapid.T, n *Node, out ticket.Output) {
	seen := m.highest[n]
	if seen == nil {
		seen = make(map[string]ticket.Number)
		m.highest[n] = seen
	}
	for _, j := range out.Joined {
		must.GreaterEq(t, seen[j.Service], j.Number, must.Sprint("the number in force fell"))
		seen[j.Service] = j.Number
		m.joined(t, n, j)
	}
	n.State.Each(func(_ ticket.ServiceKey, e *ticket.Entry) {
		if e.Accepted(m.Now) {
			m.accept(t, n, e)
		}
	})
}

// joined asserts that what this node has accepted gives way only to what
// another has, and, without partitions, that what any node has does not.
func (m *machine) joined(t *rapid.T, n *Node, j ticket.Joined) {
	if j.Outcome != ticket.RivalWon {
		return
	}
	under := contents{j.Service, j.Number}
	if m.acceptedAt[acceptance{under, j.Lost, n, n.life}] {
		must.True(t, m.cuts && m.accepted[under][j.Content], must.Sprint("an accepted ticket gave way"))
	}
	must.True(t, m.cuts || !m.accepted[under][j.Lost], must.Sprint("a ticket accepted elsewhere gave way"))
}

func (m *machine) accept(t *rapid.T, n *Node, e *ticket.Entry) {
	under := contents{e.Ticket.Service, e.Ticket.Number}
	if m.accepted[under] == nil {
		m.accepted[under] = make(map[uint64]bool)
	}
	m.accepted[under][e.Content] = true
	m.acceptedAt[acceptance{under, e.Content, n, n.life}] = true
	must.True(t, m.cuts || len(m.accepted[under]) == 1, must.Sprint("two contents accepted under one number"))
}

func (m *machine) allReady() bool {
	for _, n := range m.Nodes {
		if n.Up && !n.State.Started() {
			return false
		}
	}
	return true
}

func (m *machine) publish(t *rapid.T) {
	i := rapid.IntRange(0, services-1).Draw(t, "service")
	m.number[i]++
	m.variant++
	m.Network.Publish(Ticket(i, m.number[i], m.variant, 2))
}

// race publishes another content under a number that is used already.
func (m *machine) race(t *rapid.T) {
	i := rapid.IntRange(0, services-1).Draw(t, "service")
	m.variant++
	m.Network.Publish(Ticket(i, m.number[i], m.variant, 2))
}

func (m *machine) stale(t *rapid.T) { m.Freeze(rapid.Bool().Draw(t, "stale")) }

func (m *machine) goBack(*rapid.T) { m.Restore(m.backup, m.index) }

func (m *machine) platformDown(t *rapid.T) {
	down := rapid.Bool().Draw(t, "down")
	m.Platform.Down = func(*Node) bool { return down }
}

// restart ends one node and starts it again; no other is down meanwhile.
func (m *machine) restart(t *rapid.T) {
	if !m.allReady() {
		t.Skip("one at a time")
	}
	node := rapid.SampledFrom(m.Nodes).Draw(t, "node")
	m.Stop(node)
	m.Run(time.Duration(rapid.IntRange(0, 20).Draw(t, "away")) * time.Second)
	delete(m.highest, node)
	m.Start(node)
}

func (m *machine) wait(t *rapid.T) {
	m.Run(time.Duration(rapid.IntRange(1, 5000).Draw(t, "millis")) * time.Millisecond)
}

func (m *machine) cut(t *rapid.T) {
	split := rapid.IntRange(0, len(m.Nodes)-1).Draw(t, "split")
	platform := rapid.Bool().Draw(t, "platform")
	side := func(n *Node) bool { return n.Name < m.Nodes[split].Name }
	m.Cut = func(a, b *Node) bool { return side(a) != side(b) }
	m.Platform.Down = func(n *Node) bool { return platform && side(n) }
}

// settle ends all faults and asserts that every node ends the same, with at
// least what was published.
func (m *machine) settle(t *rapid.T) {
	m.Cut = func(_, _ *Node) bool { return false }
	m.Platform.Down = func(*Node) bool { return false }
	m.Freeze(false)
	_, ok := m.Until(patience, func() bool { return m.allReady() && m.same() })
	must.True(t, ok, must.Sprint("nodes do not end the same"))
	m.Run(time.Minute)
	must.True(t, m.same())
	for service, published := range m.Platform.published {
		for _, n := range m.Nodes {
			entry := n.State.Entry(ticket.ServiceKeyOf(service))
			must.GreaterEq(t, published.Ticket.Number, entry.Ticket.Number)
			must.True(t, entry.Accepted(m.Now))
		}
	}
}

func (m *machine) same() bool {
	for _, n := range m.Nodes {
		if n.State.Summary() != m.Nodes[0].State.Summary() {
			return false
		}
	}
	return true
}

// Without a partition no accepted ticket gives way, whatever the platform does
// and whoever restarts.
func TestAcceptedStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, false)
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.publish, "race": m.race, "stale": m.stale, "goBack": m.goBack,
			"platformDown": m.platformDown, "restart": m.restart, "wait": m.wait,
		})
		m.settle(t)
	})
}

// With partitions an accepted ticket gives way only to one accepted on the
// other side, and all nodes end the same.
func TestPartitionsHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, true)
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.publish, "race": m.race, "stale": m.stale, "goBack": m.goBack,
			"cut": m.cut, "wait": m.wait,
		})
		m.settle(t)
	})
}
