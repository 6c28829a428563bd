package flow

import "slices"

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

// slots returns the slots of the service's healthy endpoints, as counted by HasFreeSlot, that
// are free, and the slots of all.
func (s *Service) slots(now Timestamp) (free, all int64) {
	for _, c := range s.Candidates {
		all += int64(c.Slots)
		if c.HasFreeSlot(now) {
			free += int64(c.Slots) - c.AgentLoad.Running()
		}
	}
	return free, all
}

// serviceFor returns the service at which a new flow is placed: that of the route's split,
// unless it has no free slot and another one with a weight has. Then flows go there with a
// probability of its free slots to the slots of the first, so that balancers with the same
// reports do not fill it many times over. A flow that was placed before stays with its service.
// Routes of an unknown class are split by weight alone.
func (a *Assignments) serviceFor(now Timestamp, route *Route, key Key, known assignment) *Service {
	service := route.Service(key)
	if service == nil || !route.Class.IsKnown() || len(route.Shares) < 2 {
		return service
	}
	if known.triedCount > 0 && known.tag != 0 {
		placed := slices.IndexFunc(route.Shares, func(s Share) bool { return s.Weight > 0 && s.Service.Tag == known.tag })
		if placed >= 0 {
			return route.Shares[placed].Service
		}
		return service
	}
	free, all := service.slots(now)
	if free > 0 {
		return service
	}
	for _, share := range route.Shares {
		if share.Weight == 0 || share.Service == service {
			continue
		}
		if free, _ := share.Service.slots(now); free > 0 && a.random.Float64()*float64(all) < float64(free) {
			return share.Service
		}
	}
	return service
}
