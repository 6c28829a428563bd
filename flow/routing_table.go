package flow

import (
	"iter"
	"slices"

	"cactustray/placement"
)

// Endpoint is an endpoint as balancers see it: its packets are sent to its agent.
type Endpoint struct {
	// Agent is the address at which the agent receives packets and messages.
	Agent   Address
	Service *Service
	placement.Candidate
	// StartedAt is when the endpoint started, in milliseconds since the Unix epoch by its
	// own clock.
	StartedAt int64
	// Unregistered is true if the registry no longer lists the endpoint, and an entry that
	// expired although its endpoint lives would be back.
	Unregistered bool
	// ConfirmedFrom is when the registry has shown that the endpoint lives, if it still lists
	// it then: an entry that is not renewed expires sooner.
	ConfirmedFrom Timestamp
	// Introduced is true if only the reports of its agent show that the endpoint exists; its
	// service and its slots are not known.
	Introduced bool
	// Zone is the endpoint's failure domain.
	Zone string
	// Evacuated is true if an order to evacuate the failure domain is in force.
	Evacuated bool
	// Accepts is true if the endpoint accepts new flows, from balancers that it reports to.
	Accepts bool
	// Distant is true if the agent does not report to this balancer, by this balancer's choice.
	Distant bool
	// ColdRate is how many new flows a second the endpoint can take while it is cold, or 0 if
	// that is not limited.
	ColdRate float64
	// hash is the hash of the agent's address, for the order in which a flow prefers
	// endpoints.
	hash uint64
}

// NewEndpoint returns an endpoint that balancers reach at its agent's address.
func NewEndpoint(agent Address, service *Service, candidate placement.Candidate) *Endpoint {
	return &Endpoint{Agent: agent, Service: service, Candidate: candidate, hash: Key{Caller: agent}.hash()}
}

// Accept makes the endpoint accept new flows of its service.
func (e *Endpoint) Accept() {
	e.Accepts = true
	e.Service.Accepting = append(e.Service.Accepting, e)
	e.Service.Candidates = append(e.Service.Candidates, &e.Candidate)
}

// Service is a service as the traffic goroutines see it.
type Service struct {
	Name string
	// ID identifies the name within the process. It is 0 for the service that stands for the
	// services of introduced endpoints, which are not known.
	ID ServiceID
	// Tag is a hash of the name. Packets carry it, so that an agent whose endpoint belongs to
	// another service need not try most of them; see OwnService.
	Tag uint16
	// Accepting are the endpoints that accept new flows. Candidates has their loads, in
	// the same order.
	Accepting  []*Endpoint
	Candidates []*placement.Candidate
	// Holders may hold open flows: endpoints that accept new flows, drain or have
	// departed.
	Holders []*Endpoint
	// Evacuated is true if the service has no endpoint that accepts new flows, and would have
	// one without the orders to evacuate failure domains.
	Evacuated bool
	// hasDistant is true if some of Holders are distant.
	hasDistant bool
}

// Share is the part of a route's new flows that goes to one service.
type Share struct {
	Service *Service
	Weight  uint32
}

// Route splits the flows of an address among services.
type Route struct {
	Shares []Share
	Weight uint32
	// Class describes the requests on the route's flows; it may be unknown.
	Class Class
	// Former are the services that the route is known to have left. Their endpoints may hold
	// flows that were opened earlier; they get no new flows.
	Former []*Service
	// Assumed are further services that the route may have left, while its history is not
	// known. Services in Shares and Former are ignored, so that routes can have one list in
	// common.
	Assumed []*Service
}

// present iterates over the services to which the route sends new flows.
func (r *Route) present(yield func(*Service) bool) {
	for _, share := range r.Shares {
		if !yield(share.Service) {
			return
		}
	}
}

// isPresent reports whether the route sends new flows to the service.
func (r *Route) isPresent(service *Service) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

// former iterates over the services that the route is known to have left.
func (r *Route) former(yield func(*Service) bool) {
	for _, service := range r.Former {
		if !r.isPresent(service) && !yield(service) {
			return
		}
	}
}

// assumed iterates over the services that the route may have left, but is not known to.
func (r *Route) assumed(yield func(*Service) bool) {
	for _, service := range r.Assumed {
		if !r.isPresent(service) && !slices.Contains(r.Former, service) && !yield(service) {
			return
		}
	}
}

// known iterates over the services to which the route is known to have sent flows.
func (r *Route) known(yield func(*Service) bool) { concatenate(yield, r.present, r.former) }

// holders iterates over all services whose endpoints may hold flows of the route.
func (r *Route) holders(yield func(*Service) bool) { concatenate(yield, r.known, r.assumed) }

// concatenate iterates over first, then over second.
func concatenate(yield func(*Service) bool, first, second iter.Seq[*Service]) {
	for service := range first {
		if !yield(service) {
			return
		}
	}
	second(yield)
}

// Service returns the service of a new flow: the same for all its packets on every
// balancer with the same route. It is nil if no share has a weight.
func (r *Route) Service(key Key) *Service {
	if r.Weight == 0 {
		return nil
	}
	point := uint32(key.hash() % uint64(r.Weight))
	for _, share := range r.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return nil
}

// RoutingTable is the immutable snapshot by which balancers place flows; only the loads
// in it change.
type RoutingTable struct {
	Routes map[Address]*Route
	// Services are those with endpoints or routes.
	Services []*Service
	// Agents maps the address of an agent to its endpoint, for every holder.
	Agents map[Address]*Endpoint
	// Complete is true if the table has every endpoint that may hold open flows, as far as
	// balancers know.
	Complete bool
	// Outlived reports whether agents outlived all balancers that ran before.
	Outlived func() bool
	// SettledAt is the time by which the entries of endpoints that outlived all balancers are
	// registered again, if they have expired.
	SettledAt Timestamp
	// HeldRoutes is what agents have stated about the routes of their flows; nil if nothing.
	HeldRoutes *HeldRoutes
	// RoutesSettledAt is from when every balancer places new flows by a desired state that the
	// route history has.
	RoutesSettledAt Timestamp
	// CurrentAt returns when the table was last known to be the newest.
	CurrentAt func() Timestamp
}

// NewRoutingTable returns an empty table.
func NewRoutingTable() *RoutingTable {
	return &RoutingTable{
		Routes: make(map[Address]*Route), Agents: make(map[Address]*Endpoint),
		CurrentAt: func() Timestamp { return 0 }, Outlived: func() bool { return false },
	}
}

// isComplete reports whether the table has every endpoint that may hold open flows. Once all
// balancers are lost, none knows the endpoints whose entries have expired.
func (t *RoutingTable) isComplete(now Timestamp) bool {
	return t.Complete && (now >= t.SettledAt || !t.Outlived())
}

// hash returns the FNV-1a hash of the key's bytes, with its upper half folded into the
// lower.
func (k Key) hash() uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	add := func(a Address) {
		for _, b := range a.IP {
			h = (h ^ uint64(b)) * prime
		}
		h = (h ^ uint64(a.Port&0xff)) * prime
		h = (h ^ uint64(a.Port>>8)) * prime
	}
	add(k.Caller)
	add(k.Service)
	h ^= h >> 32
	return h
}
