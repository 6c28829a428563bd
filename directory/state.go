package directory

import (
	"cmp"
	"encoding/binary"
	"hash"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lapseKeep is how long an endpoint that vanished without draining stays in
	// use while its agent reports it alive: an entry that lapsed though its
	// endpoint lives is back within two seconds of the source's return.
	lapseKeep = 2500 * time.Millisecond
	// vanishKeep is the same while the source was reachable all along.
	vanishKeep = time.Second
	// unsettledFor is how long after an outage of the source entries may be
	// missing though their endpoints live.
	unsettledFor = 3 * time.Second
	// outageGap is the pause between two successful readings that counts as an
	// outage: several times the pause that pacing makes.
	outageGap = 2 * time.Second
)

// Entry is an endpoint and how it stands here.
type Entry struct {
	Endpoint
	// Learned is when this incarnation was first seen here.
	Learned time.Duration
	// WarmAt is when it reaches its full speed.
	WarmAt time.Duration
	// GoneAt is when it was found to be no longer registered, or 0; the clock is
	// never at 0.
	GoneAt time.Duration
	// Until is how long an endpoint that is gone stays in use if its agent
	// reports it alive.
	Until time.Duration
}

// TakesNew tells whether new flows may be placed at the endpoint; alive tells
// whether its agent has reported it lately.
func (e *Entry) TakesNew(now time.Duration, alive bool) bool {
	if e.Draining {
		return false
	}
	return e.GoneAt == 0 || alive && now < e.Until
}

// Holds tells whether the endpoint may hold open flows; left tells that its agent said
// it would stop, and did. An entry can lapse while the endpoint lives, and an agent that
// is not heard may be cut off, so that neither tells that its flows are over.
func (e *Entry) Holds(left bool) bool { return e.GoneAt == 0 || !left }

// State is what a balancer holds of the directory. The control goroutine owns
// it.
type State struct {
	revision Revision
	asOf     time.Duration
	// outageEnd is when the source was last back after an outage.
	outageEnd time.Duration
	known     bool
	desired   Desired
	entries   map[string]*Entry
	// digest combines the digests of all registered endpoints, in any order.
	digest uint64
}

// NewState returns a state that knows nothing.
func NewState() *State { return &State{entries: make(map[string]*Entry)} }

// Known tells whether the directory was received.
func (s *State) Known() bool { return s.known }

// Revision returns the revision held.
func (s *State) Revision() Revision { return s.revision }

// AsOf returns when the revision was known to be the newest.
func (s *State) AsOf() time.Duration { return s.asOf }

// Desired returns the desired state in force.
func (s *State) Desired() *Desired { return &s.desired }

// Each calls f with every entry.
func (s *State) Each(f func(*Entry)) {
	for _, e := range s.entries {
		f(e)
	}
}

