package directory

import (
	"time"
)

const (
	// settleTime is how long after an outage of the source entries may be
	// missing although their endpoints are alive.
	settleTime = 3 * time.Second
	// outageGap is the time between two successful reads that counts as an
	// outage: several times the usual pause between two reads.
	outageGap = 2 * time.Second
)

// State is a balancer's copy of the directory. The control goroutine owns it.
type State struct {
	era      Era
	revision Revision
	asOf     time.Duration
	// outageEnd is when the source last became reachable after an outage.
	outageEnd time.Duration
	known     bool
	desired   Desired
	routes    routeHistory
	entries   map[string]*Entry
	// evacuations are the orders to evacuate failure domains.
	evacuations evacuations
	// changesFrom is the revision from which on all deletions are known.
	changesFrom Revision
	// digest combines the digests of all registered endpoints, independently of
	// their order.
	digest uint64
}

// NewState returns a state without a directory.
func NewState() *State {
	return &State{entries: make(map[string]*Entry), routes: newRouteHistory(), evacuations: make(evacuations)}
}

// FirstStart records that no node of the system has run before, so that no desired state
// was in force earlier.
func (s *State) FirstStart() { s.routes.since = systemStart }

// Known reports whether the directory was received.
func (s *State) Known() bool { return s.known }

// Revision returns the current revision.
func (s *State) Revision() Revision { return s.revision }

// Position returns the current position.
func (s *State) Position() Position { return Position{Era: s.era, Revision: s.revision} }

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

// RouteHistorySince returns the time from which every desired state in force is known, here or
// to the balancers that the route history was taken over from.
func (s *State) RouteHistorySince() time.Duration { return s.routes.since }

// Each calls f with every entry, in no particular order.
func (s *State) Each(f func(*Entry)) {
	for _, e := range s.entries {
		f(e)
	}
}

