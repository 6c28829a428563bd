package flow

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxHeldRoutes bounds the routes that an agent states, at 6 bytes each. An agent with flows
	// of more routes states none, and is awaited like one of an older build.
	maxHeldRoutes = 32
	// RouteChangeTime is how long after the start of the route history a balancer may still send
	// new flows by an older desired state: no directory is older than 3 s while the registry
	// answers, and a read that stops is abandoned after another second.
	RouteChangeTime = 4 * time.Second
)

// HeldRoutes returns the routes of the flows in the table, in a fixed order. ok is false if the
// table may lack flows of the endpoint, or has more routes than an agent states.
func (t *AgentTable) HeldRoutes(now Timestamp) (routes []Address, ok bool) {
	if !t.isComplete(now) || len(t.flows) >= maxFlows {
		return nil, false
	}
	for key := range t.flows {
		if slices.Contains(routes, key.Service) {
			continue
		}
		if len(routes) == maxHeldRoutes {
			return nil, false
		}
		routes = append(routes, key.Service)
	}
	if len(t.unsure) > 0 {
		return nil, false
	}
	slices.SortFunc(routes, Address.compare)
	return routes, true
}

// HeldRoutes is what agents have stated about the routes of their endpoints' flows. A balancer
// uses it while an agent is silent. The goroutine that receives reports records the statements;
// the goroutines that decide on packets read them. The zero HeldRoutes has no statements.
type HeldRoutes struct {
	mu     sync.Mutex
	stated map[Address]routeStatement
}

type routeStatement struct {
	at     Timestamp
	routes []Address
}

// Record stores that an agent knows all flows of its endpoint and which routes they use.
func (h *HeldRoutes) Record(now Timestamp, agent Address, routes []Address) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stated == nil {
		h.stated = make(map[Address]routeStatement)
	}
	h.stated[agent] = routeStatement{at: now, routes: routes}
}

// Retain removes the statements of agents that the routing table does not have.
func (h *HeldRoutes) Retain(routing *RoutingTable) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for agent := range h.stated {
		if routing.Agents[agent] == nil {
			delete(h.stated, agent)
		}
	}
}

// exclude reports whether an agent has stated at or after the given time that its endpoint
// holds no flow of the route.
func (h *HeldRoutes) exclude(agent, route Address, since Timestamp) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	statement, ok := h.stated[agent]
	return ok && statement.at >= since && !slices.Contains(statement.routes, route)
}

// excludesFlows reports whether an endpoint of a service that the route is only assumed to have
// left certainly holds no flow of the route, although its agent may be silent.
//
// Invariant: the route has sent no new flow to the service since RoutesSettledAt, or the service
// would be a known former one; so a statement made since then holds until the history is known.
// The service of an endpoint that only its agent has introduced is not known: the route may
// send it flows.
func (t *RoutingTable) excludesFlows(endpoint *Endpoint, route Address) bool {
	return !endpoint.Introduced && t.HeldRoutes.exclude(endpoint.Agent, route, t.RoutesSettledAt)
}
