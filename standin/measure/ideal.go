package measure

import "time"

// expectedWork is a service time that nearly all short jobs stay below.
const expectedWork = 3 * shortWork

// ideal simulates one queue shared by all slots, with perfect knowledge of the load and
// no message delay. With knowsWork it is the ideal bound: it also knows how long each job
// will run, which no real system can, and refuses a job that would end late before it runs.
type ideal struct {
	model
	*tally
	// knowsWork is true if the running time of each job is known in advance.
	knowsWork bool
	queue     []*job
	free      []int
	done      []time.Duration
}

func newIdeal(name string, knowsWork bool, d Deployment, start, measureFrom time.Time) *ideal {
	i := &ideal{
		model:     model{now: start},
		tally:     newTally(name, d.Endpoints, measureFrom),
		knowsWork: knowsWork,
		free:      make([]int, d.Endpoints),
		done:      make([]time.Duration, d.Endpoints),
	}
	for n := range i.free {
		i.free[n] = d.Slots
	}
	return i
}

func (i *ideal) submit(j *job) {
	i.arrived(j)
	i.queue = append(i.queue, j)
	i.fill()
}

// leastBusyEndpoint returns the endpoint that has a free slot and has done the least work
// so far, or -1 if no slot is free.
func (i *ideal) leastBusyEndpoint() int {
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
		n := i.leastBusyEndpoint()
		if n < 0 {
			return
		}
		i.queue = i.queue[1:]
		i.run(j, n)
	}
}

// expected returns the running time assumed for a job.
func (i *ideal) expected(j *job) time.Duration {
	if i.knowsWork {
		return j.work
	}
	return expectedWork
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
