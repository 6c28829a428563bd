// Package directory tracks what a deployment publishes as a whole: the
// desired state, with every route, and the endpoints that register themselves.
// A few balancers read it from its source; the others fetch it from them.
//
// Invariant: a node's position never decreases while it runs. Nodes at the same
// position have the same content once they have exchanged it: what the source says
// there, joined with what is known to be later. A source that was restored from a copy
// has lost writes that are in force; versions order desired states, and the incarnations
// and sequence numbers of endpoints their entries, whatever the source's era.
package directory

import (
	"cmp"
	"net/netip"
	"time"
)

// Revision numbers the changes of the source within an era.
type Revision uint64

// Era numbers the histories of the source. A source that is restored from a copy begins a
// new era: it has lost the changes since the copy was made, and assigns their revisions
// again. It is 0 for a source that does not number its eras.
type Era uint64

// Position is a point in the history of the source.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare compares two positions by era, then by revision.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Share is the part of a route's new flows that a service receives.
type Share struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// Route distributes the flows of an address to services.
type Route struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Shares  []Share        `json:"shares"`
	// Class describes the route's requests; it is nil if that is not known.
	Class *Class `json:"class,omitempty"`
}

// Class describes the requests of a route.
type Class struct {
	// Priority is 0 for the most urgent requests.
	Priority uint8 `json:"priority"`
	// Repeatable is true if a request may run more than once.
	Repeatable bool `json:"repeatable"`
	// Goal is the time within which an answer is on time, and Limit that after which the
	// caller gives up.
	Goal  time.Duration `json:"goal"`
	Limit time.Duration `json:"limit"`
}

// Service holds the properties that the endpoints of a service have in common.
type Service struct {
	Name string `json:"name"`
	// ColdTime is how long an endpoint is cold after its start, and ColdRate how many new flows
	// a second it can take meanwhile; 0 if that is not limited.
	ColdTime time.Duration `json:"cold_time"`
	ColdRate float64       `json:"cold_rate"`
	// Connections is how many flows an endpoint can hold, or 0 if that is not limited.
	Connections int `json:"connections"`
}

// Desired is the desired state. All of it comes into force at once.
type Desired struct {
	// Version is assigned by the operator and increases. Desired states with the same
	// version have the same content.
	Version int64 `json:"version"`
	// Era and ModRevision are the source's era and revision of the last change.
	Era         Era      `json:"era"`
	ModRevision Revision `json:"changed"`
	Routes      []Route  `json:"routes"`
	// Services has the services whose properties are known.
	Services []Service `json:"services,omitempty"`
	// IdleTime is how long an idle flow is retained.
	IdleTime time.Duration `json:"idle_time"`
}

// Compare compares two desired states by version, and equal versions by when the source
// got them. The greater one is in force.
func (d *Desired) Compare(other *Desired) int {
	return cmp.Or(
		cmp.Compare(d.Version, other.Version), cmp.Compare(d.Era, other.Era), cmp.Compare(d.ModRevision, other.ModRevision),
	)
}

// Endpoint is one incarnation of a backend server, as it registered itself.
type Endpoint struct {
	ID string `json:"id"`
	// Incarnation distinguishes incarnations under one ID. It is the time of the start, in
	// milliseconds since the Unix epoch, by the endpoint's clock.
	Incarnation int64 `json:"born"`
	// Sequence counts what the incarnation has written, heartbeats included.
	Sequence uint64         `json:"sequence"`
	Service  string         `json:"service"`
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	// Slots is how many requests it processes at once.
	Slots int `json:"slots"`
	// Draining is true if it accepts no new flows.
	Draining bool `json:"draining"`
	// WarmUpTime is the endpoint's remaining warm-up time, in which it is slow,
	// when it wrote this entry.
	WarmUpTime time.Duration `json:"cold_for"`
	// ModRevision is the source's revision of the last change, or 0 if that was in an
	// earlier era.
	ModRevision Revision `json:"changed"`
	// Relisted is true, between balancers, if the entry may be a copy of one that had been
	// deleted.
	Relisted bool `json:"relisted,omitempty"`
}

// laterThan reports whether the endpoint wrote e after other. Both have the same ID.
func (e Endpoint) laterThan(other Endpoint) bool {
	return cmp.Or(cmp.Compare(e.Incarnation, other.Incarnation), cmp.Compare(e.Sequence, other.Sequence)) > 0
}

// Change is an update read from the source or received from another balancer:
// either the increment after a revision or a full snapshot.
type Change struct {
	// Era is the era of the source to which the revisions belong.
	Era Era
	// Revision is the revision of the receiver after the update.
	Revision Revision
	// After is the revision that an increment follows. A receiver with a lower
	// revision has missed changes and cannot apply the increment. It has no
	// meaning in a full snapshot.
	After Revision
	// Snapshot is true for a full snapshot: endpoints not listed in it have
	// departed.
	Snapshot bool
	// DesiredKnown is true if the desired state was left out, since the receiver has it.
	DesiredKnown bool
	// AsOf is when the revision was known to be the newest, on the clock of the
	// node that has the update.
	AsOf time.Duration
	// Desired is nil if it has not changed.
	Desired *Desired
	// Superseded are desired states that were in force between After and Desired, oldest
	// first.
	Superseded []*Desired
	Endpoints  []Endpoint
	Deleted    []Deleted
	// Evacuations are orders to evacuate failure domains, and orders that have ended. A full
	// snapshot of the source lists every order, and every update from a balancer all that it
	// knows.
	Evacuations []Evacuation
	// Departed are endpoints that are no longer registered and may hold open
	// flows. Only balancers send them to each other: the source no longer has
	// them.
	Departed []Departed
	// Former are the services to which present routes sent flows earlier. Only balancers
	// send them to each other.
	Former []FormerService
	// RouteHistory is how long the sender has known every desired state in force, or 0 if
	// the update is from the source.
	RouteHistory time.Duration
	// Introduced are the addresses of agents that report to the sender, and whose endpoints no
	// balancer knows otherwise. They may hold open flows. Only balancers send them to each
	// other.
	Introduced []netip.AddrPort
	// Complete is true if the sender knows every endpoint that may hold open
	// flows.
	Complete bool
	// Digest is the digest of the sender's content, or 0 if the update is from the source.
	Digest uint64
}

// Position returns the position of the receiver after the update.
func (c Change) Position() Position { return Position{Era: c.Era, Revision: c.Revision} }

// Departed is an endpoint that is no longer registered.
type Departed struct {
	Endpoint
	// Age is how long ago the sender noticed that the endpoint was no longer
	// registered.
	Age time.Duration
}

// Deleted is the deletion of an endpoint's entry from the source, at revision
// ModRevision.
type Deleted struct {
	ID          string
	ModRevision Revision
}
