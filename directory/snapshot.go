package directory

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot returns a full snapshot with all registered and departed endpoints,
// to send to another balancer.
func (s *State) Snapshot(now time.Duration) Change {
	desired := s.desired
	c := Change{
		Era: s.era, Revision: s.revision, Snapshot: true, AsOf: s.asOf, Desired: &desired, Digest: s.Digest(),
		Former: s.routes.snapshot(now), RouteHistory: max(now-s.routes.since, 1),
		Evacuations: s.evacuations.messages(),
	}
	for _, e := range s.entries {
		if e.DepartedAt == 0 {
			c.Endpoints = append(c.Endpoints, e.message(now))
		} else {
			c.Departed = append(c.Departed, Departed{Endpoint: e.Endpoint, Age: now - e.DepartedAt})
		}
	}
	slices.SortFunc(c.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return c
}

// Request describes what a balancer has of the directory that it requests.
type Request struct {
	// Position is its position; the revision is 0 if it has no directory.
	Position
	// Version is the version of its desired state, or 0 if it has none.
	Version int64
	// AllDeparted requests every departed endpoint, whenever it departed.
	AllDeparted bool
}

// ChangesFor returns what the sender of a request lacks: an increment, or a full snapshot if
// it has no directory or one so old that deletions since may have been forgotten.
func (s *State) ChangesFor(now time.Duration, r Request) Change {
	c := s.Snapshot(now)
	if r.Era == s.era && r.Revision != 0 && r.Revision >= s.changesFrom {
		c = s.increment(now, r)
	}
	if r.Version != 0 && r.Version == s.desired.Version {
		c.Desired, c.DesiredKnown = nil, true
	}
	return c
}

// increment returns the changes after the revision of a request.
func (s *State) increment(now time.Duration, r Request) Change {
	desired := s.desired
	c := Change{
		Era: s.era, Revision: s.revision, After: r.Revision, AsOf: s.asOf, Desired: &desired, Digest: s.Digest(),
		Former: s.routes.snapshot(now), RouteHistory: max(now-s.routes.since, 1),
		Evacuations: s.evacuations.messages(),
	}
	for id, e := range s.entries {
		changed := e.ChangedAt > r.Revision
		if e.DepartedAt == 0 && (changed || r.AllDeparted && e.relisted(now)) {
			c.Endpoints = append(c.Endpoints, e.message(now))
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
