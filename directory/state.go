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
	// lapsedRetention is how long an endpoint stays in use while its agent
	// reports it alive, if its entry was deleted shortly after an outage of the
	// source and was not draining. An entry that expired although its endpoint
	// is alive is registered again within two seconds of the source's return.
	lapsedRetention = 2500 * time.Millisecond
	// vanishedRetention is the same for an entry that was deleted while the
	// source was reachable all along.
	vanishedRetention = time.Second
	// agentRestart is how long after its last report an agent may be restarting.
	agentRestart = 3 * time.Second
	// settleTime is how long after an outage of the source entries may be
	// missing although their endpoints are alive.
	settleTime = 3 * time.Second
	// outageGap is the time between two successful reads that counts as an
	// outage: several times the usual pause between two reads.
	outageGap = 2 * time.Second
)

// Entry is an endpoint and its status on this balancer.
type Entry struct {
	Endpoint
	// FirstSeen is when this balancer first received this incarnation.
	FirstSeen time.Duration
	// WarmAt is when it reaches its full speed.
	WarmAt time.Duration
	// DepartedAt is when it was noticed to be no longer registered, or 0 if it is
	// registered; the clock never returns 0.
	DepartedAt time.Duration
	// AcceptingAt is when a draining endpoint was last known to accept new flows, or 0 if
	// this balancer knows it only as draining.
	AcceptingAt time.Duration
	// ChangedAt is the revision of the last change other than a heartbeat, or a later one.
	ChangedAt Revision
	// UsableUntil is until when a departed endpoint stays in use if its agent
	// reports it alive.
	UsableUntil time.Duration
	// GoneAt is from when a departed endpoint holds no flows if its agent does not report.
	GoneAt time.Duration
}

// AcceptsNew reports whether new flows may be placed at the endpoint; alive is
// whether its agent reported it recently.
func (e *Entry) AcceptsNew(now time.Duration, alive bool) bool {
	if e.Draining {
		return false
	}
	return e.DepartedAt == 0 || alive && now < e.UsableUntil
}

// AcceptsWhileDraining reports whether a draining endpoint may still get new flows if its
// service has no other endpoint. limit is how long after the begin of its drain an endpoint
// may get any; the drain began after AcceptingAt.
func (e *Entry) AcceptsWhileDraining(now, limit time.Duration) bool {
	return e.Draining && e.DepartedAt == 0 && e.AcceptingAt != 0 && now-e.AcceptingAt < limit
}

// MayHoldFlows reports whether the endpoint may hold open flows; stopped is whether its agent
// announced that it would stop, and did, reportedAt when it last reported, or 0, and asOf when
// the directory was known to be the newest. An entry can expire while the endpoint is alive,
// and an unresponsive agent may only be unreachable. Both together, beyond the time in which
// expired entries are registered again, mean that the endpoint is gone: a caller that waits
// for it longer gives up its request.
func (e *Entry) MayHoldFlows(now, asOf, reportedAt time.Duration, stopped bool) bool {
	switch {
	case e.DepartedAt == 0:
		return true
	case stopped:
		return false
	case reportedAt != 0 && now-reportedAt < agentRestart:
		return true
	}
	return asOf < e.GoneAt
}

// State is a balancer's copy of the directory. The control goroutine owns it.
type State struct {
	revision Revision
	asOf     time.Duration
	// outageEnd is when the source last became reachable after an outage.
	outageEnd time.Duration
	known     bool
	desired   Desired
	routes    routeHistory
	entries   map[string]*Entry
	// changesFrom is the revision from which on all deletions are known.
	changesFrom Revision
	// digest combines the digests of all registered endpoints, independently of
	// their order.
	digest uint64
}

// NewState returns a state without a directory.
func NewState() *State {
	return &State{entries: make(map[string]*Entry), routes: newRouteHistory()}
}

