package flow

import "time"

// Class describes the requests that callers send on the flows of a route.
type Class struct {
	// Priority is 0 for the most urgent requests.
	Priority uint8
	// Repeatable is true if a request may run more than once.
	Repeatable bool
	// Goal is the time within which an answer is on time, and Limit that after which the
	// caller gives up. Both are positive in a class that is known.
	Goal  time.Duration
	Limit time.Duration
}

// IsKnown reports whether the class was stated. The zero Class is unknown.
func (c Class) IsKnown() bool { return c.Goal > 0 && c.Limit > 0 }

// withClass adds the class of the flow's requests to a decision on an opening packet. It is
// stated to the agent only if the alternate, to which the agent may forward it, reads it too.
func (d Decision) withClass(routing *RoutingTable, key Key) Decision {
	route := routing.Routes[key.Service]
	if route == nil || !route.Class.IsKnown() || d.To.IsZero() {
		return d
	}
	reads := func(agent Address) bool {
		endpoint := routing.Agents[agent]
		return endpoint != nil && endpoint.AgentLoad.ReadsClass()
	}
	d.Class, d.StatesClass = route.Class, reads(d.To) && (d.Alternate.IsZero() || reads(d.Alternate))
	return d
}
