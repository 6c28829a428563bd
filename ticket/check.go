package ticket

import (
	"fmt"
	"strings"

	"cactustray/document"
)

const (
	// MaxDocumentBytes is the largest ticket that the platform can store.
	MaxDocumentBytes = 1 << 20
	// MaxWeight bounds an endpoint's weight.
	MaxWeight = 1000
	// MaxSlots bounds the number of jobs that one backend server runs at once.
	MaxSlots = 1024
)

// CheckError reports all problems of a ticket at once.
type CheckError struct {
	Service  string
	Problems []document.Problem
}

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return fmt.Sprintf("ticket for %q refused: %s", e.Service, strings.Join(lines, "; "))
}

// Check returns the problems of a ticket; an empty result means that it is
// valid.
func Check(t *Ticket) []document.Problem {
	var c checker
	c.Require(t.Number > 0, "number", t.Number, "1 or more")
	c.Require(t.Service != "", "service", t.Service, "a name")
	if t.Removed {
		return c.Problems
	}
	c.Require(t.Address.IsValid() && t.Address.Port() > 0, "address", t.Address, "IP:port")
	c.Require(len(t.Endpoints) > 0, "endpoints", len(t.Endpoints), "1 or more")
	c.limits(t.Limits)
	c.endpoints(t.Endpoints)
	return c.Problems
}

type checker struct{ document.Checker }

func (c *checker) limits(l Limits) {
	c.Require(l.Slots >= 1 && l.Slots <= MaxSlots, "limits.slots", l.Slots, fmt.Sprintf("1 to %d", MaxSlots))
	c.Require(l.Connections >= 1, "limits.connections", l.Connections, "1 or more")
	c.Require(l.QueueMillis >= 1, "limits.queue_ms", l.QueueMillis, "1 or more")
	c.Require(l.DrainSeconds >= 1, "limits.drain_s", l.DrainSeconds, "1 or more")
}

func (c *checker) endpoints(endpoints []Endpoint) {
	names := make(map[string]bool, len(endpoints))
	for i, e := range endpoints {
		field := func(name string) string { return fmt.Sprintf("endpoints[%d].%s", i, name) }
		c.Require(e.Name != "" && !names[e.Name], field("name"), e.Name, "a name used once")
		c.Require(e.Zone != "", field("zone"), e.Zone, "a failure domain")
		c.Require(e.Datagram.IsValid() && e.Datagram.Port() > 0, field("datagram"), e.Datagram, "IP:port")
		c.Require(e.Control.IsValid() && e.Control.Port() > 0, field("control"), e.Control, "IP:port")
		c.Require(e.Weight >= 1 && e.Weight <= MaxWeight, field("weight"), e.Weight, fmt.Sprintf("1 to %d", MaxWeight))
		names[e.Name] = true
	}
}

// NotReplacing returns why nodes would not replace the ticket in force by the next one of the
// service, or "" if they would. inForce is nil if there is none.
func NotReplacing(inForce *Record, next Record) string {
	switch {
	case inForce == nil:
	case next.Ticket.Number < inForce.Ticket.Number:
		return "a newer ticket is in force"
	case next.Ticket.Number == inForce.Ticket.Number && next.Content != inForce.Content:
		return "its number is in force with other content; use the next number"
	}
	return ""
}
