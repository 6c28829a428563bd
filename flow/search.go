package flow

import (
	"iter"
	"slices"
	"time"
)

const (
	// searchTimeout bounds how long the answers to one search are collected.
	searchTimeout = 2 * time.Second
	// searchInterval is the minimum time between two packets that search for the same
	// flow: a caller retransmits its packet after 200 ms.
	searchInterval = 150 * time.Millisecond
	// maxWaiting bounds the packets of a flow that wait for the end of a search;
	// callers have 16 in flight. maxWaitingTotal bounds those of all flows, 1.2 KB
	// each.
	maxWaiting      = 16
	maxWaitingTotal = 512
	// searchOverhead is the number of bytes that a search sends to an agent in addition
	// to the packet: envelope, UDP and IP headers.
	searchOverhead = 48
	// querySize is the number of bytes that a query costs for each agent: a flow's key and
	// the acknowledgment, with a share of the headers.
	querySize = 24
	// assumedTimeout is how long a search waits for answers about a service that the route is
	// only assumed to have left, if nothing shows that its endpoint lives: many times the time
	// of an answer.
	assumedTimeout = 300 * time.Millisecond
	// agentStartTime is how long an agent that is being restarted takes to report, also to a
	// balancer that has just learned of its endpoint.
	agentStartTime = time.Second
	// defaultSearchRate limits searches, in bytes per second, unless the settings state
	// the machine's link: a quarter of 10 Mbit/s, the slowest link.
	defaultSearchRate = 312_500
)

// search is the state of the search for one flow.
type search struct {
	// denied are the agents that do not hold the flow.
	denied       map[Address]bool
	acknowledged uint32
	startedAt    Timestamp
	lastPacket   Timestamp
	// sentAt is when agents were last queried or sent the packet, or 0.
	sentAt Timestamp
	// packet is the caller's last packet of the search, and transmissions how many there
	// were.
	packet        []byte
	transmissions int
	// retryAt is when the search continues without a packet of the caller, and retries how
	// often it has.
	retryAt Timestamp
	retries int
	// queried are the agents that were queried, received those that were sent the packet.
	queried  map[Address]bool
	received map[Address]bool
	// unsure are the agents that answered a query without knowing the flow.
	unsure map[Address]bool
	// wave is the last wave of agents that was queried.
	wave wave
	// bulkQueued and bulkUnanswered count the agents whose bulk queries have yet to be sent and
	// answered.
	bulkQueued, bulkUnanswered int
	// separate are the agents that are certain of the flow only by its key or its packet.
	separate map[Address]bool
	// waiting are the packets that wait until the flow's agent is found.
	waiting [][]byte
}

func newSearch(now Timestamp) *search {
	return &search{
		denied: make(map[Address]bool), queried: make(map[Address]bool), received: make(map[Address]bool), unsure: make(map[Address]bool),
		startedAt: now, retryAt: now + retryInterval,
	}
}

// searches are the searches in progress.
//
// Invariant: searches use no more than their rate, so that they leave the link to the
// packets of known flows, however many flows have moved to this balancer.
type searches struct {
	flows   map[Key]*search
	waiting int
	// rate is in bytes per second; tokens is how many bytes could be sent at filledAt.
	rate     float64
	tokens   float64
	filledAt Timestamp
}

func newSearches() searches {
	return searches{flows: make(map[Key]*search), rate: defaultSearchRate, tokens: defaultSearchRate}
}

// SetSearchRate limits searches to a number of bytes per second.
func (a *Assignments) SetSearchRate(bytes float64) { a.searches.rate = bytes }

// spend takes bytes from the rate limit, and reports whether it allows them. An amount
// above the limit is allowed once the tokens are full.
func (s *searches) spend(now Timestamp, bytes int) bool {
	s.tokens = min(s.tokens+s.rate*(now-s.filledAt).Seconds(), s.rate)
	s.filledAt = now
	if s.tokens < float64(bytes) && s.tokens < s.rate {
		return false
	}
	s.tokens -= float64(bytes)
	return true
}

// getOrStart returns the search for a flow, and starts a new one if there is none or it
// began more than searchTimeout ago.
func (s *searches) getOrStart(now Timestamp, key Key) *search {
	found := s.flows[key]
	if found == nil || now-found.startedAt > searchTimeout {
		s.end(key)
		found = newSearch(now)
		s.flows[key] = found
	}
	return found
}

func (s *searches) enqueue(to *search, datagram []byte) {
	if len(to.waiting) < maxWaiting && s.waiting < maxWaitingTotal {
		to.waiting = append(to.waiting, append([]byte(nil), datagram...))
		s.waiting++
	}
}

// end removes a search and returns the packets that waited for it.
func (s *searches) end(key Key) [][]byte {
	ended := s.flows[key]
	if ended == nil {
		return nil
	}
	delete(s.flows, key)
	s.waiting -= len(ended.waiting)
	return ended.waiting
}

