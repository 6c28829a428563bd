package liveness

import (
	"maps"
	"slices"
	"time"

	"cactustray/membership"
)

const (
	// GossipRings is the number of hash rings; a balancer sends facts to one neighbour on
	// each.
	GossipRings = 3
	// MinCallInterval is the shortest time between two calls to one neighbour.
	MinCallInterval = 250 * time.Millisecond
	// MaxCallInterval is the longest time between two calls to one neighbour.
	MaxCallInterval = 3 * time.Second
	// GossipRate is the most that a balancer sends to all neighbours together, in
	// bytes per second.
	GossipRate = 1500
	// callBytes and factBytes are the sizes of a call without facts and of one fact,
	// in bytes.
	callBytes = 150
	factBytes = 13
	// fullCallBytes is the most credit, in bytes of facts, that a call waits for:
	// further pending facts do not delay it.
	fullCallBytes = 1000
	// missedCallLimit is the number of unanswered calls in a row from which a
	// neighbour counts as silent.
	missedCallLimit = 2
)

// Batch is the content of one call to a neighbour.
type Batch struct {
	To    membership.Node
	Self  Fact
	Facts []Fact
}

// Gossiper sends facts to a few neighbours by gossip, at most GossipRate. It must
// be used by the control goroutine only.
type Gossiper struct {
	neighbours map[string]*neighbour
	probedAt   time.Time
	// credit is how many bytes may be sent now: at most what GossipRate allows in one
	// second.
	credit     float64
	creditedAt time.Time
}

type neighbour struct {
	node membership.Node
	// pending are the subjects whose facts are still to be sent, oldest first;
	// sending are those in the current call.
	pending  []Subject
	sending  []Subject
	inFlight bool
	calledAt time.Time
	// missed is the number of unanswered calls in a row; Resume sets it to -1 so
	// that the call in flight does not count.
	missed int
}

// NewGossiper returns a gossiper without neighbours.
func NewGossiper() *Gossiper {
	return &Gossiper{neighbours: make(map[string]*neighbour), credit: GossipRate}
}

// SetNeighbours sets the balancers to send facts to. A new neighbour is sent the
// facts of all subjects that unavailable returns, as if it had none.
func (g *Gossiper) SetNeighbours(nodes []membership.Node, unavailable func() []Subject) {
	old := g.neighbours
	g.neighbours = make(map[string]*neighbour, len(nodes))
	for _, node := range nodes {
		if known := old[node.Name]; known != nil && known.node == node {
			g.neighbours[node.Name] = known
			continue
		}
		g.neighbours[node.Name] = &neighbour{node: node, pending: unavailable()}
	}
}

// Add queues a subject's fact for all neighbours except the one it came from.
func (g *Gossiper) Add(subject Subject, from string) {
	for name, n := range g.neighbours {
		if name != from && !slices.Contains(n.pending, subject) {
			n.pending = append(n.pending, subject)
		}
	}
}

// Pending returns the number of facts that are not yet delivered to the neighbour
// with the most of them.
func (g *Gossiper) Pending() int {
	most := 0
	for _, n := range g.neighbours {
		most = max(most, len(n.pending)+len(n.sending))
	}
	return most
}

// Due returns the calls to make now: to neighbours with pending facts, as far as
// the byte budget allows, and to those not called for MaxCallInterval.
func (g *Gossiper) Due(now time.Time, self Fact, observer *Observer) []Batch {
	g.refillCredit(now)
	var due []Batch
	for _, name := range slices.Sorted(maps.Keys(g.neighbours)) {
		n := g.neighbours[name]
		if !g.isDue(now, n) {
			continue
		}
		due = append(due, g.nextBatch(now, n, self, observer))
	}
	return due
}

// refillCredit adds the credit earned since the last call.
func (g *Gossiper) refillCredit(now time.Time) {
	if !g.creditedAt.IsZero() {
		g.credit += now.Sub(g.creditedAt).Seconds() * GossipRate
	}
	g.credit = min(g.credit, GossipRate)
	g.creditedAt = now
}

// isDue reports whether a call to the neighbour is to be made now.
func (g *Gossiper) isDue(now time.Time, n *neighbour) bool {
	elapsed := now.Sub(n.calledAt)
	if n.inFlight {
		return false
	}
	if elapsed >= MaxCallInterval {
		return true
	}
	if len(n.pending) == 0 || elapsed < MinCallInterval {
		return false
	}
	// With a backlog, few large calls take fewer bytes than many small ones.
	return g.credit >= callBytes+float64(min(len(n.pending)*factBytes, fullCallBytes))
}

// nextBatch returns a call to a neighbour with as many pending facts as the credit
// allows, and marks it as in flight.
func (g *Gossiper) nextBatch(now time.Time, n *neighbour, self Fact, observer *Observer) Batch {
	g.credit -= callBytes
	count := min(len(n.pending), max(0, int(g.credit/factBytes)))
	g.credit -= float64(count * factBytes)
	n.sending = slices.Clone(n.pending[:count])
	n.pending = n.pending[count:]
	n.inFlight, n.calledAt = true, now
	batch := Batch{To: n.node, Self: self}
	for _, subject := range n.sending {
		if fact, ok := observer.Fact(subject); ok {
			batch.Facts = append(batch.Facts, fact)
		}
	}
	return batch
}

// CallEnded records the result of a call to a neighbour and reports whether the
// neighbour has now left missedCallLimit calls in a row unanswered. The facts of an
// unanswered call are sent again.
func (g *Gossiper) CallEnded(name string, answered bool) (silent bool) {
	n := g.neighbours[name]
	if n == nil {
		return false
	}
	n.inFlight = false
	if answered {
		n.missed = 0
		n.sending = nil
		return false
	}
	n.pending = append(n.sending, n.pending...)
	n.sending = nil
	n.missed++
	return n.missed >= missedCallLimit
}

// Probe returns a call to one suspected balancer at most once per MaxCallInterval,
// so that two partitions that suspect each other reconnect when the network heals.
// pick returns a number from 0 to below its argument.
func (g *Gossiper) Probe(now time.Time, self Fact, observer *Observer, suspected []membership.Node, pick func(int) int) []Batch {
	if len(suspected) == 0 || now.Sub(g.probedAt) < MaxCallInterval {
		return nil
	}
	g.probedAt = now
	to := suspected[pick(len(suspected))]
	fact, _ := observer.Fact(BalancerSubject(to.Name))
	return []Batch{{To: to, Self: self, Facts: []Fact{fact}}}
}

// Resume clears the counts of unanswered calls after a pause of this process.
// Calls in flight do not count if they remain unanswered.
func (g *Gossiper) Resume() {
	for _, n := range g.neighbours {
		n.missed = 0
		if n.inFlight {
			n.missed = -1
		}
	}
}
