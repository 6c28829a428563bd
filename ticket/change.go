package ticket

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Action is the effect of a ticket on one part of a service.
type Action string

const (
	// Added: the part is new.
	Added Action = "added"
	// Removed: the part no longer exists.
	Removed Action = "removed"
	// Changed: the part has another value.
	Changed Action = "changed"
)

// Change is one difference between two tickets of a service.
type Change struct {
	Action Action `json:"action"`
	// Part names the changed part, such as an endpoint or a limit.
	Part string `json:"part"`
	// Before and After are the old and the new value; empty if there is none.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Changes returns the differences between the ticket in force, which is nil for
// a new service, and the next one.
func Changes(inForce, next *Ticket) []Change {
	if inForce == nil {
		inForce = new(Ticket)
	}
	var c changes
	c.value("service", serviceState(inForce), serviceState(next))
	if !next.Removed {
		c.values(inForce, next)
	}
	c.endpoints(inForce.Endpoints, next.Endpoints)
	return c.list
}

func (c *changes) values(inForce, next *Ticket) {
	c.value("address", inForce.Address, next.Address)
	c.value("limits.slots", inForce.Limits.Slots, next.Limits.Slots)
	c.value("limits.connections", inForce.Limits.Connections, next.Limits.Connections)
	c.value("limits.queue_ms", inForce.Limits.QueueMillis, next.Limits.QueueMillis)
	c.value("limits.drain_s", inForce.Limits.DrainSeconds, next.Limits.DrainSeconds)
	c.value("feeds", strings.Join(inForce.Feeds, " "), strings.Join(next.Feeds, " "))
	c.value("idempotent", strings.Join(inForce.Idempotent, " "), strings.Join(next.Idempotent, " "))
}

func serviceState(t *Ticket) string {
	switch {
	case t.Number == 0:
		return "unknown"
	case t.Removed:
		return "out of use"
	}
	return "in use"
}

type changes struct{ list []Change }

func (c *changes) value(part string, before, after any) {
	if before != after {
		c.list = append(c.list, Change{Action: Changed, Part: part, Before: fmt.Sprint(before), After: fmt.Sprint(after)})
	}
}

func (c *changes) endpoints(before, after []Endpoint) {
	old := byName(before)
	for _, e := range sortedByName(after) {
		previous, known := old[e.Name]
		if !known {
			c.list = append(c.list, Change{Action: Added, Part: endpointPart(e), After: fmt.Sprintf("weight %d", e.Weight)})
			continue
		}
		c.endpoint(previous, e)
	}
	remaining := byName(after)
	for _, e := range sortedByName(before) {
		if _, known := remaining[e.Name]; !known {
			c.list = append(c.list, Change{Action: Removed, Part: endpointPart(e), Before: fmt.Sprintf("weight %d", e.Weight)})
		}
	}
}

func (c *changes) endpoint(before, after Endpoint) {
	part := endpointPart(after)
	c.value(part+" weight", before.Weight, after.Weight)
	c.value(part+" draining", before.Draining, after.Draining)
	c.value(part+" zone", before.Zone, after.Zone)
	c.value(part+" datagram", before.Datagram, after.Datagram)
	c.value(part+" control", before.Control, after.Control)
}

func endpointPart(e Endpoint) string { return "endpoint " + e.Name }

func byName(endpoints []Endpoint) map[string]Endpoint {
	named := make(map[string]Endpoint, len(endpoints))
	for _, e := range endpoints {
		named[e.Name] = e
	}
	return named
}

func sortedByName(endpoints []Endpoint) []Endpoint {
	return slices.SortedFunc(slices.Values(endpoints), func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
}
