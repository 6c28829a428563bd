package flow

import "cactustray/placement"

// chooseByClass returns the indexes of the best and the next best endpoint for a new flow, or
// -1 where there is none. If the class of its requests is known, the flow stays in the
// balancer's failure domain while that has room for it.
func (a *Assignments) chooseByClass(now Timestamp, service *Service, key Key, known assignment, class Class) (first, second int) {
	if !class.IsKnown() {
		return a.choose(now, service, key, known)
	}
	excluded := a.excludes(now, service, known)
	domain := placement.ChooseDomain(now, a.random, service.Candidates, excluded, class.Goal)
	if domain == placement.AnyDomain {
		return a.choose(now, service, key, known)
	}
	first, second = a.chooseIn(now, service, key, domain, excluded)
	if first >= 0 && second < 0 {
		// The domain has no other endpoint: the next best of all.
		second = placement.NextBest(now, a.random, service.Candidates, func(i int) bool { return i == first || excluded(i) })
	}
	return first, second
}

// chooseIn chooses among the endpoints of a failure domain: those that the flow prefers if
// one of them is free, else all.
func (a *Assignments) chooseIn(now Timestamp, service *Service, key Key, domain placement.Domain, excluded func(int) bool) (first, second int) {
	outside := func(i int) bool { return !domain.Includes(service.Candidates[i]) || excluded(i) }
	if len(service.Accepting) <= preferenceThreshold {
		return placement.Choose(now, a.random, service.Candidates, outside)
	}
	var buffer [2 * placementChoices]int
	indexes := preferred(service.Accepting, key, placementChoices).appendTo(buffer[:0])
	var candidates [2 * placementChoices]*placement.Candidate
	free := false
	for i, index := range indexes {
		candidates[i] = service.Candidates[index]
		free = free || !outside(index) && candidates[i].HasFreeSlot(now)
	}
	if !free {
		return placement.Choose(now, a.random, service.Candidates, outside)
	}
	first, second = placement.Choose(now, a.random, candidates[:len(indexes)], func(i int) bool { return outside(indexes[i]) })
	return indexOf(indexes, first), indexOf(indexes, second)
}

// indexOf returns the index at a position of a list, or -1 if the position is -1.
func indexOf(indexes []int, position int) int {
	if position < 0 {
		return position
	}
	return indexes[position]
}

// forwardAbove returns the number of requests in progress above which the chosen agent
// forwards the opening packet to the alternate. An alternate in another failure domain gets
// it only if the chosen endpoint cannot start the request soon enough.
func forwardAbove(now Timestamp, chosen, alternate *Endpoint, class Class) int64 {
	running := alternate.AgentLoad.Running()
	if class.IsKnown() && alternate.Remote && !chosen.Remote {
		return max(running, chosen.RunningWithinGoal(now, class.Goal))
	}
	return running
}
