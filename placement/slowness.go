package placement

import (
	"slices"
	"time"
)

const (
	// slowRatio is the ratio of an endpoint's processing time to the median of its
	// service from which it counts as slow. Below it, the mean of ten requests
	// varies by chance.
	slowRatio = 2.0
	// minProcessingTimes is how many endpoints must have answered recently for a
	// median to be used: with two, either could be the slow one.
	minProcessingTimes = 3
)

// UpdateSlowness compares the processing times of the endpoints of one service,
// stores the slowness of each, and returns how many are slow. It calls changed for
// each endpoint that has become slow or is no longer slow; ratio is the endpoint's
// processing time divided by the median, or 1 if it is not slow.
func UpdateSlowness(candidates []*Candidate, changed func(index int, ratio float64)) (slow int) {
	median := medianProcessingTime(candidates)
	for i, c := range candidates {
		ratio := 1.0
		if processingTime := c.AgentLoad.processingTime.Load(); median > 0 && float64(processingTime) >= slowRatio*float64(median) {
			ratio = float64(processingTime) / float64(median)
			slow++
		}
		if (ratio > 1) != (c.AgentLoad.Slowness() > 1) {
			changed(i, ratio)
		}
		c.AgentLoad.slowness.Store(int64(ratio * 1000))
	}
	return slow
}

// medianProcessingTime returns the median of the known processing times, or 0 if
// fewer than minProcessingTimes are known. If more than half of the endpoints are
// slow, the median is slow too and none is found: then few better endpoints are
// left to prefer.
func medianProcessingTime(candidates []*Candidate) time.Duration {
	known := make([]int64, 0, len(candidates))
	for _, c := range candidates {
		if processingTime := c.AgentLoad.processingTime.Load(); processingTime > 0 {
			known = append(known, processingTime)
		}
	}
	if len(known) < minProcessingTimes {
		return 0
	}
	slices.Sort(known)
	return time.Duration(known[(len(known)-1)/2])
}
