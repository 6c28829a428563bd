// Package handover transfers the flows of an agent that stops gracefully to the agent that starts
// next at the same endpoint. A few balancers store them in memory meanwhile. Without it the next
// agent would know no flow, and balancers that search for flows would have to try their packets at
// its endpoint.
package handover

import (
	"time"

	"cactustray/flow"
)

// Process identifies one run of an agent's process, by a random number other than 0.
type Process uint64

// maxPartFlows bounds the flows of a part, at 16 bytes each, so that it fits into one packet of
// 1,500 bytes.
const maxPartFlows = 80

// Part is the part of a hand-over that one datagram has.
type Part struct {
	// From is the agent's process that stopped.
	From Process
	// StoppedAt is when it handed over, on the clock of its machine that runs since the machine
	// booted.
	StoppedAt time.Duration
	// Number counts the parts of a hand-over from 0, Count is how many there are.
	Number, Count int
	flow.Handover
}

// Split returns the parts of the hand-over of a process at stoppedAt, at least one.
func Split(from Process, stoppedAt time.Duration, h flow.Handover) []Part {
	count := max(1, (len(h.Open)+len(h.Unsure)+maxPartFlows-1)/maxPartFlows)
	parts := make([]Part, count)
	for i := range parts {
		part := flow.Handover{Complete: h.Complete, KnownFor: h.KnownFor}
		part.Open, h.Open = take(h.Open, maxPartFlows)
		part.Unsure, h.Unsure = take(h.Unsure, maxPartFlows-len(part.Open))
		parts[i] = Part{From: from, StoppedAt: stoppedAt, Number: i, Count: count, Handover: part}
	}
	return parts
}

func take[T any](from []T, n int) (first, rest []T) {
	n = min(n, len(from))
	return from[:n], from[n:]
}

const (
	// lifetime is how long a balancer keeps a hand-over: an agent that stops runs again sooner.
	lifetime = 5 * time.Second
	// maxStoredParts bounds what a balancer keeps, at 1.3 KB each.
	maxStoredParts = 4096
	// maxCount bounds the parts of a hand-over: an agent has some 32,000 flows at most.
	maxCount = 512
)

// Store is a balancer's memory of the hand-overs of agents. The zero Store is empty. It is not safe
// for concurrent use.
//
// Invariant: only one process gets the hand-over of another. A later one would lack the flows
// that opened while the first ran.
type Store struct {
	agents map[flow.Address]*stored
	parts  int
}

type stored struct {
	from      Process
	stoppedAt time.Duration
	at        time.Duration
	parts     map[int]Part
	// to is the process that got the hand-over, or 0.
	to Process
}

// Add stores a part from an agent. One of a later process replaces those of the process before.
func (s *Store) Add(now time.Duration, agent flow.Address, part Part) {
	known := s.agents[agent]
	if known != nil && known.from != part.From && part.StoppedAt <= known.stoppedAt {
		return
	}
	if known == nil || known.from != part.From {
		s.remove(agent)
		known = &stored{from: part.From, stoppedAt: part.StoppedAt, at: now, parts: make(map[int]Part)}
		if s.agents == nil {
			s.agents = make(map[flow.Address]*stored)
		}
		s.agents[agent] = known
	}
	if _, repeated := known.parts[part.Number]; repeated || s.parts >= maxStoredParts {
		return
	}
	known.parts[part.Number] = part
	s.parts++
}

// Take returns the stored parts for a process that has started at the agent's address.
func (s *Store) Take(agent flow.Address, process Process) []Part {
	known := s.agents[agent]
	if known == nil || known.from == process || known.to != 0 && known.to != process {
		return nil
	}
	known.to = process
	parts := make([]Part, 0, len(known.parts))
	for _, part := range known.parts {
		parts = append(parts, part)
	}
	return parts
}

// Awaited returns the agents whose hand-over no process has taken yet.
func (s *Store) Awaited() []flow.Address {
	var awaited []flow.Address
	for agent, known := range s.agents {
		if known.to == 0 {
			awaited = append(awaited, agent)
		}
	}
	return awaited
}

// Expire removes what no process needs any more.
func (s *Store) Expire(now time.Duration) {
	for agent, known := range s.agents {
		if now-known.at > lifetime {
			s.remove(agent)
		}
	}
}

func (s *Store) remove(agent flow.Address) {
	if known := s.agents[agent]; known != nil {
		s.parts -= len(known.parts)
		delete(s.agents, agent)
	}
}

// Assembly collects the parts of the hand-over to an agent that has started. The zero Assembly is
// empty.
//
// Invariant: the process that stopped last counts. A balancer may still have the hand-over of one
// before it.
type Assembly struct {
	from      Process
	stoppedAt time.Duration
	count     int
	parts     map[int]Part
	whole     bool
}

// Add adds a part and returns the hand-over once all its parts are there, once for each process.
func (a *Assembly) Add(part Part) (h flow.Handover, whole bool) {
	if part.Count < 1 || part.Count > maxCount || part.Number < 0 || part.Number >= part.Count {
		return flow.Handover{}, false
	}
	if part.From != a.from && part.StoppedAt > a.stoppedAt {
		*a = Assembly{from: part.From, stoppedAt: part.StoppedAt, count: part.Count, parts: make(map[int]Part)}
	}
	if a.whole || part.From != a.from || part.Count != a.count {
		return flow.Handover{}, false
	}
	a.parts[part.Number] = part
	if len(a.parts) < a.count {
		return flow.Handover{}, false
	}
	a.whole, h.Complete, h.KnownFor = true, part.Complete, part.KnownFor
	for _, p := range a.parts {
		h.Complete, h.KnownFor = h.Complete && p.Complete, min(h.KnownFor, p.KnownFor)
		h.Open, h.Unsure = append(h.Open, p.Open...), append(h.Unsure, p.Unsure...)
	}
	return h, true
}
