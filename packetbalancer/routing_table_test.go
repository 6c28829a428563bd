package packetbalancer

import (
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/placement"
	"cactustray/settings"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// stateWith returns a control state with the given directory.
func stateWith(change directory.Change) *state {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &state{
		settings: &settings.Settings{Zone: "a", Packets: &settings.PacketSettings{Peer: netip.MustParseAddrPort("10.0.0.1:7720"), FlowSeconds: 60}},
		log:      event.NewLog(logger, "test"), directory: directory.NewState(),
		loads: make(map[flow.Address]*placement.AgentLoad), introduced: make(map[flow.Address]time.Duration), traffic: new(forwarder),
	}
	s.traffic.table.Store(flow.NewRoutingTable())
	s.directory.Apply(clock.Now(), change)
	return s
}

func endpointOf(i int, service string, changed directory.Revision) directory.Endpoint {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
	return directory.Endpoint{ID: fmt.Sprint("i-", i), Incarnation: 1, Service: service, Address: address, Zone: "a", Slots: 2, ModRevision: changed}
}

func routeTo(port uint16, service string) directory.Route {
	return directory.Route{Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port), Shares: []directory.Share{{Service: service, Weight: 1}}}
}

func TestRoutingTableFromDirectory(t *testing.T) {
	draining := endpointOf(2, "orders", 3)
	draining.Draining = true
	remote := endpointOf(3, "orders", 4)
	remote.Zone = "b"
	s := stateWith(directory.Change{
		Revision: 9, Snapshot: true, Desired: &directory.Desired{Routes: []directory.Route{routeTo(80, "orders"), routeTo(81, "nobody")}},
		Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2), draining, remote},
	})
	table := newTableBuilder(clock.Now(), s).build()
	orders := table.Routes[flow.AddressOf(netip.MustParseAddrPort("198.18.0.1:80"))].Shares[0].Service
	must.EqOp(t, 2, len(orders.Accepting))
	must.EqOp(t, 3, len(orders.Holders))
	must.SliceEmpty(t, table.Routes[flow.AddressOf(netip.MustParseAddrPort("198.18.0.1:81"))].Shares[0].Service.Accepting)
	endpoint := table.Agents[flow.AddressOf(netip.MustParseAddrPort("10.0.0.3:7720"))]
	must.True(t, endpoint.Remote)
	must.EqOp(t, orders, endpoint.Service)
}

// An entry of a service that no route names does not take the address of an endpoint that
// has routes, whoever wrote it and however late.
func TestEntryOfUnnamedServiceTakesNoAddress(t *testing.T) {
	odd := endpointOf(1, "nonsense", 8)
	odd.ID = "i-odd"
	s := stateWith(directory.Change{
		Revision: 9, Snapshot: true, Desired: &directory.Desired{Version: 1, Routes: []directory.Route{routeTo(80, "orders")}},
		Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2), odd},
	})
	table := newTableBuilder(clock.Now(), s).build()
	must.MapLen(t, 1, table.Agents)
	for _, endpoint := range table.Agents {
		must.EqOp(t, "orders", endpoint.Service.Name)
	}
}

// An address that is reused by another service belongs to the newer entry. The load
// reported for the address outlives a rebuild of the table.
func TestReusedAddressBelongsToNewerEntry(t *testing.T) {
	old, next := endpointOf(1, "orders", 2), endpointOf(1, "drawings", 5)
	next.ID = "i-new"
	s := stateWith(directory.Change{Revision: 9, Snapshot: true, Desired: new(directory.Desired), Endpoints: []directory.Endpoint{old, next}})
	table := newTableBuilder(clock.Now(), s).build()
	must.MapLen(t, 1, table.Agents)
	for _, endpoint := range table.Agents {
		must.EqOp(t, "drawings", endpoint.Service.Name)
		endpoint.AgentLoad.Report(time.Second, placement.Usage{Running: 3})
	}
	again := newTableBuilder(clock.Now(), s).build()
	for _, endpoint := range again.Agents {
		must.EqOp(t, 3, endpoint.AgentLoad.Running())
	}
}

// fullDirectory returns a directory with the number of services and endpoints that
// the system is designed for.
func fullDirectory() directory.Change {
	const services, endpoints = 2100, 24000
	change := directory.Change{Revision: 1, Snapshot: true, Desired: &directory.Desired{ModRevision: 1}}
	for i := range services {
		change.Desired.Routes = append(change.Desired.Routes, routeTo(uint16(i+1), fmt.Sprint("s-", i)))
	}
	for i := range endpoints {
		change.Endpoints = append(change.Endpoints, endpointOf(i, fmt.Sprint("s-", i%services), 1))
	}
	return change
}

// Measures the rebuild of the routing table after a change of one endpoint.
func BenchmarkBuildFullRoutingTable(b *testing.B) {
	s := stateWith(fullDirectory())
	for b.Loop() {
		newTableBuilder(clock.Now(), s).build()
	}
}

// Measures an update with heartbeats of a tenth of the endpoints.
func BenchmarkApplyHeartbeats(b *testing.B) {
	whole := fullDirectory()
	s := stateWith(whole)
	revision := directory.Revision(1)
	for b.Loop() {
		revision++
		change := directory.Change{After: revision - 1, Revision: revision}
		for i := 0; i < len(whole.Endpoints); i += 10 {
			e := whole.Endpoints[i]
			e.ModRevision = revision
			change.Endpoints = append(change.Endpoints, e)
		}
		s.directory.Apply(clock.Now(), change)
	}
}

