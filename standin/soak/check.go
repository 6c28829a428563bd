package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds of what is checked, as the deployment's pages state them.
const (
	// drainBound is how long after an endpoint began to drain it may get new flows.
	drainBound = 3 * time.Second
	// routeBound is how long a change of the desired state may take.
	routeBound = 3 * time.Second
	// stableTime is how long a machine must have been left alone for these bounds.
	stableTime = 4 * time.Second
	// recoverTime is how long after the last fault everything works again.
	recoverTime = 8 * time.Second
	// stopBound is how long a planned stop may take: that of the settings, and the
	// end of the process.
	stopBound = 6 * time.Second
)

// Violation is a promise that did not hold.
type Violation struct {
	Promise string
	Detail  string
}

func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// Names of the promises.
const (
	AtMostOnce    = "a request runs at most once"
	RightService  = "a request runs at its own service"
	Unchanged     = "packets arrive as their sender wrote them"
	NeverReset    = "no flow is reset that its endpoint holds"
	PlannedBreaks = "planned work breaks nothing"
	Drains        = "a draining endpoint gets no new flows"
	RoutesFollow  = "routes follow the desired state"
	FoundAgain    = "flows and services work again after faults"
	KeepsRunning  = "no daemon ends by itself"
	StopsInTime   = "a planned stop ends in time"
)

// Check returns the promises that a run broke.
func Check(h History) []Violation {
	c := checker{History: h, endpoints: make(map[string]EndpointRecord)}
	for _, e := range h.Endpoints {
		c.endpoints[e.Name] = e
	}
	c.runs()
	for _, a := range h.Attempts {
		c.reset(a)
		c.planned(a)
		c.drain(a)
		c.route(a)
		c.final(a)
	}
	for _, exit := range h.Exits {
		c.add(KeepsRunning, "daemon of host %d, exit code %d", exit.Host, exit.Code)
	}
	for _, host := range h.SlowStops {
		c.add(StopsInTime, "daemon of host %d", host)
	}
	return c.found
}

type checker struct {
	History
	endpoints map[string]EndpointRecord
	found     []Violation
}

func (c *checker) add(promise, format string, values ...any) {
	c.found = append(c.found, Violation{Promise: promise, Detail: fmt.Sprintf(format, values...)})
}

// runs checks what the endpoints saw.
func (c *checker) runs() {
	ran := make(map[string]string)
	for _, e := range c.Endpoints {
		if e.Forged > 0 {
			c.add(Unchanged, "%d packets at %s", e.Forged, e.Name)
		}
		for id, times := range e.Runs {
			if earlier, twice := ran[id]; twice || times > 1 {
				c.add(AtMostOnce, "%s at %s, %d times, and at %q", id, e.Name, times, earlier)
			}
			ran[id] = e.Name
			if !strings.HasPrefix(id, e.Service+"-") {
				c.add(RightService, "%s at %s of %s", id, e.Name, e.Service)
			}
		}
	}
}

// held tells whether the endpoint of a flow lived all the time. Where it is not known,
// none of its service may have ended.
func (c *checker) held(a Attempt) bool {
	if e, known := c.endpoints[a.Endpoint]; known {
		return e.Ended == 0 || e.Ended > a.Ended
	}
	return !slices.ContainsFunc(c.Endpoints, func(e EndpointRecord) bool {
		return e.Service == a.Service && e.Ended != 0 && e.Ended >= a.Opened && e.Ended <= a.Ended
	})
}

func (c *checker) reset(a Attempt) {
	if a.Outcome == ResetOpen && !a.Extra && c.held(a) {
		c.add(NeverReset, "%s at %q after %v", a.ID, a.Endpoint, a.Ended)
	}
}

// planned checks that planned work alone costs no caller anything.
func (c *checker) planned(a Attempt) {
	if c.Plan.PlannedOnly() && a.Outcome != Answered && !a.Extra && c.held(a) {
		c.add(PlannedBreaks, "%s: %v at %q, from %v to %v", a.ID, a.Outcome, a.Endpoint, a.Began, a.Ended)
	}
}

func (c *checker) drain(a Attempt) {
	e, known := c.endpoints[a.Endpoint]
	if !known || e.Drained == 0 || a.Opened <= e.Drained+drainBound {
		return
	}
	if c.calm(e.Drained, a.Opened, a.Via, e.Host) {
		c.add(Drains, "%s at %s, %v after it began to drain", a.ID, e.Name, a.Opened-e.Drained)
	}
}

// route checks flows to the route that comes and goes.
func (c *checker) route(a Attempt) {
	if !a.Extra {
		return
	}
	var last Change
	for _, change := range c.Changes {
		if change.At > a.Opened-routeBound && change.At < a.Ended {
			return // it may be under way
		}
		if change.At <= a.Opened {
			last = change
		}
	}
	opened := a.Outcome == Answered || a.Outcome == SilentOpen || a.Outcome == ResetOpen
	if opened && !last.Added && c.calm(last.At, a.Ended, a.Via, 0) {
		c.add(RoutesFollow, "%s opened by a removed route, %v after", a.ID, a.Opened-last.At)
	}
	if a.Outcome == RefusedOpening && last.Added && c.calm(last.At, a.Ended, a.Via, 0) {
		c.add(RoutesFollow, "%s refused by an added route, %v after", a.ID, a.Opened-last.At)
	}
}

func (c *checker) final(a Attempt) {
	if a.Final && a.Outcome != Answered && !a.Extra && c.held(a) {
		c.add(FoundAgain, "%s: %v at %q, from %v to %v", a.ID, a.Outcome, a.Endpoint, a.Began, a.Ended)
	}
}

// calm tells whether two machines and the store were left alone from a while before one
// moment until another.
func (c *checker) calm(from, to time.Duration, via, host int) bool {
	return !slices.ContainsFunc(c.Spans, func(s Span) bool {
		if s.Ended < from-stableTime || s.Began > to || !s.disturbs() {
			return false
		}
		all := s.Host == 0
		return all || s.Host == via || s.Host == host || s.Peer == via || s.Peer == host
	})
}

// disturbs tells whether a fault excuses the machines that it hits.
func (s Span) disturbs() bool {
	return !slices.Contains([]Kind{AddRoute, RemoveRoute, ReplaceEndpoint, LapseEntry, FillEndpoint}, s.Kind)
}
