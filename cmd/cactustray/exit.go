package main

import "cactustray/status"

// Exit codes that scripts rely on.
const (
	exitDone    = 0
	exitFailure = 1
	exitRefused = 2
	exitNotYet  = 3
)

// RefusedError reports a ticket that will not come into force.
type RefusedError struct {
	Service string
	Reason  string
}

func (e *RefusedError) Error() string {
	return "ticket for service " + e.Service + " refused: " + e.Reason
}

// ExitCode returns exitRefused.
func (*RefusedError) ExitCode() int { return exitRefused }

// NotYetError reports a ticket that was not in force and accepted everywhere at the
// deadline.
type NotYetError struct {
	Service string
	Waiting []status.NodeProgress
}

func (e *NotYetError) Error() string {
	text := "ticket for service " + e.Service + " not yet in force everywhere"
	for _, n := range e.Waiting {
		text += "\n  " + n.Node + ": " + n.Reason
	}
	return text
}

// ExitCode returns exitNotYet: the ticket may still come into force.
func (*NotYetError) ExitCode() int { return exitNotYet }
