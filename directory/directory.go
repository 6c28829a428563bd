// Package directory holds the duty of knowing what a deployment publishes about
// itself as one whole: the desired state, with every route, and the endpoints
// that register themselves. A few balancers read it from its source, the others
// learn of it from them.
//
// Invariant: the content for a revision of the source is the same on every node
// that holds it, so revisions alone order what nodes hold, and a node's
// revision never goes back while it runs.
package directory

import (
	"net/netip"
	"time"
)

// Revision counts the source's changes.
type Revision uint64

// Share is a part of a route's new flows.
type Share struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// Route says which services take the flows of an address.
type Route struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Shares  []Share        `json:"shares"`
}

// Desired is the desired state: all of it comes into force at once.
type Desired struct {
	// Version is the operator's number; it increases.
	Version int64 `json:"version"`
	// Changed is the source's revision that brought it.
	Changed Revision `json:"changed"`
	Routes  []Route  `json:"routes"`
	// IdleTime is how long an idle flow is kept.
	IdleTime time.Duration `json:"idle_time"`
}

// Endpoint is one incarnation of a backend server as it registered itself.
type Endpoint struct {
	ID string `json:"id"`
	// Born tells incarnations under one ID apart.
	Born    int64          `json:"born"`
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	// Slots is how many requests it works on at once.
	Slots int `json:"slots"`
	// Draining tells that it takes no new flows.
	Draining bool `json:"draining"`
	// ColdFor is how much longer it was slow when it wrote this.
	ColdFor time.Duration `json:"cold_for"`
	// Changed is the source's revision that brought this.
	Changed Revision `json:"changed"`
}

// Change is news from the source, or from another balancer that read it.
type Change struct {
	// Revision is what the news brings the receiver up to.
	Revision Revision
	// After is the revision that the news follows: a receiver below it lacks
	// something. It does not count for a whole.
	After Revision
	// Whole tells that endpoints not named here are gone.
	Whole bool
	// AsOf is when the revision was known to be the newest.
	AsOf time.Duration
	// Desired is nil where it has not changed.
	Desired   *Desired
	Endpoints []Endpoint
	Gone      []Gone
	// Departed are endpoints that are no longer registered and may hold open flows;
	// balancers tell each other, the source does not know them any more.
	Departed []Departed
	// Complete tells that the sender knows of every endpoint that may hold open
	// flows.
	Complete bool
}

// Departed is an endpoint that is no longer registered.
type Departed struct {
	Endpoint
	// For is how long ago that was noticed.
	For time.Duration
}

// Gone names an endpoint that is no longer registered.
type Gone struct {
	ID      string
	Changed Revision
}