// An endpoint whose entry was deleted may hold flows until its agent has announced its
// stop and has not reported again. An agent that is only unresponsive may still be
// running.
func TestDepartedEndpointMayHoldFlowsUntilItsAgentStops(t *testing.T) {
	s := stateWith(directory.Change{Revision: 9, Snapshot: true, Desired: new(directory.Desired), Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2), endpointOf(2, "orders", 3)}})
	start := clock.Now()
	inTable := func(now time.Duration) int { return len(newTableBuilder(now, s).build().Agents) }
	must.EqOp(t, 2, inTable(start))
	s.directory.Apply(start, directory.Change{Revision: 12, After: 9, Deleted: []directory.Deleted{{ID: "i-1", ModRevision: 12}, {ID: "i-2", ModRevision: 12}}})
	s.loads[s.agentAddress(endpointOf(1, "orders", 2).Address)].Report(start, placement.Usage{Leaving: true})
	s.loads[s.agentAddress(endpointOf(2, "orders", 3).Address)].Report(start, placement.Usage{})
	must.EqOp(t, 2, inTable(start+5*time.Second))
	must.EqOp(t, 1, inTable(start+11*time.Second))
	must.Len(t, 1, s.directorySnapshot(start+11*time.Second, directory.Request{}).Departed)
}

// While every endpoint of a service drains, they get new flows until the drain limit; with
// another endpoint they get none, and neither does one that is known only as draining.
func TestDrainingEndpointsAcceptFlowsIfThereIsNoOther(t *testing.T) {
	drains := func(i int, changed directory.Revision) directory.Endpoint {
		e := endpointOf(i, "orders", changed)
		e.Draining = true
		return e
	}
	start := clock.Now()
	known := directory.Change{
		Revision: 9, Snapshot: true, AsOf: start, Desired: &directory.Desired{Routes: []directory.Route{routeTo(80, "orders")}},
		Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2), endpointOf(2, "orders", 3), drains(3, 4)},
	}
	s := stateWith(known)
	s.drainLimit = 3 * time.Second
	accepting := func(now time.Duration) int {
		return len(newTableBuilder(now, s).build().Routes[flow.AddressOf(routeTo(80, "").Address)].Shares[0].Service.Accepting)
	}
	must.EqOp(t, 2, accepting(start))
	s.directory.Apply(start, directory.Change{Revision: 10, After: 9, AsOf: start + time.Second, Endpoints: []directory.Endpoint{drains(1, 10)}})
	must.EqOp(t, 1, accepting(start+time.Second))
	s.directory.Apply(start, directory.Change{Revision: 11, After: 10, AsOf: start + 2*time.Second, Endpoints: []directory.Endpoint{drains(2, 11)}})
	// The second began to drain after start+1s, the first after start.
	must.EqOp(t, 2, accepting(start+2*time.Second))
	must.EqOp(t, 1, accepting(start+3*time.Second))
	must.EqOp(t, 0, accepting(start+3800*time.Millisecond))
}

// An endpoint whose entry is still missing after the time in which expired entries return,
// and whose agent does not report, is gone: searches do not wait for it. Its agent's reports,
// or an outage of the registry, keep it.
func TestMissingEndpointWithUnresponsiveAgentIsGone(t *testing.T) {
	start := clock.Now()
	s := stateWith(directory.Change{Revision: 9, Snapshot: true, AsOf: start, Desired: new(directory.Desired), Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2), endpointOf(2, "orders", 3)}})
	holders := func(now time.Duration) int { return len(newTableBuilder(now, s).build().Agents) }
	must.EqOp(t, 2, holders(start))
	s.directory.Apply(start, directory.Change{Revision: 12, After: 9, AsOf: start, Deleted: []directory.Deleted{{ID: "i-1", ModRevision: 12}, {ID: "i-2", ModRevision: 12}}})
	later := start + 10*time.Second
	must.EqOp(t, 2, holders(later), must.Sprint("the registry was not read since"))
	s.directory.Confirm(directory.Position{Revision: 13}, s.directory.Digest(), later)
	must.EqOp(t, 0, holders(later))
	s.loads[s.agentAddress(endpointOf(1, "orders", 2).Address)].Report(later, placement.Usage{})
	must.EqOp(t, 1, holders(later))
}

// A balancer that starts learns of departed endpoints from another one, and has had no report
// of their agents yet: they may hold flows until their agents had time to report. An agent
// that reported may be restarting.
func TestDepartedEndpointIsNotGoneBeforeItsAgentCouldReport(t *testing.T) {
	start := clock.Now()
	running := stateWith(directory.Change{Revision: 9, Snapshot: true, AsOf: start, Desired: new(directory.Desired), Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2)}})
	running.directory.Apply(start, directory.Change{Revision: 12, After: 9, AsOf: start, Deleted: []directory.Deleted{{ID: "i-1", ModRevision: 12}}})
	now := start + 20*time.Second
	running.directory.Confirm(directory.Position{Revision: 13}, running.directory.Digest(), now)
	running.loads[running.agentAddress(endpointOf(1, "orders", 2).Address)] = new(placement.AgentLoad)

	started := stateWith(directory.Change{Revision: 13, Snapshot: true, AsOf: now, Desired: new(directory.Desired)})
	snapshot := running.directorySnapshot(now, directory.Request{AllDeparted: true})
	started.directory.Apply(now, snapshot)
	holders := func(at time.Duration) int {
		started.directory.Confirm(directory.Position{Revision: 14}, started.directory.Digest(), at)
		return len(newTableBuilder(at, started).build().Agents)
	}
	must.EqOp(t, 1, holders(now))
	must.EqOp(t, 1, holders(now+900*time.Millisecond))
	must.EqOp(t, 0, holders(now+1100*time.Millisecond))
	started.loads[started.agentAddress(endpointOf(1, "orders", 2).Address)].Report(now+time.Second, placement.Usage{})
	must.EqOp(t, 1, holders(now+3*time.Second))
	must.EqOp(t, 0, holders(now+5*time.Second))
}
