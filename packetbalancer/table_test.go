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

// stateWith returns a control state that holds a directory.
func stateWith(change directory.Change) *state {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &state{
		settings: &settings.Settings{Zone: "a", Packets: &settings.PacketSettings{Peer: netip.MustParseAddrPort("10.0.0.1:7720"), FlowSeconds: 60}},
		log:      event.NewLog(logger, "test"), directory: directory.NewState(),
		gauges: make(map[flow.Address]*placement.Gauge),
	}
	s.directory.Apply(clock.Now(), change)
	return s
}

func endpointOf(i int, service string, changed directory.Revision) directory.Endpoint {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
	return directory.Endpoint{ID: fmt.Sprint("i-", i), Born: 1, Service: service, Address: address, Zone: "a", Slots: 2, Changed: changed}
}

func routeTo(port uint16, service string) directory.Route {
	return directory.Route{Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port), Shares: []directory.Share{{Service: service, Weight: 1}}}
}

func TestMapOfTheDirectory(t *testing.T) {
	draining := endpointOf(2, "orders", 3)
	draining.Draining = true
	remote := endpointOf(3, "orders", 4)
	remote.Zone = "b"
	s := stateWith(directory.Change{
		Revision: 9, Whole: true, Desired: &directory.Desired{Routes: []directory.Route{routeTo(80, "orders"), routeTo(81, "nobody")}},
		Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2), draining, remote},
	})
	m := newMapBuilder(clock.Now(), s).build()
	orders := m.Routes[flow.AddressOf(netip.MustParseAddrPort("198.18.0.1:80"))].Shares[0].Service
	must.EqOp(t, 2, len(orders.Takers))
	must.EqOp(t, 3, len(orders.Holders))
	must.SliceEmpty(t, m.Routes[flow.AddressOf(netip.MustParseAddrPort("198.18.0.1:81"))].Shares[0].Service.Takers)
	site := m.Agents[flow.AddressOf(netip.MustParseAddrPort("10.0.0.3:7720"))]
	must.True(t, site.Remote)
	must.EqOp(t, orders, site.Service)
}

// An address that came back under another service belongs to the newer entry, and
// the load heard of it is kept.
func TestAddressThatCameBack(t *testing.T) {
	old, next := endpointOf(1, "orders", 2), endpointOf(1, "drawings", 5)
	next.ID = "i-new"
	s := stateWith(directory.Change{Revision: 9, Whole: true, Desired: new(directory.Desired), Endpoints: []directory.Endpoint{old, next}})
	m := newMapBuilder(clock.Now(), s).build()
	must.MapLen(t, 1, m.Agents)
	for _, site := range m.Agents {
		must.EqOp(t, "drawings", site.Service.Name)
		site.Gauge.Report(time.Second, placement.Usage{Running: 3})
	}
	again := newMapBuilder(clock.Now(), s).build()
	for _, site := range again.Agents {
		must.EqOp(t, 3, site.Gauge.Running())
	}
}

// fullDirectory has the number of services and endpoints that the system is
// designed for.
func fullDirectory() directory.Change {
	const services, endpoints = 2100, 24000
	change := directory.Change{Revision: 1, Whole: true, Desired: &directory.Desired{Changed: 1}}
	for i := range services {
		change.Desired.Routes = append(change.Desired.Routes, routeTo(uint16(i+1), fmt.Sprint("s-", i)))
	}
	for i := range endpoints {
		change.Endpoints = append(change.Endpoints, endpointOf(i, fmt.Sprint("s-", i%services), 1))
	}
	return change
}

// The map made anew for one changed endpoint.
func BenchmarkFullMap(b *testing.B) {
	s := stateWith(fullDirectory())
	for b.Loop() {
		newMapBuilder(clock.Now(), s).build()
	}
}

// A reading that brings the heartbeats of a tenth of the endpoints.
func BenchmarkFullReading(b *testing.B) {
	whole := fullDirectory()
	s := stateWith(whole)
	revision := directory.Revision(1)
	for b.Loop() {
		revision++
		change := directory.Change{After: revision - 1, Revision: revision}
		for i := 0; i < len(whole.Endpoints); i += 10 {
			e := whole.Endpoints[i]
			e.Changed = revision
			change.Endpoints = append(change.Endpoints, e)
		}
		s.directory.Apply(clock.Now(), change)
	}
}

// An endpoint whose entry is gone may hold flows until its agent has said that it stops
// and has not come back; an agent that is merely not heard says nothing.
func TestGoneEndpointHoldsUntilItsAgentLeft(t *testing.T) {
	s := stateWith(directory.Change{Revision: 9, Whole: true, Desired: new(directory.Desired), Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2), endpointOf(2, "orders", 3)}})
	began := clock.Now()
	held := func(now time.Duration) int { return len(newMapBuilder(now, s).build().Agents) }
	must.EqOp(t, 2, held(began))
	s.directory.Apply(began, directory.Change{Revision: 12, After: 9, Gone: []directory.Gone{{ID: "i-1", Changed: 12}, {ID: "i-2", Changed: 12}}})
	s.gauges[s.agentOf(endpointOf(1, "orders", 2).Address)].Report(began, placement.Usage{Leaving: true})
	s.gauges[s.agentOf(endpointOf(2, "orders", 3).Address)].Report(began, placement.Usage{})
	must.EqOp(t, 2, held(began+5*time.Second))
	must.EqOp(t, 1, held(began+11*time.Second))
	must.Len(t, 1, s.wholeDirectory(began+11*time.Second).Departed)
}
