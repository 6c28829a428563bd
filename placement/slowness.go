package placement

import (
	"slices"
	"time"
)

const (
	// slowRatio is the ratio of an endpoint's answer time to the median of its
	// service from which it counts as slow. Below it, the mean of ten requests
	// varies by chance.
	slowRatio = 2.0
	// minAnswerTimes is how many endpoints must have answered recently for a
	// median to be used: with two, either could be the slow one.
	minAnswerTimes = 3
)

// Compare compares the answer times of the endpoints of one service, stores the
// slowness of each, and returns how many are slow. It calls changed for each
// endpoint that has become slow or is no longer slow; ratio is the endpoint's
// answer time divided by the median, or 1 if it is not slow.
func Compare(candidates []*Candidate, changed func(index int, ratio float64)) (slow int) {
	median := medianAnswerTime(candidates)
	for i, c := range candidates {
		ratio := 1.0
		if answerTime := c.Gauge.answerTime.Load(); median > 0 && float64(answerTime) >= slowRatio*float64(median) {
			ratio = float64(answerTime) / float64(median)
			slow++
		}
		if (ratio > 1) != (c.Gauge.Slowness() > 1) {
			changed(i, ratio)
		}
		c.Gauge.slowness.Store(int64(ratio * 1000))
	}
	return slow
}

// medianAnswerTime returns the median of the known answer times, or 0 if fewer than
// minAnswerTimes are known. If more than half of the endpoints are slow, the median
// is slow too and none is found: then few better endpoints are left to prefer.
func medianAnswerTime(candidates []*Candidate) time.Duration {
	known := make([]int64, 0, len(candidates))
	for _, c := range candidates {
		if answerTime := c.Gauge.answerTime.Load(); answerTime > 0 {
			known = append(known, answerTime)
		}
	}
	if len(known) < minAnswerTimes {
		return 0
	}
	slices.Sort(known)
	return time.Duration(known[(len(known)-1)/2])
}
