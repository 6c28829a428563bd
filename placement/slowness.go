package placement

import (
	"slices"
	"time"
)

const (
	// slowRatio is how many times the usual answer time of its service an endpoint
	// needs to count as slow: below it the mean of ten requests varies by chance.
	slowRatio = 2.0
	// minCompared is how many endpoints must have answered lately for a usual
	// answer time: with two, either could be the slow one.
	minCompared = 3
)

// Compare finds the endpoints of one service that answer slowly beside the others,
// returns how many they are, and calls changed for each that begins or ends to. ratio
// is its answer time over the usual one, or 1.
func Compare(candidates []*Candidate, changed func(index int, ratio float64)) (slow int) {
	usual := usualAnswer(candidates)
	for i, c := range candidates {
		ratio := 1.0
		if answer := c.Gauge.answer.Load(); usual > 0 && float64(answer) >= slowRatio*float64(usual) {
			ratio = float64(answer) / float64(usual)
			slow++
		}
		if (ratio > 1) != (c.Gauge.Slowness() > 1) {
			changed(i, ratio)
		}
		c.Gauge.slowness.Store(int64(ratio * 1000))
	}
	return slow
}

// usualAnswer returns the median of the answer times, or 0 where too few are known.
// Half of the endpoints that are slow are not noticed: there is nothing better then.
func usualAnswer(candidates []*Candidate) time.Duration {
	known := make([]int64, 0, len(candidates))
	for _, c := range candidates {
		if answer := c.Gauge.answer.Load(); answer > 0 {
			known = append(known, answer)
		}
	}
	if len(known) < minCompared {
		return 0
	}
	slices.Sort(known)
	return time.Duration(known[(len(known)-1)/2])
}
