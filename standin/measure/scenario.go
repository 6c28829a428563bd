package measure

import "time"

const (
	// steadyLoad is the offered load of the steady scenarios, as a share of all slots.
	steadyLoad = 0.7
	// peakFactor is the factor by which the load grows within a second.
	peakFactor   = 10
	beforePeak   = 10 * time.Second
	peakDuration = 10 * time.Second
	offPeakLoad  = 0.3
	// peakDeadline is the callers' timeout in the scenario with a peak load.
	peakDeadline = time.Second
	warmUp       = 5 * time.Second
	// settleTime is the time after the last arrival in which jobs can end.
	settleTime = 15 * time.Second
)

// Scenario is one pattern of load.
type Scenario struct {
	Name string
	// Length is the time in which jobs arrive.
	Length     time.Duration
	Stragglers bool
	Deadline   time.Duration
	// Load returns the offered load, as a share of all slots, at a time since the start.
	Load func(time.Duration) float64
}

// Steady returns a scenario of constant 70% load, optionally with stragglers.
func Steady(name string, stragglers bool, length time.Duration) Scenario {
	return Scenario{
		Name: name, Length: length, Stragglers: stragglers, Deadline: 10 * time.Second,
		Load: func(time.Duration) float64 { return steadyLoad },
	}
}

// PeakLoad returns a scenario whose load grows by a factor of peakFactor within a second,
// stays there and drops back.
func PeakLoad() Scenario {
	return Scenario{
		Name: "crest", Length: beforePeak + peakDuration + beforePeak, Deadline: peakDeadline,
		Load: func(since time.Duration) float64 {
			if since < beforePeak || since > beforePeak+peakDuration {
				return offPeakLoad
			}
			rise := min(1, (since - beforePeak).Seconds())
			return offPeakLoad * (1 + (peakFactor-1)*rise)
		},
	}
}

// system is a simulated system that jobs are submitted to.
type system interface {
	submit(j *job)
	after(d time.Duration, run func())
	runUntil(end time.Time)
	result() Result
}

// Run runs one scenario with every policy, a shared queue and the ideal bound.
func Run(s Scenario, d Deployment, policies []Policy, seed uint64) []Result {
	start := time.Unix(0, 0)
	measureFrom := start.Add(warmUp)
	var results []Result
	for _, p := range policies {
		results = append(results, runScenario(s, d, newCluster(p, d, seed, start, measureFrom), seed))
	}
	shared := newIdeal("shared queue", false, d, start, measureFrom)
	bound := newIdeal("ideal bound", true, d, start, measureFrom)
	return append(results, runScenario(s, d, shared, seed), runScenario(s, d, bound, seed))
}

// runScenario submits the jobs of a scenario to a system and returns its result.
func runScenario(s Scenario, d Deployment, to system, seed uint64) Result {
	w := newWorkload(d, seed)
	w.stragglers, w.deadline, w.load = s.Stragglers, s.Deadline, s.Load
	start := time.Unix(0, 0)
	var id uint64
	var next func(since time.Duration)
	next = func(since time.Duration) {
		if since > s.Length {
			return
		}
		id++
		to.submit(w.next(id, start.Add(since)))
		gap := w.gap(since)
		to.after(gap, func() { next(since + gap) })
	}
	to.after(0, func() { next(0) })
	to.runUntil(start.Add(s.Length + settleTime))
	return to.result()
}
