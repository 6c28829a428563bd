// Package liveness tracks which processes accept new work: facts that processes
// publish about themselves, suspicion of processes that stop reporting, the gossip
// of both between balancers, and planned stops. Suspicion redirects new work only:
// open flows always reach their owner.
package liveness

import (
	"math"

	"cactustray/steering"
	"cactustray/ticket"

	"github.com/cespare/xxhash/v2"
)

// State tells which work a process accepts.
type State int

// The states of a process, in the order in which it passes through them.
const (
	Unknown State = iota
	Starting
	Ready
	Leaving
	Stopped
)

var stateNames = [...]string{"unknown", "starting", "ready", "leaving", "gone"}

func (s State) String() string { return stateNames[s] }

// Subject identifies the process that a fact is about.
type Subject uint64

// EndpointSubject returns the subject of an endpoint's agent.
func EndpointSubject(key ticket.EndpointKey) Subject { return Subject(key) }

// BalancerSubject returns the subject of the balancer with a node name. It differs
// from all endpoints' subjects, since no service has an empty name.
func BalancerSubject(node string) Subject { return Subject(xxhash.Sum64String("\x00" + node)) }

// Fact is the state that a process has published about itself, or the suspicion
// that it has failed.
type Fact struct {
	Subject     Subject
	Incarnation steering.Incarnation
	// Version numbers the facts of one incarnation. Only the process itself
	// increments it.
	Version   uint32
	State     State
	Suspected bool
}

// Newer reports whether f replaces other: by incarnation, then by version; with
// both equal, a suspicion replaces the fact that it contradicts. The order is total
// among the facts of one subject, so facts may arrive in any order and repeatedly.
func (f Fact) Newer(other Fact) bool {
	if f.Incarnation != other.Incarnation {
		return f.Incarnation > other.Incarnation
	}
	if f.Version != other.Version {
		return f.Version > other.Version
	}
	return f.Suspected && !other.Suspected
}

// AcceptsNew reports whether the process accepts new work: it is false if the process
// is leaving, has stopped or is suspected.
func (f Fact) AcceptsNew() bool { return !f.Suspected && !f.Stopping() }

// Stopping reports whether the process is leaving or has stopped as planned.
func (f Fact) Stopping() bool { return f.State == Leaving || f.State == Stopped }

// Self holds the newest fact of this process about itself. It must be used by the
// control goroutine only.
type Self struct{ fact Fact }

// NewSelf returns a Self with the first fact of an incarnation: version 0, ready.
func NewSelf(subject Subject, incarnation steering.Incarnation) *Self {
	return &Self{fact: Fact{Subject: subject, Incarnation: incarnation, State: Ready}}
}

// Fact returns the newest fact.
func (s *Self) Fact() Fact { return s.fact }

// SetState changes the state and reports whether that made a new fact.
func (s *Self) SetState(state State) bool {
	if s.fact.State == state {
		return false
	}
	s.fact.State = state
	s.fact.Version++
	return true
}

// Refute compares the fact that another process stores about this one with the
// newest fact. If the other one is neither equal nor older, Refute raises the
// version above it, or the incarnation if that is later, and returns true: the new fact
// then replaces the believed one everywhere. A later incarnation is one that ran before this
// machine's clock was set back. Facts about other processes or earlier incarnations are
// ignored.
func (s *Self) Refute(believed Fact) bool {
	if believed.Subject != s.fact.Subject || believed == s.fact || s.fact.Newer(believed) {
		return false
	}
	if believed.Incarnation == s.fact.Incarnation {
		s.fact.Version = believed.Version + 1
		return true
	}
	if believed.Incarnation == math.MaxUint32 {
		return false
	}
	s.fact.Incarnation, s.fact.Version = believed.Incarnation+1, 0
	return true
}
