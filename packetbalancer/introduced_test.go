package packetbalancer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// startingState returns the control state of a balancer that has just read the directory, and
// knows no other balancer.
func startingState(now time.Duration) *state {
	s := stateWith(directory.Change{})
	s.directory = directory.NewState()
	s.directory.Apply(now, beforeMove())
	s.traffic.assignments = flow.NewAssignments(time.Minute, newRandom())
	s.recordPosition()
	return s
}

// After all balancers were killed while the entry of an endpoint had expired, none knew of the
// endpoint, and its flows were reset. Now its agent introduces itself.
func TestAgentOfUnknownEndpointIsSearched(t *testing.T) {
	now := clock.Now()
	s, unknown := startingState(now), flow.Address{IP: [4]byte{10, 0, 0, 9}, Port: 7720}
	queried := queriedAgents(s, now)
	s.agentIntroduced(now, agentIntroduced{agent: unknown, usage: placement.Usage{FlowsKnown: true}})
	s.publishIntroduced(now)
	endpoint := s.traffic.table.Load().Agents[unknown]
	must.NotNil(t, endpoint)
	must.True(t, endpoint.Introduced)
	must.SliceEmpty(t, endpoint.Service.Accepting)
	must.EqOp(t, queried+1, queriedAgents(s, now))

	// Without reports it is forgotten.
	s.agentLoad(unknown).Report(now, placement.Usage{})
	s.publish(now + introductionLifetime)
	must.MapNotContainsKey(t, s.traffic.table.Load().Agents, unknown)
}

// A balancer that is restarted learns of such agents from the one that it takes the directory
// from, and waits for their answers although they have not reported to it yet.
func TestIntroducedAgentsAreHandedOver(t *testing.T) {
	now := clock.Now()
	s, unknown := startingState(now), flow.Address{IP: [4]byte{10, 0, 0, 9}, Port: 7720}
	s.agentIntroduced(now, agentIntroduced{agent: unknown, usage: placement.Usage{FlowsKnown: true}})
	change := s.directorySnapshot(now, directory.Request{})
	must.Eq(t, []netip.AddrPort{unknown.AddrPort()}, change.Introduced)
	silent := s.directorySnapshot(now+introductionLifetime, directory.Request{})
	must.SliceEmpty(t, silent.Introduced)

	restarted := startingState(now)
	restarted.takeOverIntroduced(now, change.Introduced)
	restarted.publishIntroduced(now)
	must.MapContainsKey(t, restarted.traffic.table.Load().Agents, unknown)
	restarted.publish(now + introductionLifetime)
	must.MapNotContainsKey(t, restarted.traffic.table.Load().Agents, unknown)
}

// Agents that report while the registry does not answer are still known when it does.
func TestIntroducedAgentsAreKeptUntilDirectoryIsKnown(t *testing.T) {
	now, unknown := clock.Now(), flow.Address{IP: [4]byte{10, 0, 0, 9}, Port: 7720}
	s := startingState(now)
	s.directory = directory.NewState()
	s.agentIntroduced(now, agentIntroduced{agent: unknown})
	s.publishIntroduced(now)
	must.MapEmpty(t, s.traffic.table.Load().Agents)
	later := now + 2*introductionLifetime
	s.agentIntroduced(later, agentIntroduced{agent: unknown})
	s.directory.Apply(later, beforeMove())
	s.publishIntroduced(later)
	must.MapContainsKey(t, s.traffic.table.Load().Agents, unknown)
}

// A registered endpoint is used by its entry, also if its agent introduced itself first.
func TestEntryGoesBeforeIntroduction(t *testing.T) {
	now := clock.Now()
	s := startingState(now)
	agent := s.agentAddress(endpointOf(1, "orders", 2).Address)
	s.agentIntroduced(now, agentIntroduced{agent: agent})
	s.publishIntroduced(now)
	endpoint := s.traffic.table.Load().Agents[agent]
	must.False(t, endpoint.Introduced)
	must.EqOp(t, "orders", endpoint.Service.Name)
}

// Balancers that have run for a while removed unknown agents on purpose, and in a large
// deployment they would not be searched.
func TestOnlyYoungBalancersTakeUpUnknownAgents(t *testing.T) {
	now := clock.Now()
	unknown := agentIntroduced{agent: flow.Address{IP: [4]byte{10, 0, 0, 9}, Port: 7720}}
	s := startingState(now - introductionPeriod)
	s.agentIntroduced(now, unknown)
	must.MapEmpty(t, s.introduced)

	first := stateAtFirstStart(beforeMove())
	first.recordPosition()
	first.agentIntroduced(now, unknown)
	must.MapEmpty(t, first.introduced)

	young := startingState(now)
	for i := range 2 * maxAssumedHolders {
		young.takeUp(now, flow.Address{Port: uint16(i + 1)})
	}
	must.MapLen(t, maxAssumedHolders, young.introduced)

	large := startingState(now)
	table := flow.NewRoutingTable()
	for i := range maxAssumedHolders + 1 {
		table.Agents[flow.Address{Port: uint16(i + 1)}] = new(flow.Endpoint)
	}
	large.traffic.table.Store(table)
	large.takeUp(now, unknown.agent)
	must.MapEmpty(t, large.introduced)
}

// After a loss of power, agents whose endpoints did not return introduced themselves to a few
// balancers. The others learned of them, got no reports, and waited for their answers for
// seconds: each lost flow ended 2 to 4 s late.
func TestIntroducedAgentsGetHellos(t *testing.T) {
	hellos := func(agents ...netip.AddrPort) int64 {
		now := clock.Now()
		s := startingState(now)
		s.traffic.peers = new(net.UDPConn)
		s.takeOverIntroduced(now, agents)
		s.publish(now)
		s.sendHellos(now)
		count, _ := s.traffic.counters.Domains.Sent(wire.HelloKind, false)
		return count
	}
	must.EqOp(t, hellos()+1, hellos(netip.MustParseAddrPort("10.0.0.9:7720")))
}

// Balancers told each other of an agent that had ended for as long as one of them had taken it up
// in the last seconds, so that each of them took it up again and again.
func TestAgentThatCeasedToReportIsNotTakenUpAgain(t *testing.T) {
	now := clock.Now()
	s, unknown := startingState(now), flow.Address{IP: [4]byte{10, 0, 0, 9}, Port: 7720}
	s.agentIntroduced(now, agentIntroduced{agent: unknown})
	later := now + introductionLifetime
	s.publish(later)
	s.takeOverIntroduced(later, []netip.AddrPort{unknown.AddrPort()})
	must.MapNotContainsKey(t, s.introduced, unknown)
	s.agentIntroduced(later, agentIntroduced{agent: unknown})
	must.MapContainsKey(t, s.introduced, unknown)
}
