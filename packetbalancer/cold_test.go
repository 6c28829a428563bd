package packetbalancer

import (
	"net/netip"
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/flow"
	"cactustray/flow/wire"

	"github.com/shoenig/test/must"
)

// coldState has a cold endpoint of the service orders, which bears 2.5 new flows a second.
func coldState() *state {
	cold := endpointOf(1, "orders", 2)
	cold.WarmUpTime = time.Minute
	s := stateWith(directory.Change{Era: 1, Revision: 9, Snapshot: true, Endpoints: []directory.Endpoint{cold}, Desired: &directory.Desired{
		Version: 1, Routes: []directory.Route{routeTo(80, "orders")}, Services: []directory.Service{{Name: "orders", ColdRate: 2.5}},
	}})
	s.schedule = directory.NewReaderSchedule(s.settings.Packets.Peer)
	return s
}

// A balancer states the rate and the remaining cold time, and takes its share of the rate; without
// the setting it places as before.
func TestColdEndpointIsStatedAndPaced(t *testing.T) {
	s := coldState()
	endpointOfTable := func() *flow.Endpoint {
		return newTableBuilder(clock.Now(), s).build().Agents[flow.AddressOf(netip.MustParseAddrPort("10.0.0.1:7720"))]
	}
	endpoint := endpointOfTable()
	must.EqOp(t, 0, endpoint.ColdInterval)
	var hello wire.Hello
	s.addStatement(&hello, endpoint)
	must.EqOp(t, 2.5, hello.ColdRate)
	must.Between(t, 50*time.Second, hello.ColdLeft, time.Minute)
	s.settings.Packets.ColdExcess = 1.5
	must.EqOp(t, 400*time.Millisecond, endpointOfTable().ColdInterval)
	s.schedule.RecordPeer(clock.Now(), netip.MustParseAddrPort("10.0.9.9:7720"))
	must.EqOp(t, 800*time.Millisecond, endpointOfTable().ColdInterval)
}

// A service that states no rate, or one that is missing from the desired state, is not limited.
func TestNoPaceWithoutRate(t *testing.T) {
	s := coldState()
	s.settings.Packets.ColdExcess = 1.5
	b := newTableBuilder(clock.Now(), s)
	must.EqOp(t, 0, b.coldInterval("drawings"))
	b.rates = map[string]float64{"orders": 1e-9, "drawings": 0}
	must.EqOp(t, maxColdInterval, b.coldInterval("orders"))
	must.EqOp(t, 0, b.coldInterval("drawings"))
}
