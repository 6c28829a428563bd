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

// withClass adds the class of the flow's requests to a decision on an opening packet. An agent
// refuses openings whose class it knows, so the class is stated only with a packet that no
// other agent can have: the agent must report, since the packet is offered to others too
// otherwise, and the packet must come from the caller. It is stated only if the alternate, to
// which the agent may forward it, reads it too.
func (d Decision) withClass(now Timestamp, routing *RoutingTable, key Key, fromCaller bool) Decision {
	route := routing.Routes[key.Service]
	if route == nil || !route.Class.IsKnown() || d.To.IsZero() {
		return d
	}
	reads := func(agent Address) bool {
		endpoint := routing.Agents[agent]
		return endpoint != nil && endpoint.AgentLoad.ReadsClass()
	}
	d.Class = route.Class
	d.StatesClass = fromCaller && reads(d.To) && routing.Agents[d.To].AgentLoad.Alive(now) && (d.Alternate.IsZero() || reads(d.Alternate))
	return d
}