// Confirm records that a position with the given digest was the newest at asOf, and
// reports whether the content need not be fetched: it is the same as here, or older. If
// it returns false, the content must be fetched.
func (s *State) Confirm(position Position, digest uint64, asOf time.Duration) bool {
	if !s.known || position.Compare(s.Position()) < 0 {
		return s.known
	}
	if position.Era != s.era || digest != s.Digest() {
		return false
	}
	s.revision = position.Revision
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
// increment follows a position higher than the current one.
func (s *State) Apply(now time.Duration, c Change) (changed, ok bool) {
	isOlder := s.known && c.Position().Compare(s.Position()) < 0
	if !c.Snapshot && !isOlder && (!s.known || c.Era != s.era || c.After > s.revision) {
		return false, false
	}
	before := s.Digest()
	if s.known && c.Era > s.era {
		s.beginEra(c)
	}
	added := s.addDeparted(now, c)
	s.applyDesired(now, c)
	s.evacuations.merge(c)
	if isOlder {
		added = s.mergeEntries(now, c) || added
		return s.mergeRouteHistory(now, c) || added || s.Digest() != before, true
	}
	added = s.mergeRouteHistory(now, c) || added
	asOf := s.asOf
	s.advanceAsOf(c.AsOf)
	for _, e := range c.Endpoints {
		added = s.put(now, asOf, e) || added
	}
	if c.Snapshot {
		s.markMissing(now, c)
		s.evacuations.endMissing(c)
	}
	for _, d := range c.Deleted {
		s.markDeparted(now, d.ID, d.ModRevision)
	}
	if c.Snapshot {
		s.changesFrom = c.Revision // it does not show what was deleted before
	}
	s.era, s.revision, s.known = c.Era, c.Revision, true
	return added || s.Digest() != before, true
}

// beginEra prepares for the first snapshot of a later era, whose revisions cannot be compared
// with those known. Entries that were written after the copy was made are missing until
// their endpoints write them again, as after an outage.
func (s *State) beginEra(c Change) {
	s.era, s.revision, s.outageEnd = c.Era, 0, max(s.outageEnd, c.AsOf)
	for _, e := range s.entries {
		e.ModRevision, e.ChangedAt = 0, 0
	}
}

// mergeEntries takes what an older update knows of registered endpoints beyond the
// entries here. Those may be copies in a restored source. It reports whether there were
// endpoints unknown here.
//
// An endpoint that another balancer lists and that is not known here was deleted between its
// position and the one here. It may live, if its entry expired, so it counts as departed.
func (s *State) mergeEntries(now time.Duration, c Change) (added bool) {
	for _, e := range c.Endpoints {
		existing := s.entries[e.ID]
		switch {
		case existing == nil && !c.fromSource():
			added = s.addDeparted(now, Change{Era: c.Era, Departed: []Departed{{Endpoint: e}}}) || added
		case existing == nil || existing.DepartedAt != 0 || !e.laterThan(existing.Endpoint):
		case c.Era == s.era && e.ModRevision != existing.ModRevision: // the revisions decide
		default:
			e.ModRevision = existing.ModRevision
			s.put(now, s.asOf, e)
		}
	}
	return added
}

// applyDesired puts the desired state of an update into force, if it has a newer one.
func (s *State) applyDesired(now time.Duration, c Change) {
	if c.Desired == nil || c.Desired.Compare(&s.desired) < 0 {
		return
	}
	before := s.desired
	// A balancer of an older build sends a desired state without classes and services.
	if c.Desired.Compare(&before) > 0 || c.fromSource() {
		s.desired = *c.Desired
	}
	switch {
	case !s.known && s.routes.since != systemStart, s.known && c.skips(now-s.asOf) && c.Desired.Version != before.Version:
		s.routes.begin(now, c.Desired.Version)
	case !s.known:
		s.routes.from = c.Desired.Version
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

// addDeparted adds the departed endpoints without an entry here, and reports whether there
// were any. A registered entry that is not later than one that had departed in an earlier era is
// a copy.
func (s *State) addDeparted(now time.Duration, c Change) bool {
	added := false
	for _, d := range c.Departed {
		if existing := s.entries[d.ID]; existing != nil {
			if c.Era < s.era && existing.DepartedAt == 0 && !existing.laterThan(d.Endpoint) {
				d.ModRevision, d.Relisted = existing.ModRevision, true
				added = s.put(now, s.asOf, d.Endpoint) || added
			}
			continue
		}
		if c.Era < s.era {
			d.ModRevision = 0 // not comparable
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

// put adds or updates a registered endpoint, unless the existing entry has a later
// revision, which was the newest at asOf. Where revisions don't decide, as with an existing
// entry of an earlier era, the endpoint's own later write does. It reports whether the entry
// became doubtful.
func (s *State) put(now, asOf time.Duration, e Endpoint) (doubtful bool) {
	existing := s.entries[e.ID]
	if existing != nil && existing.ModRevision > e.ModRevision {
		if !existing.sameContent(e) {
			existing.ChangedAt = existing.ModRevision // it has changed back
		}
		return false
	}
	if existing != nil && (existing.ModRevision == 0 || existing.ModRevision == e.ModRevision) {
		e = existing.joinCopy(now, e)
	}
	relisted := e.Relisted
	e.Relisted = false
	if existing != nil && existing.DepartedAt == 0 {
		if existing.sameContent(e) {
			isRepeated := existing.ModRevision == e.ModRevision
			existing.ModRevision, existing.Sequence = e.ModRevision, e.Sequence // a heartbeat
			existing.WarmAt = min(existing.WarmAt, now+e.WarmUpTime)            // each update is late by some time
			if isRepeated && !relisted {
				return false
			}
			return existing.setRelisted(now, relisted)
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
	return entry.setRelisted(now, relisted)
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
	s.routes.expire(now, lifetime, s.desired.Version)
	for id, e := range s.entries {
		if e.DepartedAt != 0 && now-e.DepartedAt > lifetime {
			s.changesFrom = max(s.changesFrom, e.ChangedAt)
			delete(s.entries, id)
		}
	}
}
