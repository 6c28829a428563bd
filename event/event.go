// Package event gives every log line a number and a name that operators can
// look up in docs/EVENTS.md. Each slice declares its own events.
package event

import (
	"slices"

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

// Log writes events for one node.
type Log struct{ entry *logrus.Entry }

// NewLog returns a log whose lines carry the node's name.
func NewLog(logger *logrus.Logger, node string) *Log {
	return &Log{entry: logger.WithField("node", node)}
}

// Emit writes one event.
func (l *Log) Emit(e Event, fields Fields) {
	l.entry.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Name)
}
