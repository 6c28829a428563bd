package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// oneWayDelay is the delay of a message between two processes.
	oneWayDelay = time.Millisecond
	// shortWork is the mean service time of short jobs.
	shortWork = 20 * time.Millisecond
	// stragglerFactor is how many times longer than a short job a straggler runs.
	stragglerFactor = 50
	// stragglerFraction is the fraction of jobs that are stragglers.
	stragglerFraction = 0.02
	// queueTimeout bounds the time in the queue, as in the users' tickets.
	queueTimeout = 2 * time.Second
)

// Deployment is a service at its present size.
type Deployment struct {
	Name      string
	Endpoints int
	Slots     int
	// Connections is the number of callers per endpoint.
	Connections int
}

// Deployments returns the services of both users.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "orders", Endpoints: 7, Slots: 2, Connections: 2000},
		{Name: "drawings", Endpoints: 4, Slots: 2, Connections: 2000},
		{Name: "booking", Endpoints: 7, Slots: 4, Connections: 2000},
		{Name: "charts", Endpoints: 4, Slots: 4, Connections: 2000},
	}
}

// workload generates the jobs of one run. The same seed yields the same jobs for every
// policy.
type workload struct {
	random     *rand.Rand
	deployment Deployment
	stragglers bool
	deadline   time.Duration
	// load returns the offered load, as a share of all slots, at a time since the start.
	load func(time.Duration) float64
	// homes holds the index of each caller's home agent.
	homes []int
}

type job struct {
	id        uint64
	home      int
	arrived   time.Time
	deadline  time.Time
	work      time.Duration
	straggler bool
}

func newWorkload(d Deployment, seed uint64) *workload {
	w := &workload{random: rand.New(rand.NewPCG(seed, 0)), deployment: d, deadline: 10 * time.Second}
	for range d.Endpoints * d.Connections {
		w.homes = append(w.homes, w.random.IntN(d.Endpoints))
	}
	return w
}

func (w *workload) meanWork() time.Duration {
	if !w.stragglers {
		return shortWork
	}
	return time.Duration(float64(shortWork) * (1 + stragglerFraction*(stragglerFactor-1)))
}

// gap draws the time until the next arrival.
func (w *workload) gap(since time.Duration) time.Duration {
	slots := float64(w.deployment.Endpoints * w.deployment.Slots)
	rate := w.load(since) * slots / w.meanWork().Seconds()
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}

// next draws a job. The work of short jobs varies by a factor of about 3 around its mean.
func (w *workload) next(id uint64, now time.Time) *job {
	j := &job{id: id, arrived: now, home: w.homes[w.random.IntN(len(w.homes))], deadline: now.Add(w.deadline)}
	factor := math.Exp(w.random.NormFloat64()*0.5 - 0.125)
	j.work = time.Duration(float64(shortWork) * factor)
	if w.stragglers && w.random.Float64() < stragglerFraction {
		j.straggler = true
		j.work *= stragglerFactor
	}
	return j
}
