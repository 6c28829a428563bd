package flow

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxTried bounds how many endpoints one balancer offers an opening packet to.
	maxTried = 3
	// openingTimeout bounds the opening of a flow: callers give up after 1.4 s.
	openingTimeout = 2 * time.Second
	// lastCopy is the number of the last copy of an opening packet that callers send.
	lastCopy = 2
	// maxAssignments bounds the table of a balancer: 105 bytes per entry, by
	// BenchmarkAssignmentMemory.
	maxAssignments = 1 << 18
	// maxRoutingTableAge is the maximum age of a routing table that is used to refuse a
	// flow: twice the longest pause between two reads of the directory.
	maxRoutingTableAge = 2 * time.Second
	// lastSeenPrecision is the precision of lastSeen: flows are retained for a minute,
	// so that not every packet needs to write to the table.
	lastSeenPrecision = time.Second
	// endedExpiry is how long packets of a flow that was reset are answered with
	// resets.
	endedExpiry = 3 * time.Second
)

// assignment is the agent at which a balancer placed or found a flow.
type assignment struct {
	agent Address
	// service is the service for which the flow was placed, or that of the agent at which it was
	// found, and tag its tag; both are 0 if it is not known.
	service ServiceID
	tag     uint16
	// placedAt is when the flow was offered to the agent.
	placedAt   Timestamp
	lastSeen   Timestamp
	tried      [maxTried]Address
	triedCount uint8
	// refused is true if an endpoint gave the opening packet back.
	refused bool
	ended   bool
}

// Assignments is a balancer's table of the flows that it has seen and their agents. It is
// only a cache: a flow that it lacks is found by a search.
type Assignments struct {
	flows    map[Key]assignment
	searches searches
	bulk     bulkQueries
	openings openings
	// evacuated has the failure domains whose agents give opening packets back.
	evacuated evacuatedZones
	lifetime  time.Duration
	random    *rand.Rand
}

// NewAssignments returns an empty table; lifetime is the maximum lifetime of a flow.
func NewAssignments(lifetime time.Duration, random *rand.Rand) *Assignments {
	return &Assignments{
		flows: make(map[Key]assignment), searches: newSearches(), bulk: newBulkQueries(random.Uint64()),
		evacuated: make(evacuatedZones), lifetime: lifetime, random: random,
	}
}

// SetLifetime sets the maximum lifetime of a flow.
func (a *Assignments) SetLifetime(lifetime time.Duration) { a.lifetime = lifetime }

// Len returns the number of flows in the table.
func (a *Assignments) Len() int { return len(a.flows) }

// Decision is a balancer's decision on a caller's packet: the agents that it goes to,
// or that the flow ends. With neither, the packet is dropped.
type Decision struct {
	// To is the agent that gets the packet, or zero.
	To Address
	// SearchAgents are the agents that a search sends the packet to, and QueryAgents those
	// that it only queries, with the key and the caller's acknowledgment.
	SearchAgents []Address
	QueryAgents  []Address
	Query        Query
	// BulkQueried is how many agents the search queries in bulk; FlushBulk returns the queries.
	BulkQueried int
	// Continued is true if the search has already queried or sent the packet to agents.
	Continued bool
	// Tag is the tag of the service whose endpoint gets the packet, or 0 if it is not
	// known.
	Tag uint16
	// ServiceName is the name of that service for an opening packet, else empty. Naming is how
	// the packet states the service, and AlternateNaming how it does if its agent forwards it.
	ServiceName     string
	Naming          Naming
	AlternateNaming Naming
	// Alternate is the agent for an opening packet if To's endpoint is busy or silent
	// or refuses it.
	Alternate Address
	// AlternateRunning is how many requests the alternate's endpoint had in
	// progress, or more if the alternate is to get the packet only above that.
	AlternateRunning uint8
	// Crosses is true if a new flow goes to another failure domain.
	Crosses bool
	// Overflow is true if a new flow goes to another service of the route's split than the one
	// that its weights give, since that has no free slot.
	Overflow bool
	// Class is the class of a new flow's requests; it may be unknown. StatesClass is true if
	// the agents that may receive the opening packet read it.
	Class       Class
	StatesClass bool
	// SendReset is true if the caller gets the reset.
	SendReset bool
	Reset     Reset
	Reason    Reason
}

