package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func answering(processingTimes ...time.Duration) []*Candidate {
	var candidates []*Candidate
	for _, processingTime := range processingTimes {
		candidates = append(candidates, candidate(reported(Usage{ProcessingTime: processingTime})))
	}
	return candidates
}

func TestUpdateSlowness(t *testing.T) {
	const usual = 10 * time.Millisecond
	for name, c := range map[string]struct {
		processingTimes []time.Duration
		slow            []int
	}{
		"equal":               {processingTimes: []time.Duration{usual, usual, usual}},
		"within variation":    {processingTimes: []time.Duration{usual, usual * 19 / 10, usual}},
		"one slow":            {processingTimes: []time.Duration{usual, 5 * usual, usual}, slow: []int{1}},
		"two of five slow":    {processingTimes: []time.Duration{usual, 5 * usual, usual, 3 * usual, usual}, slow: []int{1, 3}},
		"most slow":           {processingTimes: []time.Duration{usual, 5 * usual, 5 * usual, 5 * usual}},
		"too few to compare":  {processingTimes: []time.Duration{usual, 5 * usual, 0, 0}},
		"unknown is not slow": {processingTimes: []time.Duration{usual, usual, 0, usual}},
		"no endpoint":         {},
	} {
		t.Run(name, func(t *testing.T) {
			candidates := answering(c.processingTimes...)
			var changed []int
			UpdateSlowness(candidates, func(i int, _ float64) { changed = append(changed, i) })
			must.Eq(t, c.slow, changed)
			UpdateSlowness(candidates, func(i int, _ float64) { t.Fatalf("endpoint %d changed again", i) })
		})
	}
}

// An endpoint that has recovered, or has not answered recently, does not count as
// slow any more.
func TestSlowEndpointRecovers(t *testing.T) {
	candidates := answering(10, 10, 100)
	UpdateSlowness(candidates, func(int, float64) {})
	must.EqOp(t, 10, candidates[2].AgentLoad.Slowness())
	candidates[2].AgentLoad.Report(balanceNow, Usage{})
	var ratios []float64
	UpdateSlowness(candidates, func(_ int, ratio float64) { ratios = append(ratios, ratio) })
	must.Eq(t, []float64{1}, ratios)
}

func TestChooseAvoidsSlowEndpoint(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		candidates := answering(10, 50, 10)
		candidates[0].AgentLoad.Report(balanceNow, Usage{Running: 2, Mean: 2, ProcessingTime: 10})
		candidates[2].AgentLoad.Report(balanceNow, Usage{Running: 2, Mean: 2, ProcessingTime: 10})
		UpdateSlowness(candidates, func(int, float64) {})
		first, _ := Choose(balanceNow, random, candidates, nil)
		must.NotEqOp(t, 1, first)
	}
}

// Scenario of the policies for slow endpoints: an orders service at a third of its
// capacity, in which one of seven endpoints is five times as slow as the others.
const (
	slowEndpoints = 7
	slowFactor    = 5
	slowArrivals  = 120.0 // a second
	slowWork      = 13 * time.Millisecond
	slowLength    = 120 * time.Second
	slowTarget    = 100 * time.Millisecond
	// slowReportDelay is the network delay of a report.
	slowReportDelay = time.Millisecond
)

// slowServer runs requests in order of arrival, one per slot at a time.
type slowServer struct {
	factor float64
	// free is when each slot becomes free.
	free [2]time.Duration
	// ends are the end times of the requests that are running or queued.
	ends []time.Duration
	// mean is the moving average of the run times, in nanoseconds.
	mean float64
	// last is when the request served last ends.
	last time.Duration
}

func (s *slowServer) serve(now time.Duration, work float64) (took time.Duration) {
	slot := 0
	if s.free[1] < s.free[0] {
		slot = 1
	}
	begin := max(now, s.free[slot])
	worked := time.Duration(work * s.factor)
	s.free[slot] = begin + worked
	s.ends = append(s.ends, s.free[slot])
	if s.mean == 0 {
		s.mean = float64(worked)
	}
	s.mean += (float64(worked) - s.mean) / 10
	s.last = s.free[slot]
	return s.free[slot] - now
}

func (s *slowServer) running(now time.Duration) int {
	s.ends = slices.DeleteFunc(s.ends, func(end time.Duration) bool { return end <= now })
	return len(s.ends)
}

// simulateSlow returns the share of requests that took longer than the target, and
// the share that the slow endpoint got. modify changes the reports that the balancer
// receives.
func simulateSlow(modify func(*Usage)) (late, atSlow float64) {
	random := rand.New(rand.NewPCG(1, 2))
	servers := make([]*slowServer, slowEndpoints)
	var candidates []*Candidate
	for i := range servers {
		servers[i] = &slowServer{factor: 1}
		candidates = append(candidates, candidate(nil))
	}
	servers[0].factor = slowFactor
	requests, lateOnes, slowOnes := 0, 0, 0
	next := time.Duration(0)
	for at := ReportInterval; at < slowLength; at += ReportInterval {
		for i, s := range servers {
			u := Usage{Running: s.running(at), Mean: float64(s.running(at))}
			if at-s.last < 3*time.Second {
				u.ProcessingTime = time.Duration(s.mean)
			}
			modify(&u)
			candidates[i].AgentLoad.Report(at, u)
		}
		UpdateSlowness(candidates, func(int, float64) {})
		for ; next < at+ReportInterval; next += time.Duration(random.ExpFloat64() / slowArrivals * float64(time.Second)) {
			chosen, _ := Choose(max(next, at+slowReportDelay), random, candidates, nil)
			took := servers[chosen].serve(next, random.ExpFloat64()*float64(slowWork))
			requests++
			if took > slowTarget {
				lateOnes++
			}
			if chosen == 0 {
				slowOnes++
			}
		}
	}
	return float64(lateOnes) / float64(requests), float64(slowOnes) / float64(requests)
}

// slowPolicies are the compared policies; modify changes the reports that the
// balancer receives.
var slowPolicies = []struct {
	name   string
	modify func(*Usage)
}{
	{"load alone", func(u *Usage) { u.ProcessingTime = 0 }},
	{"load and processing time", func(*Usage) {}},
	{"slow endpoints as silent", func(u *Usage) {
		u.Silent = u.ProcessingTime > slowRatio*slowWork
		u.ProcessingTime = 0
	}},
}

func TestSlowEndpointGetsLess(t *testing.T) {
	before, _ := simulateSlow(slowPolicies[0].modify)
	late, atSlow := simulateSlow(slowPolicies[1].modify)
	must.Less(t, before/2, late)
	must.Between(t, 0.0001, atSlow, 0.5/slowEndpoints)
}

// BenchmarkSlowEndpoint compares the policies for slow endpoints.
func BenchmarkSlowEndpoint(b *testing.B) {
	for _, policy := range slowPolicies {
		b.Run(policy.name, func(b *testing.B) {
			for range b.N {
				late, atSlow := simulateSlow(policy.modify)
				b.ReportMetric(100*late, "late-%")
				b.ReportMetric(100*atSlow, "at-slow-%")
			}
		})
	}
}
