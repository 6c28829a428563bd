package packetbalancer

import (
	"net/netip"
	"time"

	"cactustray/directory"
	"cactustray/flow"
	"cactustray/placement"

	"github.com/cespare/xxhash/v2"
)

// tableBuilder builds the traffic goroutines' routing table from the directory.
type tableBuilder struct {
	now      time.Duration
	state    *state
	services map[string]*flow.Service
	table    *flow.RoutingTable
	// hasDeparted is true if there are departed endpoints, which may still be in use, or
	// ones that may have departed.
	hasDeparted bool
	// hasDraining is true if draining endpoints accept new flows.
	hasDraining bool
	// hasFormer is true if routes may have flows at former services.
	hasFormer bool
	// rates has the ColdRate of each service; it is nil until it is needed.
	rates map[string]float64
}

func newTableBuilder(now time.Duration, s *state) *tableBuilder {
	return &tableBuilder{now: now, state: s, services: make(map[string]*flow.Service), table: flow.NewRoutingTable()}
}

func (b *tableBuilder) build() *flow.RoutingTable {
	b.table.Complete = b.state.survey.complete
	b.table.Outlived = b.state.traffic.survivors.outlived
	b.table.SettledAt = b.state.runningSince + reregisterTimeout
	b.table.HeldRoutes = &b.state.traffic.heldRoutes
	b.table.RoutesSettledAt = b.state.directory.RouteHistorySince() + flow.RouteChangeTime
	b.table.CurrentAt = func() flow.Timestamp { return time.Duration(b.state.asOf.Load()) }
	latestEntries := b.latestEntries()
	for _, e := range latestEntries {
		b.addEndpoint(e)
	}
	b.acceptAtDraining(latestEntries)
	b.settleEvacuations()
	b.keepInTouch(latestEntries)
	for _, route := range b.state.directory.Desired().Routes {
		b.addRoute(route)
	}
	b.addIntroduced(latestEntries)
	b.addFormerServices()
	for _, service := range b.services {
		b.table.Services = append(b.table.Services, service)
	}
	b.state.serviceIDs.Retain(func(name string) bool { return b.services[name] != nil })
	return b.table
}

// maxAssumedHolders bounds the endpoints that every route is assumed to have used, while
// the route history is not known. A search of more would leave no room for other searches.
const maxAssumedHolders = 512

// addFormerServices adds to each route the services that may hold flows opened earlier.
// While the route history is not known, as after a restart of all balancers, these are all
// services.
func (b *tableBuilder) addFormerServices() {
	known := b.state.directory
	if !known.KnowsRouteHistory(b.now, b.state.settings.Packets.FlowLifetime()) {
		b.hasFormer = true
		if len(b.table.Agents) <= maxAssumedHolders {
			b.assumeAllServices()
		}
	}
	for _, former := range known.FormerServices(b.now) {
		if route := b.table.Routes[flow.AddressOf(former.Address)]; route != nil {
			b.hasFormer = true
			route.Former = append(route.Former, b.service(former.Service))
		}
	}
}

func (b *tableBuilder) assumeAllServices() {
	var holders []*flow.Service
	for _, service := range b.services {
		if len(service.Holders) > 0 {
			holders = append(holders, service)
		}
	}
	for _, route := range b.table.Routes {
		route.Assumed = holders
	}
}

// latestEntries returns the current entry of each address: a new endpoint may reuse
// the address of a departed one. An entry of a service that routes have, or had, goes before
// one of another service, which may be anybody's.
func (b *tableBuilder) latestEntries() map[flow.Address]*directory.Entry {
	latestEntries := make(map[flow.Address]*directory.Entry)
	named := b.namedServices()
	b.state.directory.Each(func(e *directory.Entry) {
		agent := b.state.agentAddress(e.Address)
		current := latestEntries[agent]
		switch {
		case current == nil, named[e.Service] && !named[current.Service]:
			latestEntries[agent] = e
		case named[e.Service] == named[current.Service] && e.Replaces(current, b.now):
			latestEntries[agent] = e
		}
	})
	return latestEntries
}

