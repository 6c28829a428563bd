package ticket

import (
	"fmt"
	"strings"
)

const (
	// MaxDocumentBytes is the largest ticket the platform can hold.
	MaxDocumentBytes = 1 << 20
	// MaxWeight bounds an endpoint's weight.
	MaxWeight = 1000
	// MaxSlots bounds the jobs one backend server runs at once.
	MaxSlots = 1024
)

// Problem is one thing wrong with a ticket.
type Problem struct {
	// Field is the JSON path of the value.
	Field string
	// Value is what the ticket says.
	Value string
	// Allowed is what it may say.
	Allowed string
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: %q, allowed: %s", p.Field, p.Value, p.Allowed)
}

// SyntaxError reports a ticket that is not the JSON of a ticket.
type SyntaxError struct{ Cause error }

func (e *SyntaxError) Error() string { return "ticket: not a ticket's JSON: " + e.Cause.Error() }

// Unwrap returns the decoder's error.
func (e *SyntaxError) Unwrap() error { return e.Cause }

// CheckError reports everything wrong with a ticket at once.
type CheckError struct {
	Service  string
	Problems []Problem
}

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return fmt.Sprintf("ticket for %q refused: %s", e.Service, strings.Join(lines, "; "))
}

// Check returns what is wrong with a ticket; nothing means that it is valid.
func Check(t *Ticket) []Problem {
	var c checker
	c.require(t.Number > 0, "number", t.Number, "1 or more")
	c.require(t.Service != "", "service", t.Service, "a name")
	if t.Removed {
		return c.problems
	}
	c.require(t.Address.IsValid() && t.Address.Port() > 0, "address", t.Address, "IP:port")
	c.require(len(t.Endpoints) > 0, "endpoints", len(t.Endpoints), "1 or more")
	c.limits(t.Limits)
	c.endpoints(t.Endpoints)
	return c.problems
}

type checker struct{ problems []Problem }

func (c *checker) require(ok bool, field string, value any, allowed string) {
	if ok {
		return
	}
	c.problems = append(c.problems, Problem{Field: field, Value: fmt.Sprint(value), Allowed: allowed})
}

func (c *checker) limits(l Limits) {
	c.require(l.Slots >= 1 && l.Slots <= MaxSlots, "limits.slots", l.Slots, fmt.Sprintf("1 to %d", MaxSlots))
	c.require(l.Connections >= 1, "limits.connections", l.Connections, "1 or more")
	c.require(l.QueueMillis >= 1, "limits.queue_ms", l.QueueMillis, "1 or more")
	c.require(l.DrainSeconds >= 1, "limits.drain_s", l.DrainSeconds, "1 or more")
}

func (c *checker) endpoints(endpoints []Endpoint) {
	names := make(map[string]bool, len(endpoints))
	for i, e := range endpoints {
		field := func(name string) string { return fmt.Sprintf("endpoints[%d].%s", i, name) }
		c.require(e.Name != "" && !names[e.Name], field("name"), e.Name, "a name used once")
		c.require(e.Zone != "", field("zone"), e.Zone, "a failure domain")
		c.require(e.Datagram.IsValid() && e.Datagram.Port() > 0, field("datagram"), e.Datagram, "IP:port")
		c.require(e.Control.IsValid() && e.Control.Port() > 0, field("control"), e.Control, "IP:port")
		c.require(e.Weight >= 1 && e.Weight <= MaxWeight, field("weight"), e.Weight, fmt.Sprintf("1 to %d", MaxWeight))
		names[e.Name] = true
	}
}
