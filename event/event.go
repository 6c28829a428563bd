// Package event defines numbered log events. docs/EVENTS.md describes each event; the
// packages that log events define them with Define.
package event

import (
	"slices"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line.
type Event struct {
	// Number identifies the event in logs and metrics. A number is never reused for
	// another event.
	Number int
	// Name is the fixed text of the log line.
	Name string
	// Level is the level the event is logged at.
	Level logrus.Level
}

// Fields are the additional fields of one log line.
type Fields = logrus.Fields

var defined []Event

// Define registers an event. It is called only to initialise package variables,
// because the list of events has no lock.
func Define(number int, level logrus.Level, name string) Event {
	e := Event{Number: number, Name: name, Level: level}
	defined = append(defined, e)
	return e
}

// All returns all events that the packages in this binary define, ordered by number.
func All() []Event {
	all := slices.Clone(defined)
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}

// Log writes the events of one node as log lines and counts them. It is safe for
// concurrent use.
type Log struct {
	entry  *logrus.Entry
	counts map[int]*atomic.Int64
}

// NewLog returns a log whose lines have the node's name in the field node.
func NewLog(logger *logrus.Logger, node string) *Log {
	counts := make(map[int]*atomic.Int64, len(defined))
	for _, e := range defined {
		counts[e.Number] = new(atomic.Int64)
	}
	return &Log{entry: logger.WithField("node", node), counts: counts}
}

// Count returns the number of times that an event was emitted.
func (l *Log) Count(e Event) int64 { return l.counts[e.Number].Load() }

// Queue returns the queue that the log writes to, or nil if it writes to something
// else.
func (l *Log) Queue() *Queue {
	q, _ := l.entry.Logger.Out.(*Queue)
	return q
}

// Enabled reports whether an event's level is logged. Callers use it to avoid building
// fields that would be discarded.
func (l *Log) Enabled(e Event) bool { return l.entry.Logger.IsLevelEnabled(e.Level) }

// Emit counts one event and writes it if its level is enabled.
func (l *Log) Emit(e Event, fields Fields) {
	l.counts[e.Number].Add(1)
	l.entry.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Name)
}
