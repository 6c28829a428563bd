// Package directory tracks what a deployment publishes as a whole: the
// desired state, with every route, and the endpoints that register themselves.
// A few balancers read it from its source; the others fetch it from them.
//
// Invariant: the content for a revision of the source is the same on every node
// that has it, so revisions alone order the contents, and a node's revision
// never decreases while it runs.
package directory

import (
	"net/netip"
	"time"
)

// Revision numbers the changes of the source within an era.
type Revision uint64

// Era numbers the histories of the source. A source that is restored from a copy begins a
// new era: it has lost the changes since the copy was made, and assigns their revisions
// again. It is 0 for a source that does not number its eras.
type Era uint64

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
}

// Desired is the desired state. All of it comes into force at once.
type Desired struct {
	// Version is assigned by the operator and increases.
	Version int64 `json:"version"`
	// ModRevision is the source's revision of the last change.
	ModRevision Revision `json:"changed"`
	Routes      []Route  `json:"routes"`
	// IdleTime is how long an idle flow is retained.
	IdleTime time.Duration `json:"idle_time"`
}

// Endpoint is one incarnation of a backend server, as it registered itself.
type Endpoint struct {
	ID string `json:"id"`
	// Incarnation distinguishes incarnations under one ID. It is the time of the start, in
	// milliseconds since the Unix epoch, by the endpoint's clock.
	Incarnation int64          `json:"born"`
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Zone        string         `json:"zone"`
	// Slots is how many requests it processes at once.
	Slots int `json:"slots"`
	// Draining is true if it accepts no new flows.
	Draining bool `json:"draining"`
	// WarmUpTime is the endpoint's remaining warm-up time, in which it is slow,
	// when it wrote this entry.
	WarmUpTime time.Duration `json:"cold_for"`
	// ModRevision is the source's revision of the last change.
	ModRevision Revision `json:"changed"`
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
	// Complete is true if the sender knows every endpoint that may hold open
	// flows.
	Complete bool
}

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