// endAt removes the search for a flow that is at the agent, and returns the packets that
// the agent has yet to receive, oldest first.
func (s *searches) endAt(key Key, agent Address) [][]byte {
	found := s.flows[key]
	waiting := s.end(key)
	if found == nil || found.packet == nil || found.received[agent] {
		return waiting
	}
	return slices.Insert(waiting, 0, found.packet)
}

func (s *searches) sweep(now Timestamp) {
	for key, found := range s.flows {
		if now-found.lastPacket > searchTimeout {
			s.end(key)
		}
	}
}

// search sends a packet to the agents that may hold its flow, unless some were queried
// within searchInterval. It queries them in waves, first the few that the flow prefers
// and finally all. denier is an agent that has already denied the flow, or zero.
func (a *Assignments) search(now Timestamp, packet Packet, routing *RoutingTable, denier Address, datagram []byte) Decision {
	route := routing.Routes[packet.Flow.Service]
	if route == nil {
		return Decision{Reason: UnknownAddress}
	}
	s := a.searches.getOrStart(now, packet.Flow)
	s.acknowledged, s.lastPacket = packet.Acknowledged, now
	if !denier.IsZero() {
		s.denied[denier] = true
	}
	if s.sentAt != 0 && now-s.sentAt < searchInterval {
		a.searches.enqueue(s, datagram)
		return Decision{Reason: SearchWaits}
	}
	s.packet = slices.Clone(datagram)
	clear(s.received)
	s.transmissions++
	if s.transmissions > 1 {
		// The caller sends again: the agents queried may not have received the packet.
		s.wave = max(s.wave, preferredWave)
	}
	d := a.queryNextWave(now, packet.Flow, s, route, routing)
	if !d.searches() && d.Reason != SearchWaits {
		return a.endIfDenied(now, packet.Flow, routing)
	}
	return d
}

// searches reports whether the decision continues a search.
func (d Decision) searches() bool { return len(d.SearchAgents)+len(d.QueryAgents)+d.BulkQueried > 0 }

// sendSearch continues a search at agents, if the rate of searches allows it. An agent that
// knows all flows of its endpoint is queried; one that does not is sent the packet. An agent
// that does not report may not have started, and is left out until it reports. All of them
// are sent the packet if the caller sends it again.
func (a *Assignments) sendSearch(now Timestamp, key Key, s *search, route *Route, routing *RoutingTable, to []Address) Decision {
	d := Decision{Reason: Searched, Continued: s.sentAt != 0, Tag: routeTag(route), Query: Query{Flow: key, Acknowledged: s.acknowledged}}
	var bulk []Address
	for _, agent := range to {
		load := routing.Agents[agent].AgentLoad
		alive := load.Alive(now)
		switch {
		case alive && load.FlowsKnown() && load.BulkQueries() && !s.separate[agent] && a.bulk.usesBulk(len(to)):
			bulk = append(bulk, agent)
		case alive && load.FlowsKnown() && !s.queried[agent], s.queriesDistant(routing.Agents[agent]):
			d.QueryAgents = append(d.QueryAgents, agent)
		case alive || s.transmissions > 1 || s.unsure[agent]:
			d.SearchAgents = append(d.SearchAgents, agent)
		}
	}
	d.BulkQueried = len(bulk)
	if !d.searches() {
		return d
	}
	if !a.searches.spend(now, len(bulk)*bulkQuerySize+len(d.QueryAgents)*querySize+len(d.SearchAgents)*(len(s.packet)+searchOverhead)) {
		return Decision{Reason: SearchWaits}
	}
	s.sentAt = now
	a.bulk.add(now, key, s, bulk)
	for _, agent := range bulk {
		s.queried[agent] = true
	}
	for _, agent := range d.QueryAgents {
		s.queried[agent] = true
	}
	for _, agent := range d.SearchAgents {
		s.received[agent] = true
	}
	return d
}

// routeTag returns the tag of the only service whose endpoints may hold the route's
// flows, or 0 if there are several or none.
func routeTag(r *Route) uint16 {
	if len(r.Shares) != 1 || len(r.Former)+len(r.Assumed) > 0 {
		return 0
	}
	return r.Shares[0].Service.Tag
}

// remaining returns the agents of the given services that may hold the flow and have not
// denied it.
func (s *search) remaining(services iter.Seq[*Service]) []Address {
	var remaining []Address
	for service := range services {
		for _, endpoint := range service.Holders {
			if !s.denied[endpoint.Agent] {
				remaining = append(remaining, endpoint.Agent)
			}
		}
	}
	return remaining
}

// Denied records that an agent does not hold a flow that was searched for. Once all
// agents of a wave have denied it, the next wave is queried with the returned datagram;
// once every agent has, the flow ends.
func (a *Assignments) Denied(now Timestamp, key Key, agent Address, routing *RoutingTable) (Decision, []byte) {
	s := a.searches.flows[key]
	if s == nil {
		return Decision{Reason: NotHeld}, nil
	}
	s.denied[agent] = true
	return a.continueAfterDenial(now, key, s, routing)
}

