package measure

import "time"

// safeWork is the service time that nearly all short jobs stay within.
const safeWork = 3 * shortWork

// ideal is one shared queue before all slots, with perfect knowledge of all
// load: no message takes time. The bound also knows how long each job will
// run, which no system can, and refuses what would be late before it runs.
type ideal struct {
	model
	*tally
	// foresees tells that the time a job will run is known.
	foresees bool
	queue    []*job
	free     []int
	done     []time.Duration
}

func newIdeal(name string, foresees bool, d Deployment, start, from time.Time) *ideal {
	i := &ideal{
		model:    model{now: start},
		tally:    newTally(name, d.Endpoints, from),
		foresees: foresees,
		free:     make([]int, d.Endpoints),
		done:     make([]time.Duration, d.Endpoints),
	}
	for n := range i.free {
		i.free[n] = d.Slots
	}
	return i
}

func (i *ideal) offer(j *job) {
	i.arrived(j)
	i.queue = append(i.queue, j)
	i.fill()
}

// pick returns the endpoint with a free slot that has done least, or -1.
func (i *ideal) pick() int {
	best := -1
	for n, free := range i.free {
		if free > 0 && (best < 0 || i.done[n] < i.done[best]) {
			best = n
		}
	}
	return best
}

func (i *ideal) fill() {
	for len(i.queue) > 0 {
		j := i.queue[0]
		if i.now.Add(i.expected(j)).After(j.deadline) {
			i.queue = i.queue[1:]
			i.refuse(j)
			continue
		}
		n := i.pick()
		if n < 0 {
			return
		}
		i.queue = i.queue[1:]
		i.run(j, n)
	}
}

func (i *ideal) expected(j *job) time.Duration {
	if i.foresees {
		return j.work
	}
	return safeWork
}

func (i *ideal) run(j *job, n int) {
	i.free[n]--
	i.done[n] += j.work
	i.started(j, n)
	i.after(j.work, func() {
		i.free[n]++
		i.answered(j, i.now)
		i.fill()
	})
}
