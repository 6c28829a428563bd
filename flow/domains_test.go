package flow

import (
	"math/rand/v2"
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

var testClass = Class{Priority: 2, Repeatable: true, Goal: 300 * time.Millisecond, Limit: 1500 * time.Millisecond}

// domainTable has local endpoints, whose agents report the given usage, and idle ones in
// another failure domain.
func domainTable(locals, remotes int, usage placement.Usage) (*RoutingTable, *Route, *Service) {
	routing, service := testRoutingTable(0)
	for i := range locals + remotes {
		endpoint := NewEndpoint(agentAt(i), service, placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: 3, Remote: i >= locals})
		u := placement.Usage{ProcessingTime: 40 * time.Millisecond}
		if i < locals {
			u = usage
		}
		endpoint.AgentLoad.Report(time.Second, u)
		endpoint.Accept()
		service.Holders = append(service.Holders, endpoint)
		routing.Agents[endpoint.Agent] = endpoint
	}
	route := routing.Routes[serviceAddress]
	route.Class = testClass
	return routing, route, service
}

// crossingShare returns the share of flows that cross, each placed by another balancer by the
// same reports.
func crossingShare(endpoints int, usage placement.Usage) float64 {
	crossing := 0
	const flows = 400
	for i := range flows {
		routing, _, _ := domainTable(endpoints, 2*endpoints, usage)
		a := NewAssignments(time.Minute, rand.New(rand.NewPCG(uint64(i), 2)))
		d := a.FromCaller(time.Second, Packet{Flow: callerKey(i), Opening: true}, routing, nil)
		if d.Crosses {
			crossing++
		}
	}
	return float64(crossing) / flows
}

// Bytes between failure domains are expensive: a flow must not cross while an endpoint of its
// own domain can start the request soon enough.
func TestFlowStaysInDomainWithRoom(t *testing.T) {
	const work = 40 * time.Millisecond
	for name, c := range map[string]struct {
		usage    placement.Usage
		from, to float64
	}{
		"idle":                        {placement.Usage{}, 0, 0},
		"slots taken, short wait":     {placement.Usage{Running: 4, Mean: 4, ProcessingTime: work}, 0, 0},
		"a little beyond the border":  {placement.Usage{Running: 5, Mean: 5, ProcessingTime: work}, 0.2, 0.5},
		"far beyond":                  {placement.Usage{Running: 12, Mean: 12, ProcessingTime: work}, 1, 1},
		"processing time not known":   {placement.Usage{Running: 4, Mean: 4}, 1, 1},
		"failing":                     {placement.Usage{Failing: 0.5, ProcessingTime: work}, 1, 1},
		"silent":                      {placement.Usage{Silent: true, ProcessingTime: work}, 1, 1},
		"agent stops":                 {placement.Usage{Leaving: true, ProcessingTime: work}, 1, 1},
		"long requests, little queue": {placement.Usage{Running: 4, Mean: 4, ProcessingTime: 5 * work}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, endpoints := range []int{3, 16} {
				must.Between(t, c.from, crossingShare(endpoints, c.usage), c.to)
			}
		})
	}
}

// If no failure domain has a healthy endpoint, a flow is placed as before.
func TestFlowIsPlacedIfNoEndpointIsHealthy(t *testing.T) {
	routing, _, service := domainTable(3, 3, placement.Usage{Silent: true})
	for _, endpoint := range service.Accepting {
		endpoint.AgentLoad.Report(time.Second, placement.Usage{Silent: true})
	}
	must.EqOp(t, Opened, newTestAssignments().FromCaller(time.Second, Packet{Flow: callerKey(1), Opening: true}, routing, nil).Reason)
}

// Routes without a class, or with one that lacks a goal or a limit, are served as before: the
// same endpoints are chosen with the same random numbers.
func TestPlacementWithoutClassIsUnchanged(t *testing.T) {
	for _, class := range []Class{{}, {Limit: time.Second}, {Priority: 3, Goal: time.Second}} {
		for _, endpoints := range []int{3, 16} {
			routing, route, service := domainTable(endpoints, 2*endpoints, placement.Usage{Running: 1, Mean: 1})
			_, _, reference := domainTable(endpoints, 2*endpoints, placement.Usage{Running: 1, Mean: 1})
			route.Class = class
			placed := NewAssignments(time.Minute, rand.New(rand.NewPCG(1, 2)))
			expected := NewAssignments(time.Minute, rand.New(rand.NewPCG(1, 2)))
			crossed := false
			for i := range 200 {
				first, second := expected.choose(time.Second, reference, callerKey(i), assignment{})
				d := placed.FromCaller(time.Second, Packet{Flow: callerKey(i), Opening: true}, routing, nil)
				must.EqOp(t, service.Accepting[first].Agent, d.To)
				must.EqOp(t, service.Accepting[second].Agent, d.Alternate)
				must.EqOp(t, reference.Accepting[second].AgentLoad.Running(), int64(d.AlternateRunning))
				crossed = crossed || d.Crosses
			}
			must.True(t, crossed, must.Sprint("the fixed cost lets flows cross"))
		}
	}
}

// The agent of a busy endpoint forwards opening packets to the alternate: that must not send
// flows to another failure domain either.
func TestAlternateIsInTheSameDomain(t *testing.T) {
	routing, _, _ := domainTable(3, 6, placement.Usage{Running: 3, Mean: 3, ProcessingTime: 40 * time.Millisecond})
	a := newTestAssignments()
	d := a.FromCaller(time.Second, Packet{Flow: callerKey(1), Opening: true}, routing, nil)
	must.False(t, routing.Agents[d.Alternate].Remote)

	// A domain's only endpoint has an alternate elsewhere, in case it does not answer; that is
	// used for lack of room only beyond the wait that is short enough for the goal.
	routing, _, _ = domainTable(1, 2, placement.Usage{Running: 3, Mean: 3, ProcessingTime: 40 * time.Millisecond})
	d = newTestAssignments().FromCaller(time.Second, Packet{Flow: callerKey(1), Opening: true}, routing, nil)
	must.False(t, d.Crosses)
	must.True(t, routing.Agents[d.Alternate].Remote)
	must.EqOp(t, 4, d.AlternateRunning)
	agent := NewAgentTable(time.Second, 3, time.Minute, true)
	for running, forwards := range map[int]bool{3: false, 4: false, 5: true} {
		agent.running = running
		_, away := agent.shouldForward(time.Second, Delivery{Alternate: d.Alternate, AlternateRunning: d.AlternateRunning})
		must.EqOp(t, forwards, away)
	}
}

// The rule must not cost answers in time: it is compared with the one before at each load.
func TestRoomRuleCrossesLessAndServesAsWell(t *testing.T) {
	for _, load := range domainLoads {
		// A phase is enough for the comparison; BenchmarkDomains replays several.
		before, after := replayDomainLoad(load, domainRules[0], replayPhase), replayDomainLoad(load, domainRules[1], replayPhase)
		t.Logf("%s: before %+v, after %+v", load.name, before, after)
		must.GreaterEq(t, share(before.onTime, before.requests)-0.3, share(after.onTime, after.requests))
		must.LessEq(t, before.flowsCrossing/4, after.flowsCrossing)
	}
}
