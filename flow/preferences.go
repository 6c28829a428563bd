package flow

import (
	"cactustray/placement"
)

const (
	// preferenceThreshold is the largest number of endpoints at which a service has no
	// preferred ones: searching all of them costs little.
	preferenceThreshold = 12
	// placementChoices is how many preferred endpoints of the balancer's failure
	// domain, and as many of others, a flow is placed among: the least loaded of a few
	// is nearly as good as the least loaded of all.
	placementChoices = 4
	// searchChoices is the corresponding number for a search before it queries all
	// agents. It is larger than placementChoices, since an endpoint added after the
	// placement may have moved the flow's endpoint down in the order.
	searchChoices = 6
)

// ranked is an endpoint, by its index, with its score for a flow.
type ranked struct {
	index int
	score uint64
}

// preferences are the endpoints that a flow prefers, in descending order of their scores,
// separately for the balancer's own failure domain and for others. Every balancer of a
// failure domain computes the same ones without communication, so that querying a few
// agents finds the flow.
type preferences struct {
	local, remote [searchChoices]ranked
	locals        int
	remotes       int
}

// preferred returns the preferences of a flow, at most limit endpoints of the balancer's
// own failure domain and limit of others. It uses rendezvous hashing, so that a change
// of the endpoints moves only the flows that it must.
func preferred(endpoints []*Endpoint, key Key, limit int) (p preferences) {
	flow := key.hash()
	for i, endpoint := range endpoints {
		if endpoint.Distant {
			continue // flows are not placed there, and a search queries it later
		}
		r := ranked{index: i, score: mix(flow ^ endpoint.hash)}
		if endpoint.Remote {
			p.remotes = insertRanked(p.remote[:limit], p.remotes, r)
		} else {
			p.locals = insertRanked(p.local[:limit], p.locals, r)
		}
	}
	return p
}

// insertRanked inserts r into a list of count elements in descending order of their
// scores, and returns the new count. A full list drops its lowest element.
func insertRanked(list []ranked, count int, r ranked) int {
	if count == len(list) {
		if r.score <= list[count-1].score {
			return count
		}
		count--
	}
	at := count
	for at > 0 && list[at-1].score < r.score {
		list[at] = list[at-1]
		at--
	}
	list[at] = r
	return count + 1
}

// appendTo appends the indexes of the preferred endpoints, those of the balancer's own
// failure domain first.
func (p preferences) appendTo(indexes []int) []int {
	for _, r := range p.local[:p.locals] {
		indexes = append(indexes, r.index)
	}
	for _, r := range p.remote[:p.remotes] {
		indexes = append(indexes, r.index)
	}
	return indexes
}

// mix spreads the bits of a hash with the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// excludes returns a function that reports whether a new flow does not go to the endpoint with
// an index: it was offered to it, or its agent gave opening packets back for an evacuation.
func (a *Assignments) excludes(now Timestamp, service *Service, known assignment) func(i int) bool {
	return func(i int) bool {
		endpoint := service.Accepting[i]
		return known.wasTried(endpoint.Agent) || a.evacuated.has(now, endpoint)
	}
}

// choose returns the indexes of the best and the next best endpoint for a new flow, or
// -1 where there is none: among the endpoints that the flow prefers if one of them is
// free, else among all.
func (a *Assignments) choose(now Timestamp, service *Service, key Key, known assignment) (first, second int) {
	excluded := a.excludes(now, service, known)
	if len(service.Accepting) <= preferenceThreshold {
		return placement.Choose(now, a.random, service.Candidates, excluded)
	}
	preferences := preferred(service.Accepting, key, placementChoices)
	var buffer [2 * placementChoices]int
	indexes := preferences.appendTo(buffer[:0])
	var candidates [2 * placementChoices]*placement.Candidate
	free := false
	for i, index := range indexes {
		candidates[i] = service.Candidates[index]
		free = free || !excluded(index) && candidates[i].HasFreeSlot(now)
	}
	if !free {
		return placement.Choose(now, a.random, service.Candidates, excluded)
	}
	first, second = placement.Choose(now, a.random, candidates[:len(indexes)], func(i int) bool { return excluded(indexes[i]) })
	if first >= 0 {
		first = indexes[first]
	}
	if second >= 0 {
		second = indexes[second]
	}
	return first, second
}