// FromCaller decides on a packet that the fabric delivered. datagram is copied if the
// packet may have to be resent.
func (a *Assignments) FromCaller(now Timestamp, packet Packet, routing *RoutingTable, datagram []byte) Decision {
	if packet.Opening {
		return a.open(now, packet, routing, datagram).withNaming(routing).withClass(now, routing, packet.Flow, true)
	}
	known, ok := a.flows[packet.Flow]
	switch {
	case ok && known.ended:
		return Decision{SendReset: true, Reset: resetOf(packet), Reason: EndpointLost}
	case ok:
		if now-known.lastSeen > lastSeenPrecision {
			known.lastSeen = now
			a.flows[packet.Flow] = known
		}
		return Decision{To: known.agent, Tag: known.tag, Reason: Known}
	case packet.Reset:
		return Decision{Reason: NotHeld}
	}
	return a.search(now, packet, routing, Address{}, datagram)
}

func resetOf(packet Packet) Reset {
	return Reset{Flow: packet.Flow, Acknowledged: packet.Acknowledged}
}

// open places a new flow, or a copy of its opening packet.
func (a *Assignments) open(now Timestamp, packet Packet, routing *RoutingTable, datagram []byte) Decision {
	known, ok := a.flows[packet.Flow]
	if ok && now-known.placedAt > openingTimeout {
		known, ok = assignment{}, false // the caller has reused its port
	}
	if ok && !known.ended && known.keepsAgent(now, packet, routing) {
		known.lastSeen = now
		a.flows[packet.Flow] = known
		return a.repeat(routing, known)
	}
	route := routing.Routes[packet.Flow.Service]
	if route == nil {
		return Decision{SendReset: now-routing.CurrentAt() < maxRoutingTableAge, Reset: resetOf(packet), Reason: UnknownAddress}
	}
	d := a.place(now, packet, route, a.serviceFor(now, route, packet.Flow, known), known)
	a.openings.add(now, packet, d.To, routing, datagram)
	if d.To.IsZero() && ok && !known.ended {
		return a.repeat(routing, known)
	}
	return d
}

// keepsAgent reports whether a repeated opening packet goes to the agent that already
// has the flow. The caller's second and third copies do not if that agent has not
// reported since the flow was placed, although a report was due; no copy does if the agent's
// address now belongs to another service, or its failure domain is evacuated.
func (a assignment) keepsAgent(now Timestamp, packet Packet, routing *RoutingTable) bool {
	endpoint := routing.Agents[a.agent]
	if endpoint == nil {
		return true
	}
	load := endpoint.AgentLoad
	reports := load.ReportedAt() > a.placedAt || load.AwaitsReport(now)
	isKnown := a.service != 0 && !endpoint.Introduced
	return (a.matchesService(endpoint) || !isKnown) && !endpoint.Evacuated && (packet.Copy == 0 || reports)
}

// matchesService reports whether an endpoint still belongs to the flow's service. It does not if
// either service is not known.
func (a assignment) matchesService(endpoint *Endpoint) bool {
	return a.service == endpoint.Service.ID && !endpoint.Introduced
}

// repeat sends an opening packet again to the agent that already has it. The packet must name
// its service, so it is dropped if that is not known.
func (a *Assignments) repeat(routing *RoutingTable, known assignment) Decision {
	endpoint := routing.Agents[known.agent]
	if endpoint == nil || !known.matchesService(endpoint) {
		return Decision{Reason: NoEndpoint}
	}
	return repeatAt(endpoint)
}

// repeatAt returns the decision to send an opening packet again to the agent of an endpoint.
func repeatAt(endpoint *Endpoint) Decision {
	return Decision{To: endpoint.Agent, Tag: endpoint.Service.Tag, ServiceName: endpoint.Service.Name, Reason: Repeated}
}

