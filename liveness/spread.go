package liveness

import (
	"maps"
	"slices"
	"time"

	"cactustray/membership"
)

const (
	// Rings is how many neighbours a balancer passes facts on to.
	Rings = 3
	// SpreadInterval is the least time between two calls to one neighbour.
	SpreadInterval = 250 * time.Millisecond
	// PingInterval is the longest time between two calls to one neighbour.
	PingInterval = 3 * time.Second
	// SpreadRate is what a balancer sends to all neighbours, in bytes a
	// second.
	SpreadRate = 1500
	// callBytes and factBytes are what a call and a fact in it cost, in bytes.
	callBytes = 150
	factBytes = 13
	// fullCall is how many bytes of facts are worth a call, however many wait.
	fullCall = 1000
	// missedCalls is how many calls in a row a neighbour may not answer.
	missedCalls = 2
)

// Batch is one call to a neighbour.
type Batch struct {
	To    membership.Node
	Self  Fact
	Facts []Fact
}

// Spreader passes facts on to a few neighbours, within SpreadRate. The control
// goroutine owns it.
type Spreader struct {
	neighbours map[string]*neighbour
	probed     time.Time
	// credit is how many bytes may be sent now; it is never above SpreadRate.
	credit   float64
	credited time.Time
}

type neighbour struct {
	node membership.Node
	// pending are the subjects whose facts it has yet to learn, oldest first.
	pending []Subject
	sending []Subject
	busy    bool
	called  time.Time
	missed  int
}

// NewSpreader returns a spreader without neighbours.
func NewSpreader() *Spreader {
	return &Spreader{neighbours: make(map[string]*neighbour), credit: SpreadRate}
}

// SetNeighbours learns whom to pass facts on to. A new neighbour learns all
// withheld facts, as if it knew nothing.
func (s *Spreader) SetNeighbours(nodes []membership.Node, withheld func() []Subject) {
	old := s.neighbours
	s.neighbours = make(map[string]*neighbour, len(nodes))
	for _, node := range nodes {
		if known := old[node.Name]; known != nil && known.node == node {
			s.neighbours[node.Name] = known
			continue
		}
		s.neighbours[node.Name] = &neighbour{node: node, pending: withheld()}
	}
}

// Add queues a subject's fact for all neighbours but the one it came from.
func (s *Spreader) Add(subject Subject, from string) {
	for name, n := range s.neighbours {
		if name != from && !slices.Contains(n.pending, subject) {
			n.pending = append(n.pending, subject)
		}
	}
}

// Pending returns how many facts wait for the neighbour that lacks most.
func (s *Spreader) Pending() int {
	most := 0
	for _, n := range s.neighbours {
		most = max(most, len(n.pending)+len(n.sending))
	}
	return most
}

// Due returns the calls to make now: to neighbours that lack facts, as far as
// the byte budget reaches, and to those not called for PingInterval.
func (s *Spreader) Due(now time.Time, self Fact, observer *Observer) []Batch {
	s.earn(now)
	var due []Batch
	for _, name := range slices.Sorted(maps.Keys(s.neighbours)) {
		n := s.neighbours[name]
		if !s.isDue(now, n) {
			continue
		}
		due = append(due, s.take(now, n, self, observer))
	}
	return due
}

func (s *Spreader) earn(now time.Time) {
	if !s.credited.IsZero() {
		s.credit += now.Sub(s.credited).Seconds() * SpreadRate
	}
	s.credit = min(s.credit, SpreadRate)
	s.credited = now
}

func (s *Spreader) isDue(now time.Time, n *neighbour) bool {
	waited := now.Sub(n.called)
	if n.busy {
		return false
	}
	if waited >= PingInterval {
		return true
	}
	if len(n.pending) == 0 || waited < SpreadInterval {
		return false
	}
	// With a backlog, few large calls cost less than many small ones.
	return s.credit >= callBytes+float64(min(len(n.pending)*factBytes, fullCall))
}

func (s *Spreader) take(now time.Time, n *neighbour, self Fact, observer *Observer) Batch {
	s.credit -= callBytes
	count := min(len(n.pending), max(0, int(s.credit/factBytes)))
	s.credit -= float64(count * factBytes)
	n.sending = slices.Clone(n.pending[:count])
	n.pending = n.pending[count:]
	n.busy, n.called = true, now
	batch := Batch{To: n.node, Self: self}
	for _, subject := range n.sending {
		if fact, ok := observer.Fact(subject); ok {
			batch.Facts = append(batch.Facts, fact)
		}
	}
	return batch
}

// Called takes in how a call to a neighbour ended, and tells whether the
// neighbour has now missed too many. What an unanswered call carried is sent
// again.
func (s *Spreader) Called(name string, answered bool) (silent bool) {
	n := s.neighbours[name]
	if n == nil {
		return false
	}
	n.busy = false
	if answered {
		n.missed = 0
		n.sending = nil
		return false
	}
	n.pending = append(n.sending, n.pending...)
	n.sending = nil
	n.missed++
	return n.missed >= missedCalls
}

// Probe returns a call to one suspected balancer now and then, so that two
// parts of the fleet that suspect each other find together again. pick chooses
// a number below the one it is given.
func (s *Spreader) Probe(now time.Time, self Fact, observer *Observer, suspected []membership.Node, pick func(int) int) []Batch {
	if len(suspected) == 0 || now.Sub(s.probed) < PingInterval {
		return nil
	}
	s.probed = now
	to := suspected[pick(len(suspected))]
	fact, _ := observer.Fact(BalancerSubject(to.Name))
	return []Batch{{To: to, Self: self, Facts: []Fact{fact}}}
}

// Resume forgets missed calls after a pause of this process, and those under
// way with them.
func (s *Spreader) Resume() {
	for _, n := range s.neighbours {
		n.missed = 0
		if n.busy {
			n.missed = -1
		}
	}
}
