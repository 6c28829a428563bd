// Package liveness holds the duty of knowing which processes take new work:
// facts that processes state of themselves, suspicion of those that fall
// silent, the spread of both, and planned stops. Suspicion moves new work
// only: open flows always reach their owner.
package liveness

import (
	"cactustray/steering"
	"cactustray/ticket"

	"github.com/cespare/xxhash/v2"
)

// State is how far a process takes work.
type State int

// The states of a process, in the order in which it passes them.
const (
	Unknown State = iota
	Starting
	Ready
	Leaving
	Gone
)

var stateNames = [...]string{"unknown", "starting", "ready", "leaving", "gone"}

func (s State) String() string { return stateNames[s] }

// Subject names the process that a fact is about.
type Subject uint64

// EndpointSubject returns the subject of an endpoint's agent.
func EndpointSubject(key ticket.EndpointKey) Subject { return Subject(key) }

// BalancerSubject returns the subject of a balancer with a node name. No
// endpoint has it, since no service has an empty name.
func BalancerSubject(node string) Subject { return Subject(xxhash.Sum64String("\x00" + node)) }

// Fact is what a process says of itself, or what is suspected of it.
type Fact struct {
	Subject     Subject
	Incarnation steering.Incarnation
	// Version counts the facts of one incarnation; only the process itself
	// raises it.
	Version   uint32
	State     State
	Suspected bool
}

// Newer tells whether f replaces other: by incarnation, then by version; a
// suspicion replaces the very fact that it doubts. The order is total among
// the facts of one subject, so facts may arrive in any order and repeatedly.
func (f Fact) Newer(other Fact) bool {
	if f.Incarnation != other.Incarnation {
		return f.Incarnation > other.Incarnation
	}
	if f.Version != other.Version {
		return f.Version > other.Version
	}
	return f.Suspected && !other.Suspected
}

// TakesNew is false for a process that is leaving, gone or suspected.
func (f Fact) TakesNew() bool { return !f.Suspected && !f.Stopping() }

// Stopping is true for a process that leaves as planned or has left.
func (f Fact) Stopping() bool { return f.State == Leaving || f.State == Gone }

// Self is what this process says of itself. The control goroutine owns it.
type Self struct{ fact Fact }

// NewSelf returns the first fact of an incarnation.
func NewSelf(subject Subject, incarnation steering.Incarnation) *Self {
	return &Self{fact: Fact{Subject: subject, Incarnation: incarnation, State: Ready}}
}

// Fact returns the newest fact.
func (s *Self) Fact() Fact { return s.fact }

// SetState states a new state and tells whether that changed the fact.
func (s *Self) SetState(state State) bool {
	if s.fact.State == state {
		return false
	}
	s.fact.State = state
	s.fact.Version++
	return true
}

// Refute answers what another process believes of this one. When that is not
// what this process last said, it raises its version beyond it and returns
// true: the new fact replaces the belief everywhere.
func (s *Self) Refute(believed Fact) bool {
	if believed.Subject != s.fact.Subject || believed.Incarnation != s.fact.Incarnation {
		return false
	}
	if believed == s.fact || s.fact.Newer(believed) {
		return false
	}
	s.fact.Version = believed.Version + 1
	return true
}
