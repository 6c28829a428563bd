package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cactustray/standin/packets"
)

// Time limits that the checks apply, as the deployment's documentation states them.
const (
	// maxDrainDelay is how long after an endpoint began to drain it may still get new flows.
	maxDrainDelay = 3 * time.Second
	// maxRouteDelay is how long a change of the desired state may take to apply.
	maxRouteDelay = 3 * time.Second
	// maxEvacuationDelay is how long after an order an evacuated failure domain may still get
	// new flows.
	maxEvacuationDelay = 5 * time.Second
	// undisturbedTime is how long a machine must have been free of disturbing faults before
	// the two limits above apply to it.
	undisturbedTime = 4 * time.Second
	// recoveryTime is the time after the last fault within which all flows and services
	// must work again.
	recoveryTime = 8 * time.Second
	// maxStopTime is how long a planned stop may take: the stop timeout of the settings
	// plus the time for the process to exit.
	maxStopTime = 6 * time.Second
)

// Violation is a property that did not hold in a run.
type Violation struct {
	Property string
	Detail   string
}

func (v Violation) String() string { return v.Property + ": " + v.Detail }

// Names of the checked properties.
const (
	RunsAtMostOnce           = "a request runs at most once"
	RunsAtOwnService         = "a request runs at its own service"
	PacketsUnchanged         = "packets arrive as their sender wrote them"
	NoResetOfHeldFlow        = "no flow is reset that its endpoint holds"
	PlannedWorkBreaksNothing = "planned work breaks nothing"
	DrainingGetsNoNewFlows   = "a draining endpoint gets no new flows"
	EvacuatedGetsNoNewFlows  = "an evacuated failure domain gets no new flows"
	RoutesFollow             = "routes follow the desired state"
	RecoversAfterFaults      = "flows and services work again after faults"
	KeepsRunning             = "no daemon ends by itself"
	StopsInTime              = "a planned stop ends in time"
)

// Check returns the violations in a run's history.
func Check(h History) []Violation {
	c := checker{History: h, endpoints: make(map[string]EndpointRecord)}
	for _, e := range h.Endpoints {
		c.endpoints[e.Name] = e
	}
	c.checkEndpoints()
	for _, a := range h.Attempts {
		c.checkReset(a)
		c.checkPlanned(a)
		c.checkDrain(a)
		c.checkEvacuation(a)
		c.checkRoute(a)
		c.checkMove(a)
		c.checkRecovery(a)
	}
	for _, exit := range h.Exits {
		c.add(KeepsRunning, "daemon of host %d, exit code %d", exit.Host, exit.Code)
	}
	for _, host := range h.SlowStops {
		c.add(StopsInTime, "daemon of host %d", host)
	}
	return c.violations
}

type checker struct {
	History
	endpoints  map[string]EndpointRecord
	violations []Violation
}

func (c *checker) add(property, format string, values ...any) {
	c.violations = append(c.violations, Violation{Property: property, Detail: fmt.Sprintf(format, values...)})
}

// checkEndpoints checks what the endpoints counted: corrupted packets, requests that ran
// more than once, and requests of another service.
func (c *checker) checkEndpoints() {
	ran := make(map[string]string)
	for _, e := range c.Endpoints {
		if e.Corrupted > 0 {
			c.add(PacketsUnchanged, "%d packets at %s", e.Corrupted, e.Name)
		}
		for id, times := range e.Runs {
			if earlier, twice := ran[id]; twice || times > 1 {
				c.add(RunsAtMostOnce, "%s ran at %s %d times, and at %q", id, e.Name, times, earlier)
			}
			ran[id] = e.Name
			if !strings.HasPrefix(id, e.Service+"-") && !strings.HasPrefix(id, movingService+"-") {
				c.add(RunsAtOwnService, "%s ran at %s of service %s", id, e.Name, e.Service)
			}
		}
	}
}

// endpointAlive reports whether the endpoint of a flow ran until the attempt ended. If the
// endpoint is unknown, it reports whether no endpoint of the service ended during the flow.
func (c *checker) endpointAlive(a Attempt) bool {
	if e, known := c.endpoints[a.Endpoint]; known {
		return e.Ended == 0 || e.Ended > a.Ended
	}
	return !slices.ContainsFunc(c.Endpoints, func(e EndpointRecord) bool {
		return (e.Service == a.Service || a.Service == movingService) && e.Ended != 0 && e.Ended >= a.Opened && e.Ended <= a.Ended
	})
}

// checkReset checks that no open flow is reset while its endpoint runs.
func (c *checker) checkReset(a Attempt) {
	if a.Outcome == ResetOpen && !a.ExtraRoute && c.endpointAlive(a) {
		c.add(NoResetOfHeldFlow, "%s at endpoint %q, %v after the start", a.ID, a.Endpoint, a.Ended)
	}
}

// checkPlanned checks that no request fails in a plan of planned work alone.
func (c *checker) checkPlanned(a Attempt) {
	if c.Plan.PlannedOnly() && a.Outcome != Answered && !a.ExtraRoute && c.endpointAlive(a) {
		c.add(PlannedWorkBreaksNothing, "%s: %v at %q, from %v to %v", a.ID, a.Outcome, a.Endpoint, a.Began, a.Ended)
	}
}

