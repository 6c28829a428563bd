package measure

import "time"

const (
	// steadyLoad is the offered load of the steady scenario.
	steadyLoad = 0.7
	// crestFactor is how many times the demand grows within a second.
	crestFactor = 10
	beforeCrest = 10 * time.Second
	crestTime   = 10 * time.Second
	crestLoad   = 0.3
	// crestDeadline is how long callers wait at the crest.
	crestDeadline = time.Second
	warmUp        = 5 * time.Second
	// settleTime lets the last jobs end.
	settleTime = 15 * time.Second
)

// Scenario is one kind of demand.
type Scenario struct {
	Name string
	// Length is how long jobs arrive.
	Length     time.Duration
	Stragglers bool
	Deadline   time.Duration
	Load       func(time.Duration) float64
}

// Steady is 70% load, with stragglers when they are wanted.
func Steady(name string, stragglers bool, length time.Duration) Scenario {
	return Scenario{
		Name: name, Length: length, Stragglers: stragglers, Deadline: 10 * time.Second,
		Load: func(time.Duration) float64 { return steadyLoad },
	}
}

// Crest is a demand step of crestFactor within a second, then back.
func Crest() Scenario {
	return Scenario{
		Name: "crest", Length: beforeCrest + crestTime + beforeCrest, Deadline: crestDeadline,
		Load: func(since time.Duration) float64 {
			if since < beforeCrest || since > beforeCrest+crestTime {
				return crestLoad
			}
			rise := min(1, (since - beforeCrest).Seconds())
			return crestLoad * (1 + (crestFactor-1)*rise)
		},
	}
}

// system takes jobs in virtual time.
type system interface {
	offer(j *job)
	after(d time.Duration, run func())
	runUntil(end time.Time)
	result() Result
}

// Run runs one scenario under every policy and the ideal bound.
func Run(s Scenario, d Deployment, policies []Policy, seed uint64) []Result {
	start := time.Unix(0, 0)
	from := start.Add(warmUp)
	var results []Result
	for _, p := range policies {
		results = append(results, drive(s, d, newCluster(p, d, seed, start, from), seed))
	}
	shared := newIdeal("shared queue", false, d, start, from)
	bound := newIdeal("ideal bound", true, d, start, from)
	return append(results, drive(s, d, shared, seed), drive(s, d, bound, seed))
}

func drive(s Scenario, d Deployment, to system, seed uint64) Result {
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
		to.offer(w.next(id, start.Add(since)))
		gap := w.gap(since)
		to.after(gap, func() { next(since + gap) })
	}
	to.after(0, func() { next(0) })
	to.runUntil(start.Add(s.Length + settleTime))
	return to.result()
}
