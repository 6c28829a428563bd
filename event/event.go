// Package event gives every log line a number and a name that operators can
// look up in docs/EVENTS.md. Each slice declares its own events.
package event

import (
	"slices"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line.
type Event struct {
	// Number never changes its meaning.
	Number int
	// Name is a short fixed text.
	Name string
	// Level is the level the event is logged at.
	Level logrus.Level
}

// Fields are the values of one log line.
type Fields = logrus.Fields

var defined []Event

// Define registers an event; it is called from package variables only.
func Define(number int, level logrus.Level, name string) Event {
	e := Event{Number: number, Name: name, Level: level}
	defined = append(defined, e)
	return e
}

// All returns every event of the linked packages, ordered by number.
func All() []Event {
	all := slices.Clone(defined)
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}

// Log writes events for one node and counts them. It is safe for concurrent
// use.
type Log struct {
	entry  *logrus.Entry
	counts map[int]*atomic.Int64
}

// NewLog returns a log whose lines carry the node's name.
func NewLog(logger *logrus.Logger, node string) *Log {
	counts := make(map[int]*atomic.Int64, len(defined))
	for _, e := range defined {
		counts[e.Number] = new(atomic.Int64)
	}
	return &Log{entry: logger.WithField("node", node), counts: counts}
}

// Count returns how often an event was emitted.
func (l *Log) Count(e Event) int64 { return l.counts[e.Number].Load() }

// Queue returns the queue that the lines go through, or nil.
func (l *Log) Queue() *Queue {
	q, _ := l.entry.Logger.Out.(*Queue)
	return q
}

// Enabled tells whether an event's level is logged, so that fields need not be
// made in vain.
func (l *Log) Enabled(e Event) bool { return l.entry.Logger.IsLevelEnabled(e.Level) }

// Emit writes one event.
func (l *Log) Emit(e Event, fields Fields) {
	l.counts[e.Number].Add(1)
	l.entry.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Name)
}
