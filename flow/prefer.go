package flow

import (
	"cactustray/placement"
)

const (
	// preferAll is the size up to which a service has no preferred endpoints: a search
	// among them costs little.
	preferAll = 12
	// placeAmong is how many endpoints of a flow's own failure domain, and as many of
	// others, it is placed among: the least loaded of a few is nearly as good as the
	// least loaded of all.
	placeAmong = 4
	// searchAmong is how many a search asks first: more than placeAmong, since an
	// endpoint that came meanwhile may have moved the flow's down in the order.
	searchAmong = 6
)

// ranked is a site in the order that a flow prefers.
type ranked struct {
	index int
	score uint64
}

// preferences are the sites that a flow prefers, at most each of its own failure domain
// and each of others. Every balancer of a failure domain finds the same ones without
// having been told, so that a flow can be found by asking few.
type preferences struct {
	local, remote [searchAmong]ranked
	locals        int
	remotes       int
}

// preferred returns the preferences of a flow by rendezvous hashing, so that a change of
// the endpoints moves only the share that it must.
func preferred(sites []*Site, key Key, each int) (p preferences) {
	flow := key.hash()
	for i, site := range sites {
		r := ranked{index: i, score: mix(flow ^ site.hash)}
		if site.Remote {
			p.remotes = insert(p.remote[:each], p.remotes, r)
		} else {
			p.locals = insert(p.local[:each], p.locals, r)
		}
	}
	return p
}

// insert puts r into a list of count elements in order of their scores, the highest
// first, and returns the new count; the lowest falls out of a full list.
func insert(list []ranked, count int, r ranked) int {
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

// appendTo appends the indexes of the sites.
func (p preferences) appendTo(indexes []int) []int {
	for _, r := range p.local[:p.locals] {
		indexes = append(indexes, r.index)
	}
	for _, r := range p.remote[:p.remotes] {
		indexes = append(indexes, r.index)
	}
	return indexes
}

// mix spreads the bits of a hash; the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// choose returns the indexes of the best taker for a new flow and of the next best, or
// -1: among those that the flow prefers if one of them is free, else among all.
func (p *Picks) choose(now Stamp, service *Service, key Key, known pick) (first, second int) {
	excluded := func(i int) bool { return known.triedBefore(service.Takers[i].Agent) }
	if len(service.Takers) <= preferAll {
		return placement.Choose(now, p.random, service.Candidates, excluded)
	}
	preferences := preferred(service.Takers, key, placeAmong)
	var room [2 * placeAmong]int
	near := preferences.appendTo(room[:0])
	var candidates [2 * placeAmong]*placement.Candidate
	free := false
	for i, index := range near {
		candidates[i] = service.Candidates[index]
		free = free || !excluded(index) && candidates[i].Free(now)
	}
	if !free {
		return placement.Choose(now, p.random, service.Candidates, excluded)
	}
	first, second = placement.Choose(now, p.random, candidates[:len(near)], func(i int) bool { return excluded(near[i]) })
	if first >= 0 {
		first = near[first]
	}
	if second >= 0 {
		second = near[second]
	}
	return first, second
}
