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
	settleTimeout = 2 * time.Minute
	services      = 3
)

// TestMain sets rapid's default seed and number of runs; -rapid.seed and -rapid.checks on
// the command line override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	flag.Parse()
	os.Exit(m.Run())
}

// ticketVersion identifies all contents published with one ticket number.
type ticketVersion struct {
	service string
	number  ticket.Number
}

// nodeAcceptance is one content accepted by one node between two of its restarts.
type nodeAcceptance struct {
	ticketVersion
	content    uint64
	node       *Node
	generation int
}

// stateMachine applies random steps to a small network and checks the invariants after
// each node's every output.
type stateMachine struct {
	*Network
	numbers [services]ticket.Number
	// highest holds the highest ticket number in force on each node, by service, since the
	// node's last start.
	highest map[*Node]map[string]ticket.Number
	// accepted holds the contents that any node has accepted, acceptedAt those that a
	// node has accepted between two of its restarts.
	accepted   map[ticketVersion]map[uint64]bool
	acceptedAt map[nodeAcceptance]bool
	backup     map[string]ticket.Record
	index      uint64
	variant    uint32
	// partitions is true if the run cuts nodes off from each other.
	partitions bool
}

func newStateMachine(t *rapid.T, partitions bool) *stateMachine {
	m := &stateMachine{
		Network:    New(Size{Nodes: 6, Zones: 3, Regions: 2, Seed: rapid.Uint64Range(0, 1<<20).Draw(t, "seed")}),
		highest:    make(map[*Node]map[string]ticket.Number),
		accepted:   make(map[ticketVersion]map[uint64]bool),
		acceptedAt: make(map[nodeAcceptance]bool),
		partitions: partitions,
	}
	m.Observe = func(n *Node, out ticket.Output) { m.checkOutput(t, n, out) }
	for i := range services {
		m.numbers[i] = 1
		m.Network.Publish(Ticket(i, 1, 0, 2))
	}
	_, ok := m.Until(settleTimeout, m.allReady)
	must.True(t, ok)
	m.backup, m.index = m.Platform.Snapshot()
	return m
}

func (m *stateMachine) checkOutput(t *rapid.T, n *Node, out ticket.Output) {
	seen := m.highest[n]
	if seen == nil {
		seen = make(map[string]ticket.Number)
		m.highest[n] = seen
	}
	for _, j := range out.Joined {
		must.GreaterEq(t, seen[j.Service], j.Number, must.Sprint("the ticket number in force decreased"))
		seen[j.Service] = j.Number
		m.checkJoined(t, n, j)
	}
	n.State.Each(func(_ ticket.ServiceKey, e *ticket.Entry) {
		if e.Accepted(m.Now) {
			m.checkAccepted(t, n, e)
		}
	})
}

// checkJoined asserts that a content this node has accepted is replaced only by one that
// another node has accepted, and that without partitions a content accepted by any node is
// never replaced.
func (m *stateMachine) checkJoined(t *rapid.T, n *Node, j ticket.Joined) {
	if j.Outcome != ticket.ConflictWon {
		return
	}
	version := ticketVersion{j.Service, j.Number}
	if m.acceptedAt[nodeAcceptance{version, j.ConflictingContent, n, n.generation}] {
		must.True(t, m.partitions && m.accepted[version][j.Content], must.Sprint("a node replaced a ticket it had accepted"))
	}
	must.True(t, m.partitions || !m.accepted[version][j.ConflictingContent], must.Sprint("a node replaced a ticket that another had accepted"))
}

func (m *stateMachine) checkAccepted(t *rapid.T, n *Node, e *ticket.Entry) {
	version := ticketVersion{e.Ticket.Service, e.Ticket.Number}
	if m.accepted[version] == nil {
		m.accepted[version] = make(map[uint64]bool)
	}
	m.accepted[version][e.Content] = true
	m.acceptedAt[nodeAcceptance{version, e.Content, n, n.generation}] = true
	must.True(t, m.partitions || len(m.accepted[version]) == 1, must.Sprint("two contents accepted under one number"))
}