// place offers the flow to the best endpoint of the service to which it has not been offered
// yet.
func (a *Assignments) place(now Timestamp, packet Packet, route *Route, service *Service, known assignment) Decision {
	if service == nil || int(known.triedCount) >= maxTried || len(a.flows) >= maxAssignments {
		return a.unplaced(now, packet, service, known)
	}
	first, second := a.chooseByClass(now, service, packet.Flow, known, route.Class)
	if first < 0 {
		return a.unplaced(now, packet, service, known)
	}
	endpoint := service.Accepting[first]
	known.agent, known.placedAt, known.lastSeen, known.ended = endpoint.Agent, now, now, false
	known.service, known.tag = service.ID, service.Tag
	known.tried[known.triedCount] = endpoint.Agent
	known.triedCount++
	a.flows[packet.Flow] = known
	d := Decision{
		To: endpoint.Agent, Tag: service.Tag, ServiceName: service.Name, Reason: Opened,
		Crosses: endpoint.Remote, Overflow: service != route.Service(packet.Flow),
	}
	if second >= 0 {
		other := service.Accepting[second]
		d.Alternate = other.Agent
		d.AlternateRunning = uint8(min(forwardAbove(now, endpoint, other, route.Class), math.MaxUint8))
	}
	return d
}

// unplaced decides on an opening packet that no endpoint takes. It is dropped, since
// the caller sends another copy. If an endpoint has refused the flow, no further copy
// follows, or every endpoint of the service is in an evacuated failure domain, the caller
// gets a reset at once. A copy that took another path may have opened the flow meanwhile, so
// this reset acknowledges nothing.
func (a *Assignments) unplaced(now Timestamp, packet Packet, service *Service, known assignment) Decision {
	end := packet.Copy >= lastCopy || known.refused || a.evacuated.hasAll(now, service)
	return Decision{SendReset: end, Reset: resetOf(packet), Reason: NoEndpoint}
}

func (a assignment) wasTried(agent Address) bool {
	for _, tried := range a.tried[:a.triedCount] {
		if tried == agent {
			return true
		}
	}
	return false
}

// Found records that a flow is at an agent of the service, which is nil if the agent is not
// known, and returns the datagrams that the agent has yet to receive.
func (a *Assignments) Found(now Timestamp, key Key, agent Address, service *Service) [][]byte {
	if a.searches.flows[key] != nil {
		a.bulk.lost = 0
	}
	waiting := a.searches.endAt(key, agent)
	known := a.flows[key]
	known.agent, known.lastSeen, known.ended = agent, now, false
	if service != nil {
		known.service, known.tag = service.ID, service.Tag
	}
	if known.placedAt == 0 {
		known.placedAt = now
	}
	if len(a.flows) < maxAssignments {
		a.flows[key] = known
	}
	return waiting
}

// Returned decides on a packet that an agent returned: an opening packet goes to
// another endpoint, or again to the agent if that requires the service's name; any other
// goes to the agent recorded for the flow or, failing that, to a search. d came with the
// packet.
func (a *Assignments) Returned(now Timestamp, packet Packet, agent Address, d Delivery, routing *RoutingTable, datagram []byte) Decision {
	known, ok := a.flows[packet.Flow]
	if !packet.Opening {
		if ok && known.agent != agent && !known.ended && d.Hops <= 1 {
			return Decision{To: known.agent, Tag: known.tag, Reason: Known}
		}
		delete(a.flows, packet.Flow)
		return a.search(now, packet, routing, agent, datagram)
	}
	route := routing.Routes[packet.Flow.Service]
	if route == nil {
		return Decision{Reason: UnknownAddress}
	}
	if d.NameRequired && ok && known.agent == agent {
		repeated := a.repeat(routing, known)
		repeated.Naming = ByName
		return repeated.withClass(now, routing, packet.Flow, false)
	}
	known.recordFailure(agent, d.Silent)
	a.evacuated.record(now, agent, d, routing)
	placed := a.place(now, packet, route, a.serviceFor(now, route, packet.Flow, known), known)
	return placed.withNaming(routing).withClass(now, routing, packet.Flow, false)
}

// recordFailure records that an endpoint gave the opening packet back or left it
// unanswered.
func (a *assignment) recordFailure(agent Address, silent bool) {
	a.refused = a.refused || !silent
	if !a.wasTried(agent) && int(a.triedCount) < maxTried {
		a.tried[a.triedCount] = agent
		a.triedCount++
	}
}

// Sweep removes flows that had no packet for their lifetime, and old searches. Calling
// it every few seconds is enough.
func (a *Assignments) Sweep(now Timestamp) {
	for key, known := range a.flows {
		age := now - known.lastSeen
		if age > a.lifetime || known.ended && age > endedExpiry {
			delete(a.flows, key)
		}
	}
	a.searches.sweep(now)
	a.bulk.expire(now)
}
