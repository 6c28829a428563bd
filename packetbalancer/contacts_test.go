package packetbalancer

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"cactustray/contact"
	"cactustray/directory"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"

	"github.com/shoenig/test/must"
)

var zoneNames = []string{"a", "b", "c"}

// balancerAt returns the address of a balancer of a test fleet; it is in zoneNames[i%3].
func balancerAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(i >> 8), byte(i)}), 7720)
}

// spreadEndpoints returns endpoints of a service that are spread over the failure domains.
func spreadEndpoints(service string, from, count int) []directory.Endpoint {
	var endpoints []directory.Endpoint
	for i := from; i < from+count; i++ {
		e := endpointOf(i, service, 2)
		e.Zone, e.Slots, e.Incarnation = zoneNames[i%len(zoneNames)], 3, 1_767_225_600_000
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// fleetState returns the control state of a balancer of a test fleet, which sends its datagrams
// nowhere and counts them.
func fleetState(i int, endpoints []directory.Endpoint) *state {
	s := stateWith(directory.Change{
		Era: 1, Revision: 9, Snapshot: true, AsOf: time.Minute, Endpoints: endpoints,
		Desired: &directory.Desired{Version: 1, Era: 1, ModRevision: 4, Routes: []directory.Route{routeTo(80, "orders"), routeTo(81, "drawings")}},
	})
	s.settings.Zone = zoneNames[i%len(zoneNames)]
	s.settings.Packets.Peer, s.settings.Packets.Control = balancerAt(i), netip.AddrPortFrom(balancerAt(i).Addr(), 7721)
	s.schedule = directory.NewReaderSchedule(balancerAt(i))
	s.dissemination = directory.NewDissemination(balancerAt(i), s.settings.Zone)
	s.reader = newReader(nil, nil, s.log)
	s.traffic.peers, s.traffic.assignments = new(net.UDPConn), flow.NewAssignments(time.Minute, newRandom())
	return s
}

// step does what the control goroutine does at a tick.
func (s *state) step(now time.Duration) {
	if now-s.lastHello >= helloInterval {
		s.sendHellos(now)
	} else if now-s.lastPublish < eagerHelloPeriod {
		s.sendHellosToUnresponsive(now)
	}
	s.sendRemoteHellos(now)
	s.checkContacts(now)
}

// reportAll delivers reports of the agents in touch for which alive returns true, at the
// intervals requested.
func (s *state) reportAll(now time.Duration, usage placement.Usage, alive func(*flow.Endpoint) bool) {
	for _, e := range s.traffic.table.Load().Agents {
		if e.Distant || !alive(e) {
			continue
		}
		interval, _ := s.contacts.requested(e)
		usage.Interval = max(interval, placement.ReportInterval)
		if reported := e.AgentLoad.ReportedAt(); reported == 0 || now-reported >= usage.Interval || e.AgentLoad.Interval() != usage.Interval {
			e.AgentLoad.Report(now, usage)
		}
	}
}

// run advances the time of one balancer.
func (s *state) run(from, to time.Duration, usage placement.Usage, alive func(*flow.Endpoint) bool) {
	for now := from; now < to; now += tickInterval {
		s.reportAll(now, usage, alive)
		s.step(now)
	}
}

func everyAgent(*flow.Endpoint) bool { return true }

func (s *state) remoteInTouch(service string) (agents []*flow.Endpoint) {
	for _, e := range s.traffic.table.Load().Agents {
		if e.Remote && !e.Distant && e.Service.Name == service {
			agents = append(agents, e)
		}
	}
	return agents
}

// In services with few endpoints nothing depends on failure domains: every agent gets a hello
// message every 0.5 s that requests nothing, and all get new flows.
func TestSmallServicesAreServedAsBefore(t *testing.T) {
	s := fleetState(0, append(spreadEndpoints("orders", 0, 12), spreadEndpoints("drawings", 12, 12)...))
	now := time.Minute
	s.publish(now)
	s.run(now, now+10*time.Second, placement.Usage{Running: 1}, everyAgent)
	for _, service := range s.traffic.table.Load().Services {
		must.Len(t, 12, service.Accepting)
	}
	must.MapEmpty(t, s.contacts.services)
	near, _ := s.traffic.counters.Domains.Sent(wire.HelloKind, false)
	far, _ := s.traffic.counters.Domains.Sent(wire.HelloKind, true)
	must.EqOp(t, 8*20, near)
	must.EqOp(t, 16*20, far)
	for _, e := range s.traffic.table.Load().Agents {
		interval, managed := s.contacts.requested(e)
		must.False(t, managed)
		must.EqOp(t, 0, interval)
	}
}

// In a large service, all balancers of a domain keep in touch with the same few agents of the
// others, and the flows of each are placed at these or in its own domain.
func TestLargeServiceIsServedByOwnDomainAndSubset(t *testing.T) {
	endpoints := spreadEndpoints("orders", 0, 60)
	var chosen [][]string
	for _, i := range []int{0, 3} {
		s := fleetState(i, endpoints)
		s.publish(time.Minute)
		s.run(time.Minute, time.Minute+10*time.Second, placement.Usage{Running: 1}, everyAgent)
		var agents []string
		for _, e := range s.remoteInTouch("orders") {
			agents = append(agents, e.Agent.String())
		}
		chosen = append(chosen, agents)
		must.Len(t, 8, agents)
		must.EqOp(t, contact.SlowInterval, s.contacts.services["orders"].Interval())
		for _, service := range s.traffic.table.Load().Services {
			if service.Name == "orders" {
				must.Len(t, 28, service.Accepting)
				must.Len(t, 60, service.Holders)
			}
		}
	}
	must.SliceContainsAll(t, chosen[0], chosen[1])
}

// If the agents of the subset die, the next ones take over within seconds, although the registry
// still lists their endpoints.
func TestSubsetIsReplacedWithinSeconds(t *testing.T) {
	s := fleetState(0, spreadEndpoints("orders", 0, 60))
	now := time.Minute
	s.publish(now)
	s.run(now, now+10*time.Second, placement.Usage{Running: 1}, everyAgent)
	now += 10 * time.Second
	dead := make(map[flow.Address]bool)
	for _, e := range s.remoteInTouch("orders") {
		dead[e.Agent] = true
	}
	alive := func(e *flow.Endpoint) bool { return !dead[e.Agent] }
	replacedAt := time.Duration(0)
	for at := now; at < now+10*time.Second && replacedAt == 0; at += tickInterval {
		s.run(at, at+tickInterval, placement.Usage{Running: 1}, alive)
		usable := 0
		for _, e := range s.remoteInTouch("orders") {
			if alive(e) && e.Usable(at) {
				usable++
			}
		}
		if usable >= 8 {
			replacedAt = at
		}
	}
	must.Positive(t, replacedAt)
	must.LessEq(t, 5*time.Second, replacedAt-now)
	t.Logf("replaced after %v", replacedAt-now)
}

// If the endpoints of the own domain are gone or drain, the agents of all others are in touch at
// once and report at the fast rate.
func TestOwnDomainDrains(t *testing.T) {
	endpoints := spreadEndpoints("orders", 0, 60)
	s := fleetState(0, endpoints)
	now := time.Minute
	s.publish(now)
	s.run(now, now+10*time.Second, placement.Usage{Running: 1}, everyAgent)
	now += 10 * time.Second
	for i := range endpoints {
		if endpoints[i].Zone == "a" {
			endpoints[i].Draining, endpoints[i].Sequence, endpoints[i].ModRevision = true, 1, 10
		}
	}
	s.directory.Apply(now, directory.Change{Era: 1, Revision: 10, After: 9, AsOf: now, Endpoints: endpoints})
	s.publish(now)
	s.run(now, now+500*time.Millisecond, placement.Usage{Running: 1}, everyAgent)
	must.Len(t, 40, s.remoteInTouch("orders"))
	must.EqOp(t, contact.FastInterval, s.contacts.services["orders"].Interval())
	for _, e := range s.remoteInTouch("orders") {
		must.True(t, e.Usable(now+500*time.Millisecond))
	}
}

// An agent of an older build ignores the interval that is requested of it and forgets a balancer
// 2 s after its last hello message: it gets them as often as before, and counts as alive.
func TestAgentsOfOlderBuildsGetHellosAsBefore(t *testing.T) {
	s := fleetState(0, spreadEndpoints("orders", 0, 60))
	now := time.Minute
	s.publish(now)
	s.run(now, now+10*time.Second, placement.Usage{Running: 1}, everyAgent)
	now += 10 * time.Second
	older := s.remoteInTouch("orders")[0]
	lastHello, longest := now, time.Duration(0)
	for at := now; at < now+10*time.Second; at += tickInterval {
		older.AgentLoad.Report(at, placement.Usage{Running: 1, Interval: 117 * time.Millisecond})
		others := func(e *flow.Endpoint) bool { return e != older }
		s.reportAll(at, placement.Usage{Running: 1}, others)
		if s.contacts.hellos.Due(at, older.Agent, contact.SlowInterval, older.AgentLoad.Interval()) {
			longest, lastHello = max(longest, at-lastHello), at
		}
		s.step(at)
		must.True(t, older.AgentLoad.Alive(at))
	}
	must.Positive(t, longest)
	must.LessEq(t, helloInterval, longest)
}

// While the registry does not list an endpoint, its agent is kept in touch: only its reports
// show that the endpoint lives and may hold flows.
func TestDepartedEndpointsAreKeptInTouch(t *testing.T) {
	endpoints := spreadEndpoints("orders", 0, 60)
	s := fleetState(0, endpoints)
	now := time.Minute
	s.publish(now)
	s.run(now, now+10*time.Second, placement.Usage{Running: 1}, everyAgent)
	now += 10 * time.Second
	var departed *flow.Endpoint
	for _, e := range s.traffic.table.Load().Agents {
		if e.Distant {
			departed = e
		}
	}
	must.NotNil(t, departed)
	id := ""
	for _, e := range endpoints {
		if s.agentAddress(e.Address) == departed.Agent {
			id = e.ID
		}
	}
	s.directory.Apply(now, directory.Change{Era: 1, Revision: 10, After: 9, AsOf: now, Deleted: []directory.Deleted{{ID: id, ModRevision: 10}}})
	s.publish(now)
	must.False(t, s.traffic.table.Load().Agents[departed.Agent].Distant)
	before, _ := s.traffic.counters.Domains.Sent(wire.HelloKind, true)
	s.step(now)
	after, _ := s.traffic.counters.Domains.Sent(wire.HelloKind, true)
	must.Greater(t, before, after, must.Sprint("it is sent a hello message at once"))
	for at := now; at < now+5*time.Second; at += rebuildInterval {
		s.directory.Confirm(directory.Position{Era: 1, Revision: 10}, s.directory.Digest(), at)
		s.run(at, at+rebuildInterval, placement.Usage{Running: 1}, everyAgent)
		s.publish(at + rebuildInterval)
		must.MapContainsKey(t, s.traffic.table.Load().Agents, departed.Agent)
	}
}

// Guards against a width without a name in log lines.
func TestWidthsHaveNames(t *testing.T) {
	must.EqOp(t, "narrow wider all", fmt.Sprint(contact.Narrow, contact.Wider, contact.All))
}

// An agent of a newly evacuated domain got no statement of the order from other domains: their
// balancers ended the contact with a message that stated nothing.
func TestEndOfContactStatesEvacuation(t *testing.T) {
	s := fleetState(0, spreadEndpoints("orders", 0, 60))
	s.settings.Packets.EvacuateMillis, s.loggedEvacuations = 5000, make(loggedEvacuations)
	s.publish(time.Minute)
	inTouch := s.remoteInTouch("orders")[0]
	s.directory.Apply(time.Minute, directory.Change{
		Era: 1, After: 9, Revision: 10, AsOf: time.Minute, Evacuations: []directory.Evacuation{{Zone: inTouch.Zone, Era: 1, ModRevision: 10}},
	})
	inTouch.AgentLoad.Report(time.Minute, placement.Usage{Leaving: true})
	farewell := s.farewell(inTouch)
	must.True(t, farewell.Leaving)
	must.True(t, farewell.Evacuated)
	must.EqOp(t, directory.Revision(10), farewell.Position.Revision)

	// The agent's stop has no meaning once the contact has ended: it may have started again.
	s.publish(time.Minute + time.Second)
	must.False(t, inTouch.AgentLoad.Stopped(time.Hour))
}
