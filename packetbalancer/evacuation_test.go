package packetbalancer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"
	"cactustray/settings"
	"cactustray/steering/datagram"

	"github.com/shoenig/test/must"
)

// zonedDirectory is a directory with service orders in the domains a and b, and drawings in b.
func zonedDirectory(orders ...directory.Evacuation) directory.Change {
	remote, other := endpointOf(2, "orders", 3), endpointOf(3, "drawings", 4)
	remote.Zone, other.Zone = "b", "b"
	return directory.Change{
		Era: 1, Revision: 9, Snapshot: true, Desired: &directory.Desired{Version: 1, Routes: []directory.Route{routeTo(80, "orders"), routeTo(81, "drawings")}},
		Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2), remote, other}, Evacuations: orders,
	}
}

func evacuatingState(change directory.Change) *state {
	s := stateWith(change)
	s.settings.Packets.EvacuateMillis = 5000
	s.loggedEvacuations = make(loggedEvacuations)
	return s
}

// acceptingIn returns the failure domains of the endpoints of a route that accept new flows.
func acceptingIn(table *flow.RoutingTable, port uint16) (zones []string) {
	for _, endpoint := range serviceAt(table, port).Accepting {
		zones = append(zones, endpoint.Zone)
	}
	slices.Sort(zones)
	return zones
}

func serviceAt(table *flow.RoutingTable, port uint16) *flow.Service {
	return table.Routes[flow.AddressOf(routeTo(port, "").Address)].Shares[0].Service
}

// Endpoints of evacuated failure domains get no new flows, and keep those that they have. A
// service without an endpoint elsewhere is marked.
func TestEvacuatedEndpointsAcceptNothing(t *testing.T) {
	order := directory.Evacuation{Zone: "b", ModRevision: 8}
	for name, c := range map[string]struct {
		orders             []directory.Evacuation
		orders80, orders81 []string
		refused            bool
	}{
		"none":        {nil, []string{"a", "b"}, []string{"b"}, false},
		"one":         {[]directory.Evacuation{order}, []string{"a"}, nil, false},
		"both":        {[]directory.Evacuation{order, {Zone: "a", ModRevision: 7}}, nil, nil, true},
		"unknown":     {[]directory.Evacuation{{Zone: "z", ModRevision: 8}}, []string{"a", "b"}, []string{"b"}, false},
		"withdrawn":   {[]directory.Evacuation{order, {Zone: "b", ModRevision: 9, Ended: true}}, []string{"a", "b"}, []string{"b"}, false},
		"other order": {[]directory.Evacuation{{Zone: "a", ModRevision: 7}}, []string{"b"}, []string{"b"}, false},
	} {
		s := evacuatingState(zonedDirectory(c.orders...))
		table := newTableBuilder(clock.Now(), s).build()
		must.Eq(t, c.orders80, acceptingIn(table, 80), must.Sprint(name))
		must.Eq(t, c.orders81, acceptingIn(table, 81), must.Sprint(name))
		must.EqOp(t, c.refused, serviceAt(table, 80).Evacuated, must.Sprint(name))
		must.EqOp(t, len(c.orders81) == 0, serviceAt(table, 81).Evacuated, must.Sprint(name))
		must.MapLen(t, 3, table.Agents)
		must.Len(t, 2, serviceAt(table, 80).Holders)
	}
}

// Without the setting, orders are ignored; with it, they take effect when the settings change.
func TestOrdersNeedTheSetting(t *testing.T) {
	s := evacuatingState(zonedDirectory(directory.Evacuation{Zone: "b", ModRevision: 8}))
	s.settings.Packets.EvacuateMillis = 0
	table := newTableBuilder(clock.Now(), s).build()
	must.Eq(t, []string{"a", "b"}, acceptingIn(table, 80))
	must.False(t, serviceAt(table, 81).Evacuated)
	hello := wire.Hello{}
	s.addStatement(&hello, table.Agents[flow.AddressOf(netip.MustParseAddrPort("10.0.0.2:7720"))])
	must.False(t, hello.Evacuated)
	changed := &settings.Settings{Packets: &settings.PacketSettings{FlowSeconds: 60, EvacuateMillis: 5000}}
	own, err := datagram.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	must.NoError(t, err)
	defer own.Close()
	s.traffic.peers, s.traffic.assignments = own, flow.NewAssignments(time.Minute, newRandom())
	s.apply(changed)
	must.Eq(t, []string{"a"}, acceptingIn(s.traffic.table.Load(), 80))
}

// A draining endpoint of an evacuated domain gets no new flows, also if its service has no other.
func TestDrainingEndpointOfEvacuatedDomainAcceptsNothing(t *testing.T) {
	s := evacuatingState(zonedDirectory(directory.Evacuation{Zone: "b", ModRevision: 8}))
	s.drainLimit = 3 * time.Second
	draining := endpointOf(3, "drawings", 12)
	draining.Zone, draining.Draining = "b", true
	s.directory.Apply(clock.Now(), directory.Change{Era: 1, After: 9, Revision: 12, AsOf: clock.Now(), Endpoints: []directory.Endpoint{draining}})
	must.SliceEmpty(t, acceptingIn(newTableBuilder(clock.Now(), s).build(), 81))
}

// Hello messages state whether the agent's domain is evacuated, and at which position.
func TestHelloStatesEvacuation(t *testing.T) {
	s := evacuatingState(zonedDirectory(directory.Evacuation{Zone: "b", ModRevision: 8}))
	table := newTableBuilder(clock.Now(), s).build()
	for address, want := range map[string]bool{"10.0.0.1:7720": false, "10.0.0.2:7720": true, "10.0.0.3:7720": true} {
		var hello wire.Hello
		s.addStatement(&hello, table.Agents[flow.AddressOf(netip.MustParseAddrPort(address))])
		must.EqOp(t, want, hello.Evacuated)
		must.EqOp(t, directory.Position{Era: 1, Revision: 9}, hello.Position)
	}
}

// The metrics and the log follow the orders; an order for a domain that gets endpoints later is
// logged again.
func TestEvacuationsAreRecorded(t *testing.T) {
	s := evacuatingState(zonedDirectory(directory.Evacuation{Zone: "b", ModRevision: 8}, directory.Evacuation{Zone: "z", ModRevision: 8}))
	table := newTableBuilder(clock.Now(), s).build()
	table.Agents[flow.AddressOf(netip.MustParseAddrPort("10.0.0.2:7720"))].AgentLoad.Report(clock.Now(), placement.Usage{Flows: 3})
	s.traffic.table.Store(table)
	s.recordEvacuations(table)
	must.Eq(t, loggedEvacuations{"b": true, "z": false}, s.loggedEvacuations)
	must.EqOp(t, 2, s.metricValues.evacuations.Load())
	must.EqOp(t, 2, s.metricValues.evacuated.Load())
	must.EqOp(t, 3, s.traffic.evacuatedFlows())
	s.directory.Apply(clock.Now(), directory.Change{Era: 1, After: 9, Revision: 10, Evacuations: []directory.Evacuation{{Zone: "b", ModRevision: 10, Ended: true}}})
	s.recordEvacuations(newTableBuilder(clock.Now(), s).build())
	must.Eq(t, loggedEvacuations{"z": false}, s.loggedEvacuations)
}
