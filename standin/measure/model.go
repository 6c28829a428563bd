// Package measure drives the real decisions of the slices through a model in
// virtual time and prints the measures of the brief: the baseline, ours and an
// ideal bound side by side.
package measure

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// model runs events in the order of their virtual times.
type model struct {
	now    time.Time
	order  int
	agenda agenda
}

// after lets run happen once the virtual time has moved on by d.
func (m *model) after(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.agenda, event{at: m.now.Add(d), order: m.order, run: run})
}

// runUntil runs all events up to a virtual time.
func (m *model) runUntil(end time.Time) {
	for len(m.agenda) > 0 && !m.agenda[0].at.After(end) {
		next := heap.Pop(&m.agenda).(event)
		m.now = next.at
		next.run()
	}
	m.now = end
}