// Whole returns all that is registered, and what has departed, to hand on.
func (s *State) Whole(now time.Duration) Change {
	desired := s.desired
	c := Change{Revision: s.revision, Whole: true, AsOf: s.asOf, Desired: &desired}
	for _, e := range s.entries {
		if e.GoneAt == 0 {
			c.Endpoints = append(c.Endpoints, e.Endpoint)
		} else {
			c.Departed = append(c.Departed, Departed{Endpoint: e.Endpoint, For: now - e.GoneAt})
		}
	}
	slices.SortFunc(c.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return c
}

// Current takes in that the revision held with the given digest, or a later one
// with the same content, was the newest at a moment. It tells whether that is
// so: if not, the content must be fetched.
func (s *State) Current(revision Revision, digest uint64, asOf time.Duration) bool {
	if !s.known || revision < s.revision {
		return s.known
	}
	if digest != s.Digest() {
		return false
	}
	s.revision = revision
	s.refresh(asOf)
	return true
}

func (s *State) refresh(asOf time.Duration) {
	if asOf <= s.asOf {
		return
	}
	if s.known && asOf-s.asOf > outageGap {
		s.outageEnd = asOf
	}
	s.asOf = asOf
}

// Apply takes news in and tells whether the content changed. News that follows
// a revision beyond the one held is refused: ok is false.
func (s *State) Apply(now time.Duration, c Change) (changed, ok bool) {
	if !c.Whole && (!s.known || c.After > s.revision) {
		return false, false
	}
	departed := s.depart(now, c.Departed)
	if c.Revision < s.revision {
		return departed, true
	}
	s.refresh(c.AsOf)
	before := s.Digest()
	if c.Desired != nil && c.Desired.Changed >= s.desired.Changed {
		s.desired = *c.Desired
	}
	for _, e := range c.Endpoints {
		s.put(now, e)
	}
	if c.Whole {
		s.missing(now, c)
	}
	for _, g := range c.Gone {
		s.gone(now, g.ID, g.Changed)
	}
	s.revision, s.known = c.Revision, true
	return departed || s.Digest() != before, true
}

// depart takes in endpoints that were not known here, and tells whether there were any.
func (s *State) depart(now time.Duration, departed []Departed) bool {
	learned := false
	for _, d := range departed {
		if s.entries[d.ID] != nil {
			continue
		}
		goneAt := now - d.For
		if goneAt == 0 {
			goneAt-- // 0 is for those that are registered
		}
		s.entries[d.ID] = &Entry{Endpoint: d.Endpoint, Learned: now, GoneAt: goneAt}
		learned = true
	}
	return learned
}

func (s *State) put(now time.Duration, e Endpoint) {
	held := s.entries[e.ID]
	if held != nil && held.Changed > e.Changed {
		return
	}
	if held != nil && held.GoneAt == 0 {
		if held.same(e) {
			held.Changed = e.Changed // a heartbeat
			return
		}
		s.digest ^= held.digest()
	}
	s.digest ^= e.digest()
	entry := &Entry{Endpoint: e, Learned: now, WarmAt: now + e.ColdFor}
	if held != nil && held.Born == e.Born && held.Address == e.Address {
		entry.Learned, entry.WarmAt = held.Learned, held.WarmAt
	}
	s.entries[e.ID] = entry
}

// missing finds the entries that a whole no longer names.
func (s *State) missing(now time.Duration, c Change) {
	named := make(map[string]bool, len(c.Endpoints))
	for _, e := range c.Endpoints {
		named[e.ID] = true
	}
	for id := range s.entries {
		if !named[id] {
			s.gone(now, id, c.Revision)
		}
	}
}

func (s *State) gone(now time.Duration, id string, at Revision) {
	e := s.entries[id]
	if e == nil || e.Changed > at || e.GoneAt != 0 {
		return
	}
	s.digest ^= e.digest()
	e.GoneAt, e.Changed = now, at
	e.Until = now + vanishKeep
	if s.outageEnd > 0 && now-s.outageEnd < unsettledFor {
		e.Until = now + lapseKeep
	}
}

// Forget drops entries that are long gone; lifetime is the longest life of a
// flow.
func (s *State) Forget(now, lifetime time.Duration) {
	for id, e := range s.entries {
		if e.GoneAt != 0 && now-e.GoneAt > lifetime {
			delete(s.entries, id)
		}
	}
}

// Digest returns a hash of what decides where flows go: balancers with the same
// digest route alike.
func (s *State) Digest() uint64 {
	h := xxhash.New()
	number(h, uint64(s.desired.Version))
	number(h, uint64(s.desired.Changed))
	return h.Sum64() ^ s.digest
}

// digest returns a registered endpoint's part of the digest.
func (e Endpoint) digest() uint64 {
	h := xxhash.New()
	text(h, e.ID)
	text(h, e.Service)
	text(h, e.Address.String())
	number(h, uint64(e.Born))
	number(h, uint64(e.Slots))
	if e.Draining {
		text(h, "draining")
	}
	return h.Sum64()
}

// same tells whether two entries of one ID say the same but for their revision
// and their warming up.
func (e Endpoint) same(other Endpoint) bool {
	e.Changed, e.ColdFor = other.Changed, other.ColdFor
	return e == other
}

func number(h hash.Hash, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = h.Write(b[:]) // never fails
}

func text(h hash.Hash, s string) {
	_, _ = h.Write(append([]byte(s), 0)) // never fails
}
