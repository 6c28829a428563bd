package packetbalancer

import (
	"net/netip"
	"time"

	"cactustray/directory"
	"cactustray/flow"
	"cactustray/placement"

	"github.com/cespare/xxhash/v2"
)

// mapBuilder makes the map that traffic decides by from the directory.
type mapBuilder struct {
	now      time.Duration
	state    *state
	services map[string]*flow.Service
	table    *flow.Map
	// unsettled tells that an endpoint that is gone is still in the map.
	unsettled bool
}

func newMapBuilder(now time.Duration, s *state) *mapBuilder {
	return &mapBuilder{now: now, state: s, services: make(map[string]*flow.Service), table: flow.NewMap()}
}

func (b *mapBuilder) build() *flow.Map {
	b.table.Complete = b.state.survey.complete
	b.table.Current = func() flow.Stamp { return time.Duration(b.state.asOf.Load()) }
	latest := b.latest()
	for _, e := range latest {
		b.add(e)
	}
	for _, route := range b.state.directory.Desired().Routes {
		b.addRoute(route)
	}
	for _, service := range b.services {
		b.table.Services = append(b.table.Services, service)
	}
	return b.table
}

// latest returns the entry in force for each address: addresses come back under
// another endpoint.
func (b *mapBuilder) latest() map[flow.Address]*directory.Entry {
	latest := make(map[flow.Address]*directory.Entry)
	b.state.directory.Each(func(e *directory.Entry) {
		agent := b.state.agentOf(e.Address)
		held := latest[agent]
		if held == nil || held.GoneAt != 0 && e.GoneAt == 0 || (held.GoneAt != 0) == (e.GoneAt != 0) && e.Changed > held.Changed {
			latest[agent] = e
		}
	})
	return latest
}

// agentOf returns where the agent beside an endpoint takes datagrams: on the
// same machine, at the port that all nodes share.
func (s *state) agentOf(endpoint netip.AddrPort) flow.Address {
	agent := flow.AddressOf(endpoint)
	agent.Port = s.settings.Packets.Peer.Port()
	return agent
}

func (b *mapBuilder) add(e *directory.Entry) {
	agent := b.state.agentOf(e.Address)
	gauge := b.state.gauges[agent]
	if gauge == nil {
		gauge = new(placement.Gauge)
		b.state.gauges[agent] = gauge
	}
	alive := gauge.Alive(b.now)
	b.unsettled = b.unsettled || e.GoneAt != 0
	if !e.Holds(gauge.Left(b.now)) {
		return
	}
	service := b.service(e.Service)
	site := flow.NewSite(agent, service, placement.Candidate{
		Gauge: gauge, Slots: e.Slots, Remote: e.Zone != b.state.settings.Zone,
		ColdUntil: e.WarmAt, Learned: e.Learned,
	})
	service.Holders = append(service.Holders, site)
	b.table.Agents[agent] = site
	if e.TakesNew(b.now, alive) {
		service.Takers = append(service.Takers, site)
		service.Candidates = append(service.Candidates, &site.Candidate)
	}
}

func (b *mapBuilder) service(name string) *flow.Service {
	service := b.services[name]
	if service == nil {
		service = &flow.Service{Name: name, Tag: flow.TagOf(xxhash.Sum64String(name))}
		b.services[name] = service
	}
	return service
}

func (b *mapBuilder) addRoute(r directory.Route) {
	route := new(flow.Route)
	for _, share := range r.Shares {
		route.Shares = append(route.Shares, flow.Share{Service: b.service(share.Service), Weight: share.Weight})
		route.Weight += share.Weight
	}
	b.table.Routes[flow.AddressOf(r.Address)] = route
}