// checkDrain checks that an endpoint gets no new flows from maxDrainDelay after it began to
// drain, unless a fault disturbed it or the balancer.
func (c *checker) checkDrain(a Attempt) {
	e, known := c.endpoints[a.Endpoint]
	if !known || e.DrainBegan == 0 || a.Opened <= e.DrainBegan+maxDrainDelay {
		return
	}
	if c.undisturbed(e.DrainBegan, a.Opened, a.BalancerHost, e.Host) {
		c.add(DrainingGetsNoNewFlows, "%s at %s, %v after it began to drain", a.ID, e.Name, a.Opened-e.DrainBegan)
	}
}

// checkEvacuation checks that from maxEvacuationDelay after an order until it is withdrawn no flow
// opens at an endpoint of the failure domain. Only a loss of the registry, or of balancers that
// read it, excuses one: it is in force with endpoints and agents that start.
func (c *checker) checkEvacuation(a Attempt) {
	e, known := c.endpoints[a.Endpoint]
	if !known || !slices.Contains(remoteHosts, e.Host) {
		return
	}
	for _, order := range c.Evacuations {
		isInForce := a.Opened > order.Began+maxEvacuationDelay && a.Opened < order.Ended
		if isInForce && c.undisturbed(order.Began, a.Opened, a.BalancerHost, 0) {
			c.add(EvacuatedGetsNoNewFlows, "%s at %s, %v after the order", a.ID, e.Name, a.Opened-order.Began)
		}
	}
}

// checkRoute checks the extra route, which faults add and remove: from maxRouteDelay after a
// change, no flow opens on the removed route, and none is refused on the added one, unless
// faults disturbed it.
func (c *checker) checkRoute(a Attempt) {
	if !a.ExtraRoute {
		return
	}
	var last RouteChange
	for _, change := range c.RouteChanges {
		if change.At > a.Opened-maxRouteDelay && change.At < a.Ended {
			return // the change may still be propagating
		}
		if change.At <= a.Opened {
			last = change
		}
	}
	opened := a.Outcome == Answered || a.Outcome == SilentOpen || a.Outcome == ResetOpen
	if opened && !last.Added && c.undisturbed(last.At, a.Ended, a.BalancerHost, 0) {
		c.add(RoutesFollow, "%s opened on a removed route, %v after the removal", a.ID, a.Opened-last.At)
	}
	if a.Outcome == RefusedOpening && last.Added && c.undisturbed(last.At, a.Ended, a.BalancerHost, 0) {
		c.add(RoutesFollow, "%s refused on an added route, %v after the addition", a.ID, a.Opened-last.At)
	}
}

// checkMove checks that from maxRouteDelay after a move of the moving route, flows open at the
// service to which it leads, unless faults disturbed it.
func (c *checker) checkMove(a Attempt) {
	e, known := c.endpoints[a.Endpoint]
	if a.Service != movingService || !known {
		return
	}
	present := RouteMove{Service: "orders"}
	for _, move := range c.RouteMoves {
		if move.At > a.Opened-maxRouteDelay && move.At < a.Ended {
			return // the move may still be propagating
		}
		if move.At <= a.Opened {
			present = move
		}
	}
	if e.Service != present.Service && c.undisturbed(present.At, a.Ended, a.BalancerHost, 0) {
		c.add(RoutesFollow, "%s opened at service %s, %v after the route moved", a.ID, e.Service, a.Opened-present.At)
	}
}

// checkRecovery checks that requests made after all faults succeed.
func (c *checker) checkRecovery(a Attempt) {
	if a.Final && a.Outcome != Answered && !a.ExtraRoute && c.endpointAlive(a) {
		c.add(RecoversAfterFaults, "%s: %v at %q, from %v to %v", a.ID, a.Outcome, a.Endpoint, a.Began, a.Ended)
	}
}

// undisturbed reports whether no disturbing fault hit the two hosts from undisturbedTime
// before the first moment until the second. A fault without a host, of the store or of all
// daemons, hits every host. A balancerHost of 0 stands for any balancer, an endpointHost of 0
// for no endpoint.
func (c *checker) undisturbed(from, to time.Duration, balancerHost, endpointHost int) bool {
	return !slices.ContainsFunc(c.Spans, func(s Span) bool {
		if s.Ended < from-undisturbedTime || s.Began > to || !s.disturbs() {
			return false
		}
		if s.Host == 0 {
			return true
		}
		return slices.ContainsFunc([]int{s.Host, s.Peer}, func(hit int) bool {
			isBalancer := hit >= packets.BalancerHost && hit < packets.EndpointHost
			return hit != 0 && (hit == balancerHost || hit == endpointHost || balancerHost == 0 && isBalancer)
		})
	})
}

// disturbs reports whether a fault suspends the drain and route limits of the machines that
// it hits.
func (s Span) disturbs() bool {
	return !slices.Contains([]Kind{AddRoute, RemoveRoute, MoveRoute, ReplaceEndpoint, LapseEntry, FillEndpoint, EvacuateZone}, s.Kind)
}