// namedServices returns the services to which routes send flows, or sent some earlier.
func (b *tableBuilder) namedServices() map[string]bool {
	named := make(map[string]bool)
	for _, route := range b.state.directory.Desired().Routes {
		for _, share := range route.Shares {
			named[share.Service] = true
		}
	}
	for _, former := range b.state.directory.FormerServices(b.now) {
		named[former.Service] = true
	}
	return named
}

// agentAddress returns the address at which an endpoint's agent receives datagrams: on
// the same machine, at the port that all nodes use.
func (s *state) agentAddress(endpoint netip.AddrPort) flow.Address {
	agent := flow.AddressOf(endpoint)
	agent.Port = s.settings.Packets.Peer.Port()
	return agent
}

func (b *tableBuilder) addEndpoint(e *directory.Entry) {
	agent := b.state.agentAddress(e.Address)
	load := b.state.agentLoad(agent)
	alive := load.Alive(b.now)
	b.hasDeparted = b.hasDeparted || e.Doubtful(b.now)
	if !e.MayHoldFlows(b.now, b.state.directory.AsOf(), load.ReportedAt(), load.Stopped(b.now)) {
		return
	}
	service := b.service(e.Service)
	endpoint := flow.NewEndpoint(agent, service, placement.Candidate{
		AgentLoad: load, Slots: e.Slots, Remote: e.Zone != b.state.settings.Zone,
		ColdUntil: e.WarmAt, AddedAt: e.FirstSeen, ColdInterval: b.coldInterval(e.Service),
	})
	endpoint.ColdRate = b.coldRates()[e.Service]
	endpoint.StartedAt = e.Incarnation
	endpoint.Zone, endpoint.Evacuated = e.Zone, b.state.isEvacuated(e.Zone)
	endpoint.Unregistered, endpoint.ConfirmedFrom = e.MissedReturn(b.now), e.ConfirmedFrom()
	service.Holders = append(service.Holders, endpoint)
	b.table.Agents[agent] = endpoint
	switch {
	case !e.AcceptsNew(b.now, alive):
	case endpoint.Evacuated:
		service.Evacuated = true
	default:
		endpoint.Accept()
	}
}

// drainMargin is the part of the drain limit that is left for packets on their way and for
// balancers whose directory is older.
const drainMargin = 200 * time.Millisecond

// acceptAtDraining lets draining endpoints accept new flows, within the drain limit, in
// services that have no other endpoint. Otherwise callers would be refused although an
// endpoint could serve them.
func (b *tableBuilder) acceptAtDraining(entries map[flow.Address]*directory.Entry) {
	limit := b.state.drainLimit - drainMargin
	var accepting []*flow.Endpoint
	for agent, e := range entries {
		endpoint := b.table.Agents[agent]
		if endpoint != nil && !endpoint.Evacuated && len(endpoint.Service.Accepting) == 0 && e.AcceptsWhileDraining(b.now, limit) {
			accepting = append(accepting, endpoint)
		}
	}
	for _, endpoint := range accepting {
		endpoint.Accept()
	}
	b.hasDraining = len(accepting) > 0
}

func (b *tableBuilder) service(name string) *flow.Service {
	service := b.services[name]
	if service == nil {
		service = &flow.Service{Name: name, ID: b.state.serviceIDs.Of(name), Tag: flow.TagOf(xxhash.Sum64String(name))}
		b.services[name] = service
	}
	return service
}

func (b *tableBuilder) addRoute(r directory.Route) {
	route := &flow.Route{Class: classOf(r)}
	for _, share := range r.Shares {
		route.Shares = append(route.Shares, flow.Share{Service: b.service(share.Service), Weight: share.Weight})
		route.Weight += share.Weight
	}
	b.table.Routes[flow.AddressOf(r.Address)] = route
}

// classOf returns the class of a route's requests; it may be unknown.
func classOf(r directory.Route) flow.Class {
	if r.Class == nil {
		return flow.Class{}
	}
	return flow.Class{Priority: r.Class.Priority, Repeatable: r.Class.Repeatable, Goal: r.Class.Goal, Limit: r.Class.Limit}
}
