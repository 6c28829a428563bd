package flow

import (
	"slices"

	"cactustray/placement"
)

// weightOf returns the weight of a service in the route.
func (r *Route) weightOf(service *Service) (weight uint32) {
	for _, share := range r.Shares {
		if share.Service == service {
			weight += share.Weight
		}
	}
	return weight
}

// mayPlace reports whether the route allows a flow to be placed at the service.
func (r *Route) mayPlace(key Key, service *Service) bool {
	return service == r.Service(key) || r.Class.IsKnown() && r.weightOf(service) > 0
}

// hasFreeSlot reports whether an endpoint of the service has a free slot.
func (s *Service) hasFreeSlot(now Timestamp) bool {
	return slices.ContainsFunc(s.Candidates, func(c *placement.Candidate) bool { return c.HasFreeSlot(now) })
}

// serviceFor returns the service at which a new flow is placed: that of the route's split,
// unless no endpoint of it has a free slot and one of another service with a weight has. A flow
// that was placed before stays with its service, unless all endpoints of that are in evacuated failure
// domains. Routes of an unknown class are split by
// weight alone.
func (a *Assignments) serviceFor(now Timestamp, route *Route, key Key, known assignment) *Service {
	service := route.Service(key)
	if service == nil || !route.Class.IsKnown() || len(route.Shares) < 2 {
		return service
	}
	hasRoom := func(s *Service) bool { return s.hasFreeSlot(now) && !a.evacuated.hasAll(now, s) }
	if known.triedCount > 0 && known.service != 0 {
		placed := slices.IndexFunc(route.Shares, func(s Share) bool { return s.Weight > 0 && s.Service.ID == known.service })
		if placed >= 0 && !a.evacuated.hasAll(now, route.Shares[placed].Service) {
			return route.Shares[placed].Service
		}
		if placed < 0 {
			return service
		}
	}
	if hasRoom(service) {
		return service
	}
	for _, share := range route.Shares {
		if share.Weight > 0 && share.Service != service && hasRoom(share.Service) {
			return share.Service
		}
	}
	return service
}
