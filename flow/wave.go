package flow

import "slices"

// wave is a group of agents that a search queries at once. Most flows are found by the
// first wave, since a flow prefers few endpoints of a service.
type wave uint8

// Waves, in the order in which they are queried. 0 means that no agent has been
// queried. Wave 1 is the most preferred agents of the balancer's own failure domain,
// where flows are placed first.
const (
	// preferredWave is all agents that the flow prefers.
	preferredWave wave = 2
	// allWave is all agents of the services to which the route sends new flows, but for the
	// distant ones.
	allWave wave = 3
	// distantWave is those of them that do not report to this balancer, by its choice.
	distantWave wave = 4
	// formerWave is the agents of the services that the route is known to have left.
	formerWave wave = 5
	// assumedWave is the agents of the services that it may have left.
	assumedWave wave = 6
)

// lastWave returns the wave after which every agent that may hold a flow of the route has
// been queried.
func (r *Route) lastWave() wave {
	switch {
	case len(r.Assumed) > 0:
		return assumedWave
	case len(r.Former) > 0:
		return formerWave
	case r.hasDistant():
		return distantWave
	}
	return allWave
}

// queryNextWave queries the next wave that has agents left or, after the last wave, all
// remaining agents again.
func (a *Assignments) queryNextWave(now Timestamp, key Key, s *search, route *Route, routing *RoutingTable) Decision {
	if s.wave == 0 && a.bulk.flowsAreLost() {
		s.wave = route.lastWave()
	}
	for s.wave < route.lastWave() {
		next := s.wave + 1
		d := a.sendSearch(now, key, s, route, routing, s.remainingIn(next, key, route))
		if d.Reason == SearchWaits {
			return d
		}
		s.wave = next
		if d.searches() {
			return d
		}
	}
	return a.sendSearch(now, key, s, route, routing, s.remaining(route.holders))
}

// remainingIn returns the agents of a wave that have not denied the flow.
func (s *search) remainingIn(w wave, key Key, route *Route) []Address {
	switch w {
	case allWave:
		return s.remainingPresent(route, false)
	case distantWave:
		return s.remainingPresent(route, true)
	case formerWave:
		return s.remaining(route.former)
	case assumedWave:
		return s.remaining(route.assumed)
	}
	var remaining []Address
	for _, share := range route.Shares {
		endpoints := share.Service.Holders
		if len(endpoints) <= preferenceThreshold {
			return nil // too few for waves; allWave queries them
		}
		var buffer [2 * searchChoices]int
		for _, i := range wavePreferences(w, endpoints, key).appendTo(buffer[:0]) {
			if !s.denied[endpoints[i].Agent] {
				remaining = append(remaining, endpoints[i].Agent)
			}
		}
	}
	return remaining
}

func wavePreferences(w wave, endpoints []*Endpoint, key Key) preferences {
	if w == preferredWave {
		return preferred(endpoints, key, searchChoices)
	}
	p := preferred(endpoints, key, placementChoices)
	p.remotes = 0
	return p
}

// mayAnswer reports whether a responsive agent of the last wave queried has yet to
// answer.
func (s *search) mayAnswer(now Timestamp, key Key, route *Route, routing *RoutingTable) bool {
	return slices.ContainsFunc(s.remainingIn(s.wave, key, route), func(agent Address) bool {
		return routing.Agents[agent].mayAnswer(now, s)
	})
}