// FirstStart records that no node of the system has run before, so that no desired state
// was in force earlier.
func (s *State) FirstStart() { s.routes.since = systemStart }

// Known reports whether the directory was received.
func (s *State) Known() bool { return s.known }

// Revision returns the current revision.
func (s *State) Revision() Revision { return s.revision }

// AsOf returns when the revision was known to be the newest.
func (s *State) AsOf() time.Duration { return s.asOf }

// Desired returns the desired state in force.
func (s *State) Desired() *Desired { return &s.desired }

// FormerServices returns the services to which present routes sent flows earlier.
func (s *State) FormerServices(now time.Duration) []FormerService { return s.routes.snapshot(now) }

// KnowsRouteHistory reports whether FormerServices has every service that may hold a flow
// of a present route; lifetime is the longest lifetime of a flow.
func (s *State) KnowsRouteHistory(now, lifetime time.Duration) bool {
	return s.known && now-s.routes.since >= lifetime
}

// Each calls f with every entry, in no particular order.
func (s *State) Each(f func(*Entry)) {
	for _, e := range s.entries {
		f(e)
	}
}

// Snapshot returns a full snapshot with all registered and departed endpoints,
// to send to another balancer.
func (s *State) Snapshot(now time.Duration) Change {
	desired := s.desired
	c := Change{
		Revision: s.revision, Snapshot: true, AsOf: s.asOf, Desired: &desired,
		Former: s.routes.snapshot(now), RouteHistory: max(now-s.routes.since, 1),
	}
	for _, e := range s.entries {
		if e.DepartedAt == 0 {
			c.Endpoints = append(c.Endpoints, e.Endpoint)
		} else {
			c.Departed = append(c.Departed, Departed{Endpoint: e.Endpoint, Age: now - e.DepartedAt})
		}
	}
	slices.SortFunc(c.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return c
}

// Request describes what a balancer has of the directory that it requests.
type Request struct {
	// Revision is its revision, or 0 if it has none; Desired is the source's revision of its
	// desired state.
	Revision Revision
	Desired  Revision
	// AllDeparted requests every departed endpoint, whenever it departed.
	AllDeparted bool
}

// ChangesFor returns what the sender of a request lacks: an increment, or a full snapshot if
// it has no directory or one so old that deletions since may have been forgotten.
func (s *State) ChangesFor(now time.Duration, r Request) Change {
	c := s.Snapshot(now)
	if r.Revision != 0 && r.Revision >= s.changesFrom {
		c = s.increment(now, r)
	}
	if r.Desired != 0 && r.Desired == s.desired.ModRevision {
		c.Desired, c.DesiredKnown = nil, true
	}
	return c
}

// increment returns the changes after the revision of a request.
func (s *State) increment(now time.Duration, r Request) Change {
	desired := s.desired
	c := Change{
		Revision: s.revision, After: r.Revision, AsOf: s.asOf, Desired: &desired,
		Former: s.routes.snapshot(now), RouteHistory: max(now-s.routes.since, 1),
	}
	for id, e := range s.entries {
		changed := e.ChangedAt > r.Revision
		if changed && e.DepartedAt == 0 {
			c.Endpoints = append(c.Endpoints, e.Endpoint)
		}
		if changed && e.DepartedAt != 0 {
			c.Deleted = append(c.Deleted, Deleted{ID: id, ModRevision: e.ModRevision})
		}
		if e.DepartedAt != 0 && (changed || r.AllDeparted) {
			c.Departed = append(c.Departed, Departed{Endpoint: e.Endpoint, Age: now - e.DepartedAt})
		}
	}
	return c
}

// ConfirmRevision records that a revision with the given digest was the newest
// at asOf, and reports whether the content need not be fetched: it is the same
// as here, or older. If it returns false, the content must be fetched.
func (s *State) ConfirmRevision(revision Revision, digest uint64, asOf time.Duration) bool {
	if !s.known || revision < s.revision {
		return s.known
	}
	if digest != s.Digest() {
		return false
	}
	s.revision = revision
	s.advanceAsOf(asOf)
	return true
}

// advanceAsOf moves asOf forward and detects the end of an outage of the
// source.
func (s *State) advanceAsOf(asOf time.Duration) {
	if asOf <= s.asOf {
		return
	}
	if s.known && asOf-s.asOf > outageGap {
		s.outageEnd = asOf
	}
	s.asOf = asOf
}

// Apply applies an update and reports whether the content changed. An increment
// is refused, and ok is false, if no directory was received yet or if the
// increment follows a revision higher than the current one.
func (s *State) Apply(now time.Duration, c Change) (changed, ok bool) {
	if !c.Snapshot && (!s.known || c.After > s.revision) {
		return false, false
	}
	added := s.addDeparted(now, c.Departed)
	if c.Revision < s.revision {
		return s.mergeRouteHistory(now, c) || added, true
	}
	before := s.Digest()
	s.applyDesired(now, c)
	added = s.mergeRouteHistory(now, c) || added
	asOf := s.asOf
	s.advanceAsOf(c.AsOf)
	for _, e := range c.Endpoints {
		s.put(now, asOf, e)
	}
	if c.Snapshot {
		s.markMissing(now, c)
	}
	for _, d := range c.Deleted {
		s.markDeparted(now, d.ID, d.ModRevision)
	}
	if c.Snapshot {
		s.changesFrom = c.Revision // it does not show what was deleted before
	}
	s.revision, s.known = c.Revision, true
	return added || s.Digest() != before, true
}

// applyDesired puts the desired state of an update into force, if it has a newer one.
func (s *State) applyDesired(now time.Duration, c Change) {
	if c.Desired == nil || c.Desired.ModRevision < s.desired.ModRevision {
		return
	}
	before := s.desired
	s.desired = *c.Desired
	switch {
	case !s.known && s.routes.since != systemStart, s.known && c.skips(now-s.asOf) && c.Desired.ModRevision != before.ModRevision:
		s.routes.begin(now, c.Desired.ModRevision)
	case !s.known:
		s.routes.from = c.Desired.ModRevision
	}
	for _, superseded := range c.Superseded {
		s.routes.replaced(now, superseded, &s.desired)
	}
	s.routes.replaced(now, &before, &s.desired)
}

// skips reports whether the update may lack desired states that were in force since the
// receiver's directory was known to be the newest, age ago.
func (c Change) skips(age time.Duration) bool { return c.Snapshot && c.RouteHistory < age }

// mergeRouteHistory adds the route history of another balancer's directory, and reports
// whether there were former services unknown here.
func (s *State) mergeRouteHistory(now time.Duration, c Change) bool {
	desired := c.Desired
	if c.DesiredKnown {
		desired = &s.desired
	}
	if c.RouteHistory == 0 || desired == nil {
		return false
	}
	return s.routes.merge(now, c.RouteHistory, desired, c.Former, &s.desired)
}

// addDeparted adds the departed endpoints without an entry here, and reports
// whether there were any.
func (s *State) addDeparted(now time.Duration, departed []Departed) bool {
	added := false
	for _, d := range departed {
		if s.entries[d.ID] != nil {
			continue
		}
		departedAt := now - d.Age
		if departedAt == 0 {
			departedAt-- // 0 means registered
		}
		s.entries[d.ID] = &Entry{
			Endpoint: d.Endpoint, FirstSeen: now, DepartedAt: departedAt, GoneAt: now + vanishedRetention, ChangedAt: d.ModRevision,
		}
		added = true
	}
	return added
}

// put adds or updates a registered endpoint, unless the existing entry has a
// later revision, which was the newest at asOf.
func (s *State) put(now, asOf time.Duration, e Endpoint) {
	existing := s.entries[e.ID]
	if existing != nil && existing.ModRevision > e.ModRevision {
		if !existing.sameContent(e) {
			existing.ChangedAt = existing.ModRevision // it has changed back
		}
		return
	}
	if existing != nil && existing.DepartedAt == 0 {
		if existing.sameContent(e) {
			existing.ModRevision = e.ModRevision // a heartbeat
			return
		}
		s.digest ^= existing.digest()
	}
	s.digest ^= e.digest()
	entry := &Entry{Endpoint: e, FirstSeen: now, WarmAt: now + e.WarmUpTime, ChangedAt: e.ModRevision}
	if existing != nil && existing.Incarnation == e.Incarnation && existing.Address == e.Address {
		entry.FirstSeen, entry.WarmAt, entry.AcceptingAt = existing.FirstSeen, existing.WarmAt, existing.AcceptingAt
		if !existing.Draining {
			entry.AcceptingAt = asOf
		}
	}
	s.entries[e.ID] = entry
}

// markMissing marks the entries that a full snapshot does not list as departed.
func (s *State) markMissing(now time.Duration, c Change) {
	named := make(map[string]bool, len(c.Endpoints))
	for _, e := range c.Endpoints {
		named[e.ID] = true
	}
	for id := range s.entries {
		if !named[id] {
			s.markDeparted(now, id, c.Revision)
		}
	}
}

// markDeparted marks an entry as departed, unless it has a later revision than
// at.
func (s *State) markDeparted(now time.Duration, id string, at Revision) {
	e := s.entries[id]
	if e == nil {
		return
	}
	if e.DepartedAt != 0 {
		// It may have been written and deleted again.
		e.ModRevision, e.ChangedAt = max(e.ModRevision, at), max(e.ChangedAt, at)
		return
	}
	if e.ModRevision > at {
		e.ChangedAt = e.ModRevision // deleted and written again
		return
	}
	s.digest ^= e.digest()
	e.DepartedAt, e.ModRevision, e.ChangedAt = now, at, at
	e.UsableUntil = now + vanishedRetention
	if s.outageEnd > 0 && now-s.outageEnd < settleTime {
		e.UsableUntil = now + lapsedRetention
	}
	e.GoneAt = e.UsableUntil
}

// RemoveExpired removes entries that departed longer than lifetime ago, and the
// services that routes left longer ago; lifetime is the longest lifetime of a flow.
func (s *State) RemoveExpired(now, lifetime time.Duration) {
	s.routes.expire(now, lifetime)
	for id, e := range s.entries {
		if e.DepartedAt != 0 && now-e.DepartedAt > lifetime {
			s.changesFrom = max(s.changesFrom, e.ChangedAt)
			delete(s.entries, id)
		}
	}
}

// Digest returns a hash of the content that determines where flows are placed:
// balancers with the same digest route alike.
func (s *State) Digest() uint64 {
	h := xxhash.New()
	hashNumber(h, uint64(s.desired.Version))
	hashNumber(h, uint64(s.desired.ModRevision))
	return h.Sum64() ^ s.digest
}

// digest returns the contribution of a registered endpoint to the state's
// digest.
func (e Endpoint) digest() uint64 {
	h := xxhash.New()
	hashText(h, e.ID)
	hashText(h, e.Service)
	hashText(h, e.Address.String())
	hashNumber(h, uint64(e.Incarnation))
	hashNumber(h, uint64(e.Slots))
	if e.Draining {
		hashText(h, "draining")
	}
	return h.Sum64()
}

// sameContent reports whether two entries with one ID are equal except for
// revision and warm-up time.
func (e Endpoint) sameContent(other Endpoint) bool {
	e.ModRevision, e.WarmUpTime = other.ModRevision, other.WarmUpTime
	return e == other
}

func hashNumber(h hash.Hash, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = h.Write(b[:]) // never fails
}

func hashText(h hash.Hash, s string) {
	_, _ = h.Write(append([]byte(s), 0)) // never fails
}
