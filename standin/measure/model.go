// Package measure runs the real decision code in a discrete-event simulation and reports
// latency, load balance, refusals and broken flows: the baseline, the system and an ideal
// bound side by side.
package measure

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time. Events of the same time run in the
// order in which they were scheduled.
type event struct {
	at    time.Time
	order int
	run   func()
}

// events is a heap of events by time and order.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model is a discrete-event simulation.
type model struct {
	now    time.Time
	order  int
	events events
}

// after schedules run at d from now, in virtual time.
func (m *model) after(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, event{at: m.now.Add(d), order: m.order, run: run})
}

// runUntil runs all events up to a virtual time and sets the clock to it.
func (m *model) runUntil(end time.Time) {
	for len(m.events) > 0 && !m.events[0].at.After(end) {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
	m.now = end
}