// continueAfterDenial queries the next wave once all agents of the last have denied the flow,
// and ends the flow once every agent has.
func (a *Assignments) continueAfterDenial(now Timestamp, key Key, s *search, routing *RoutingTable) (Decision, []byte) {
	route := routing.Routes[key.Service]
	if route != nil && s.wave < route.lastWave() && s.packet != nil && !s.mayAnswer(now, key, route, routing) {
		if d := a.queryNextWave(now, key, s, route, routing); d.searches() {
			return d, s.packet
		}
	}
	return a.endIfDenied(now, key, routing), nil
}

// Unsure records that an agent that was queried does not know whether its endpoint holds
// the flow. The agent gets the returned datagram, and its endpoint decides.
func (a *Assignments) Unsure(now Timestamp, key Key, agent Address, routing *RoutingTable) (Decision, []byte) {
	s, route := a.searches.flows[key], routing.Routes[key.Service]
	if s == nil || route == nil || s.packet == nil || routing.Agents[agent] == nil || !s.queried[agent] {
		return Decision{Reason: NotHeld}, nil
	}
	s.unsure[agent] = true
	s.querySeparately(agent)
	return a.sendSearch(now, key, s, route, routing, []Address{agent}), s.packet
}

// awaited returns the agents that must deny the flow before it ends.
func (s *search) awaited(now Timestamp, key Key, route *Route, routing *RoutingTable) []Address {
	awaited := s.remaining(route.known)
	for service := range route.assumed {
		for _, endpoint := range service.Holders {
			if !s.denied[endpoint.Agent] && s.awaitsAssumed(now, endpoint, key.Service, routing) {
				awaited = append(awaited, endpoint.Agent)
			}
		}
	}
	return awaited
}

// awaitsAssumed reports whether an agent of a service that the route is only assumed to have
// left must deny the flow. The lost flows of all routes wait for such agents. One whose
// endpoint does not run denies nothing, and until its entry expires the registry lists it
// like any other.
//
// Invariant: an agent is awaited if it can deny the flow, if the registry shows that its
// endpoint lives, if it has reported to a balancer and may be restarting, or if other agents
// outlived all balancers, so that its machine did not lose power with theirs. Any other is
// awaited while it may be starting, and for assumedTimeout.
//
// An agent that did not know its flows and whose endpoint only its reports showed is awaited for
// the time of a restart once they cease, and not at all if its endpoint was silent. Nor is a silent
// agent awaited that has stated that its endpoint holds no flow of the route.
func (s *search) awaitsAssumed(now Timestamp, endpoint *Endpoint, route Address, routing *RoutingTable) bool {
	load := endpoint.AgentLoad
	alive, inTime := load.Alive(now), now-s.startedAt < assumedTimeout
	switch {
	case alive && load.FlowsKnown():
		return true
	case !alive && routing.excludesFlows(endpoint, route):
		return false
	case endpoint.Distant && s.awaitsDistant(now, endpoint.Agent):
		return true
	case endpoint.Introduced && load.Silent() && !load.FlowsKnown():
		return false // its endpoint does not run: it answers no packet of an unknown flow
	case endpoint.Introduced && !alive && (load.ReportedAt() == 0 || load.FlowsKnown()):
		return true // another balancer knows it, or it is frozen and holds flows
	case endpoint.Introduced && !alive:
		return now-load.ReportedAt() < agentStartTime+assumedTimeout // it may be restarting
	case endpoint.Unregistered:
		return inTime
	case endpoint.ConfirmedFrom != 0 && routing.CurrentAt() >= endpoint.ConfirmedFrom:
		return true
	case !alive && load.ReportedAt() != 0:
		return true // it may be restarting
	case routing.Outlived():
		return true
	}
	return inTime || now-endpoint.AddedAt < agentStartTime
}

// endIfDenied ends a flow if the routing table is complete and every endpoint that may
// hold the flow has denied it.
func (a *Assignments) endIfDenied(now Timestamp, key Key, routing *RoutingTable) Decision {
	s, route := a.searches.flows[key], routing.Routes[key.Service]
	switch {
	case route == nil:
		return Decision{Reason: UnknownAddress}
	case len(s.awaited(now, key, route, routing)) > 0 || !routing.isComplete(now):
		return Decision{Reason: Searched}
	case !route.hasHolders():
		return Decision{Reason: NoEndpoint}
	}
	a.searches.end(key)
	a.bulk.lost++
	a.flows[key] = assignment{ended: true, lastSeen: now}
	return Decision{SendReset: true, Reset: Reset{Flow: key, Acknowledged: s.acknowledged}, Reason: NobodyHolds}
}

// EndSearches is called when the routing table has changed. It ends the flows that every
// endpoint has denied, and returns the decisions.
func (a *Assignments) EndSearches(now Timestamp, routing *RoutingTable) []Decision {
	var ended []Decision
	for key := range a.searches.flows {
		if d := a.endIfDenied(now, key, routing); d.SendReset {
			ended = append(ended, d)
		}
	}
	return ended
}

// hasHolders reports whether any endpoint may hold flows of the route.
func (r *Route) hasHolders() bool {
	for service := range r.holders {
		if len(service.Holders) > 0 {
			return true
		}
	}
	return false
}
