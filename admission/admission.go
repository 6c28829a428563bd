// Package admission holds the duty of letting requests run on the backend
// server: slots, the queue before them, deadlines, and refusals that tell the
// truth. Its decisions are free of HTTP, sockets and clocks.
package admission

import (
	"time"
)

// RequestID tells the requests of one agent process apart.
type RequestID uint64

// Kind is how long a request is expected to run.
type Kind int

const (
	// Job is a request that holds a slot of the backend server.
	Job Kind = iota
	// Feed is a long flow; it holds no slot.
	Feed
)

// Refusal is why a request was not run. A refused request never reached the
// backend server.
type Refusal int

const (
	// None: not refused.
	None Refusal = iota
	// QueueFull: the work before it would outlast its deadline.
	QueueFull
	// DeadlinePassed: its deadline passed while it waited.
	DeadlinePassed
	// Draining: the backend server takes no new work.
	Draining
	// Cancelled: the caller gave up while it waited.
	Cancelled
)

var refusalNames = [...]string{"none", "queue_full", "deadline_passed", "draining", "cancelled"}

func (r Refusal) String() string { return refusalNames[r] }

// Request is one request that asks to run.
type Request struct {
	ID       RequestID
	Kind     Kind
	Deadline time.Time
}

// Decision answers one request: it may be dispatched, or was not run.
type Decision struct {
	ID      RequestID
	Refusal Refusal
}

// Limits bound an agent's work.
type Limits struct {
	// Slots is how many jobs run at once.
	Slots int
	// QueueTime is the longest a job waits.
	QueueTime time.Duration
}

type waiting struct {
	Request
	until time.Time
}

// State is the queue before one backend server. The control goroutine owns it.
type State struct {
	limits   Limits
	draining bool
	running  map[RequestID]Kind
	jobs     int
	queue    []waiting
}

// NewState returns an empty queue with the given limits.
func NewState(limits Limits) *State {
	return &State{limits: limits, running: make(map[RequestID]Kind)}
}

// SetLimits takes new limits in; running work goes on.
func (s *State) SetLimits(now time.Time, limits Limits) []Decision {
	s.limits = limits
	return s.fill(now)
}

// Drain refuses all new work from now on.
func (s *State) Drain() { s.draining = true }

// Running returns how many requests are at the backend server.
func (s *State) Running() int { return len(s.running) }

// Arrive takes a request in. The decisions it returns may concern others.
func (s *State) Arrive(now time.Time, r Request) []Decision {
	if s.draining {
		return []Decision{{ID: r.ID, Refusal: Draining}}
	}
	if r.Kind == Feed {
		s.running[r.ID] = Feed
		return []Decision{{ID: r.ID}}
	}
	until := now.Add(s.limits.QueueTime)
	if r.Deadline.Before(until) {
		until = r.Deadline
	}
	s.queue = append(s.queue, waiting{Request: r, until: until})
	return s.fill(now)
}

// Finish frees what a dispatched request held.
func (s *State) Finish(now time.Time, id RequestID) []Decision {
	kind, ok := s.running[id]
	if !ok {
		return nil
	}
	delete(s.running, id)
	if kind == Job {
		s.jobs--
	}
	return s.fill(now)
}

// Cancel takes a request out of the queue; one already dispatched stays.
func (s *State) Cancel(id RequestID) []Decision {
	for i, w := range s.queue {
		if w.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return []Decision{{ID: id, Refusal: Cancelled}}
		}
	}
	return nil
}

// Tick refuses what has waited too long.
func (s *State) Tick(now time.Time) []Decision { return s.fill(now) }

// fill expires what is late and dispatches while slots are free. Expiry comes
// first, so that late work is never dispatched, not even after a pause.
func (s *State) fill(now time.Time) []Decision {
	var decisions []Decision
	kept := s.queue[:0]
	for _, w := range s.queue {
		switch {
		case !now.Before(w.until):
			decisions = append(decisions, Decision{ID: w.ID, Refusal: DeadlinePassed})
		case s.jobs < s.limits.Slots:
			s.jobs++
			s.running[w.ID] = Job
			decisions = append(decisions, Decision{ID: w.ID})
		default:
			kept = append(kept, w)
		}
	}
	s.queue = kept
	return decisions
}

// Leave ends a request whose caller gave up, wherever it stands. A job that
// was dispatched in the same moment gives its slot back unused.
func (s *State) Leave(now time.Time, id RequestID) []Decision {
	if _, running := s.running[id]; running {
		return s.Finish(now, id)
	}
	return s.Cancel(id)
}