func (m *stateMachine) allReady() bool {
	for _, n := range m.Nodes {
		if n.Up && !n.State.Started() {
			return false
		}
	}
	return true
}

func (m *stateMachine) publish(t *rapid.T) {
	i := rapid.IntRange(0, services-1).Draw(t, "service")
	m.numbers[i]++
	m.variant++
	m.Network.Publish(Ticket(i, m.numbers[i], m.variant, 2))
}

// publishConflicting publishes another content with a ticket number that is already used.
func (m *stateMachine) publishConflicting(t *rapid.T) {
	i := rapid.IntRange(0, services-1).Draw(t, "service")
	m.variant++
	m.Network.Publish(Ticket(i, m.numbers[i], m.variant, 2))
}

func (m *stateMachine) stale(t *rapid.T) { m.SetStale(rapid.Bool().Draw(t, "stale")) }

func (m *stateMachine) restoreBackup(*rapid.T) { m.Restore(m.backup, m.index) }

func (m *stateMachine) platformDown(t *rapid.T) {
	down := rapid.Bool().Draw(t, "down")
	m.Platform.Down = func(*Node) bool { return down }
}

// restart stops and restarts one node, and does so only while all nodes run and are ready.
func (m *stateMachine) restart(t *rapid.T) {
	if !m.allReady() {
		t.Skip("one at a time")
	}
	node := rapid.SampledFrom(m.Nodes).Draw(t, "node")
	m.Stop(node)
	m.Run(time.Duration(rapid.IntRange(0, 20).Draw(t, "away")) * time.Second)
	delete(m.highest, node)
	m.Start(node)
}

func (m *stateMachine) wait(t *rapid.T) {
	m.Run(time.Duration(rapid.IntRange(1, 5000).Draw(t, "millis")) * time.Millisecond)
}

func (m *stateMachine) cut(t *rapid.T) {
	split := rapid.IntRange(0, len(m.Nodes)-1).Draw(t, "split")
	platform := rapid.Bool().Draw(t, "platform")
	side := func(n *Node) bool { return n.Name < m.Nodes[split].Name }
	m.Cut = func(a, b *Node) bool { return side(a) != side(b) }
	m.Platform.Down = func(n *Node) bool { return platform && side(n) }
}

// mustConverge ends all faults and asserts that all nodes converge on the same accepted
// tickets, none older than the published one.
func (m *stateMachine) mustConverge(t *rapid.T) {
	m.Cut = func(_, _ *Node) bool { return false }
	m.Platform.Down = func(*Node) bool { return false }
	m.SetStale(false)
	_, ok := m.Until(settleTimeout, func() bool { return m.allReady() && m.converged() })
	must.True(t, ok, must.Sprint("nodes do not converge"))
	m.Run(time.Minute)
	must.True(t, m.converged())
	for service, published := range m.Platform.published {
		for _, n := range m.Nodes {
			entry := n.State.Entry(ticket.ServiceKeyOf(service))
			must.GreaterEq(t, published.Ticket.Number, entry.Ticket.Number)
			must.True(t, entry.Accepted(m.Now))
		}
	}
}

// converged reports whether all nodes have the same tickets.
func (m *stateMachine) converged() bool {
	for _, n := range m.Nodes {
		if n.State.Summary() != m.Nodes[0].State.Summary() {
			return false
		}
	}
	return true
}

// Without partitions an accepted ticket is never replaced by a conflicting one, whatever
// the platform returns and whichever nodes restart.
func TestAcceptedTicketIsNotReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t, false)
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.publish, "race": m.publishConflicting, "stale": m.stale, "goBack": m.restoreBackup,
			"platformDown": m.platformDown, "restart": m.restart, "wait": m.wait,
		})
		m.mustConverge(t)
	})
}

// With partitions an accepted ticket is replaced only by a conflicting one that was
// accepted on the other side, and all nodes converge.
func TestTicketsConvergeAfterPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t, true)
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.publish, "race": m.publishConflicting, "stale": m.stale, "goBack": m.restoreBackup,
			"cut": m.cut, "wait": m.wait,
		})
		m.mustConverge(t)
	})
}
