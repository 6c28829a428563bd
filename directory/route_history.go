package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// maxFormerServices bounds the former services of all routes, at some 100 bytes each.
const maxFormerServices = 4096

// FormerService is a service to which a route no longer sends new flows. Flows that
// were opened earlier may still be open at its endpoints.
type FormerService struct {
	Address netip.AddrPort
	Service string
	// Age is how long ago the route last sent new flows to the service.
	Age time.Duration
}

// routeService identifies a service of a route, by the route's address.
type routeService struct {
	address netip.AddrPort
	service string
}

// routeHistory records to which services routes sent flows earlier.
//
// Invariant: every service to which a present route sent new flows at or after since,
// and no longer does, has an entry, unless its flows have expired.
type routeHistory struct {
	// since is from when the history is known, and from the version of the desired state
	// that was in force then.
	since time.Duration
	from  int64
	// former has the time at which each route last sent flows to the service.
	former map[routeService]time.Duration
}

// systemStart is the value of since if the history is known from the system's first start.
const systemStart time.Duration = -1 << 62

func newRouteHistory() routeHistory {
	return routeHistory{former: make(map[routeService]time.Duration)}
}

// begin starts the history anew with the desired state of the given version.
func (h *routeHistory) begin(now time.Duration, from int64) { h.since, h.from = now, from }

// merge adds the history of another balancer, which knows every desired state in force
// during the given span, the last of which is its desired state. It reports whether
// former services were added. present is the desired state in force here.
func (h *routeHistory) merge(now, span time.Duration, last *Desired, former []FormerService, present *Desired) bool {
	before := len(h.former)
	if last.Compare(present) < 0 {
		h.replaced(now, last, present)
	}
	for _, f := range former {
		h.add(routeService{f.Address, f.Service}, now-f.Age)
	}
	h.restrictTo(servicesOf(present))
	// A balancer whose desired state is older may lack states that were in force since.
	if last.Version >= h.from && now-span < h.since {
		h.since, h.from = now-span, present.Version
	}
	return len(h.former) != before
}

// replaced records that a desired state was in force until the given time. present is
// the desired state in force now.
func (h *routeHistory) replaced(at time.Duration, old, present *Desired) {
	inForce := servicesOf(present)
	for address, services := range servicesOf(old) {
		current, exists := inForce[address]
		if !exists {
			continue // flows of a removed route end
		}
		for service := range services {
			if !current[service] {
				h.add(routeService{address, service}, at)
			}
		}
	}
	h.restrictTo(inForce)
}

// restrictTo removes the entries of routes that no longer exist and of services that
// are in use again.
func (h *routeHistory) restrictTo(inForce map[netip.AddrPort]map[string]bool) {
	for key := range h.former {
		if services, exists := inForce[key.address]; !exists || services[key.service] {
			delete(h.former, key)
		}
	}
}

// add records the time at which a route last sent flows to a service. If there are too
// many entries, the oldest is dropped and the history is known only from then on.
func (h *routeHistory) add(key routeService, at time.Duration) {
	if before, exists := h.former[key]; exists {
		h.former[key] = max(before, at)
		return
	}
	if len(h.former) >= maxFormerServices {
		h.dropOldest()
	}
	h.former[key] = at
}

func (h *routeHistory) dropOldest() {
	oldest, first := routeService{}, true
	for key, at := range h.former {
		if first || at < h.former[oldest] {
			oldest, first = key, false
		}
	}
	h.since = max(h.since, h.former[oldest]+1)
	delete(h.former, oldest)
}

// expire removes the services whose flows are all older than lifetime. The history is known
// only from then on: the lifetime may become longer. version is that of the desired state in
// force.
func (h *routeHistory) expire(now, lifetime time.Duration, version int64) {
	for key, at := range h.former {
		if now-at > lifetime {
			delete(h.former, key)
			if at >= h.since {
				h.begin(at+1, version)
			}
		}
	}
}

// snapshot returns the former services of all routes, in a fixed order.
func (h *routeHistory) snapshot(now time.Duration) []FormerService {
	var all []FormerService
	for key, at := range h.former {
		all = append(all, FormerService{Address: key.address, Service: key.service, Age: now - at})
	}
	slices.SortFunc(all, func(a, b FormerService) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Service, b.Service))
	})
	return all
}

// servicesOf returns the services to which each route sends new flows, by the route's
// address.
func servicesOf(d *Desired) map[netip.AddrPort]map[string]bool {
	services := make(map[netip.AddrPort]map[string]bool, len(d.Routes))
	for _, route := range d.Routes {
		if services[route.Address] == nil {
			services[route.Address] = make(map[string]bool, len(route.Shares))
		}
		for _, share := range route.Shares {
			if share.Weight > 0 {
				services[route.Address][share.Service] = true
			}
		}
	}
	return services
}
