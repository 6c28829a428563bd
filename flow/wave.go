package flow

import "slices"

// wave is a part of the agents that a search asks at once. Most flows are found by the
// first, since few endpoints of a service are preferred by a flow.
type wave uint8

// Waves, in their order, after 0: nobody was asked. The first are the most preferred
// agents of the balancer's own failure domain, where flows are placed first.
const (
	// preferredWave are all that the flow prefers.
	preferredWave wave = 2
	// everyWave are all that may hold it.
	everyWave wave = 3
)

// ask asks the next wave that has anyone, or all again after the last.
func (p *Picks) ask(now Stamp, key Key, s *search, route *Route) Decision {
	for s.wave < everyWave {
		next := s.wave + 1
		to := s.askedBy(next, key, route)
		if len(to) == 0 {
			s.wave = next
			continue
		}
		d := p.send(now, s, route, to)
		if d.Reason == Searched {
			s.wave = next
		}
		return d
	}
	return p.send(now, s, route, s.asked(route))
}

// askedBy returns the agents of a wave that have not denied the flow.
func (s *search) askedBy(w wave, key Key, route *Route) []Address {
	if w == everyWave {
		return s.asked(route)
	}
	var asked []Address
	for _, share := range route.Shares {
		sites := share.Service.Holders
		if len(sites) <= preferAll {
			return nil // asked as a whole
		}
		var room [2 * searchAmong]int
		for _, i := range wavePreferences(w, sites, key).appendTo(room[:0]) {
			if !s.denied[sites[i].Agent] {
				asked = append(asked, sites[i].Agent)
			}
		}
	}
	return asked
}

func wavePreferences(w wave, sites []*Site, key Key) preferences {
	if w == preferredWave {
		return preferred(sites, key, searchAmong)
	}
	near := preferred(sites, key, placeAmong)
	near.remotes = 0
	return near
}

// awaits tells whether an agent of the wave that was asked may still answer.
func (s *search) awaits(now Stamp, key Key, route *Route, m *Map) bool {
	return slices.ContainsFunc(s.askedBy(s.wave, key, route), func(agent Address) bool {
		return m.Agents[agent].Gauge.Alive(now)
	})
}
