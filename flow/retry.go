package flow

import (
	"slices"
	"time"
)

const (
	// retryInterval is how long after its start a search is continued first: many times
	// the time of an answer. The interval doubles, up to maxRetryInterval. A caller sends
	// again only after 200 ms, and later after up to 1.6 s.
	retryInterval    = 40 * time.Millisecond
	maxRetryInterval = 320 * time.Millisecond
	// reportTimeout is how long a search waits for the report of an agent that runs: it
	// answers a hello message within milliseconds.
	reportTimeout = 150 * time.Millisecond
)

// RetrySearches continues the searches that have waited long enough for answers, for reports
// or for the rate of searches. Agents that have not answered are queried once more; no agent
// is sent the packet again without the caller. more is false if there are no searches.
func (a *Assignments) RetrySearches(now Timestamp, routing *RoutingTable) (retried []Resend, more bool) {
	for key, s := range a.searches.flows {
		if now-s.lastPacket > searchTimeout {
			a.searches.end(key)
			continue
		}
		route := routing.Routes[key.Service]
		if now < s.retryAt || s.bulkQueued > 0 || route == nil || s.packet == nil {
			continue
		}
		s.retries++
		s.retryAt = now + min(retryInterval<<min(s.retries, 8), maxRetryInterval)
		d := a.retry(now, key, s, route, routing)
		if !d.searches() {
			d = a.endIfDenied(now, key, routing)
		}
		if d.searches() || d.SendReset {
			packet := Packet{Flow: key, Acknowledged: s.acknowledged}
			retried = append(retried, Resend{Packet: packet, Decision: d, Datagram: s.packet})
		}
	}
	return retried, len(a.searches.flows) > 0
}

func (a *Assignments) retry(now Timestamp, key Key, s *search, route *Route, routing *RoutingTable) Decision {
	d := Decision{Reason: Searched, Continued: true, Query: Query{Flow: key, Acknowledged: s.acknowledged}}
	var bulk []Address
	for _, agent := range s.remaining(route.holders) {
		endpoint := routing.Agents[agent]
		load := endpoint.AgentLoad
		reports := load.Alive(now) && load.FlowsKnown()
		knows := reports || s.queriesDistant(endpoint)
		if asked := s.queried[agent] || s.received[agent]; asked && knows {
			d.QueryAgents = append(d.QueryAgents, agent)
			if reports && load.BulkQueries() && !s.separate[agent] {
				bulk = append(bulk, agent)
			}
		}
	}
	if len(bulk) > 0 && a.bulk.usesBulk(len(bulk)) {
		s.bulkUnanswered = 0
		inBulk := a.sendSearch(now, key, s, route, routing, bulk)
		separate := slices.DeleteFunc(d.QueryAgents, func(agent Address) bool { return slices.Contains(bulk, agent) })
		if len(separate) > 0 && inBulk.Reason != SearchWaits && a.searches.spend(now, len(separate)*querySize) {
			inBulk.QueryAgents = append(inBulk.QueryAgents, separate...)
		}
		return inBulk
	}
	if len(d.QueryAgents) > 0 {
		if !a.searches.spend(now, len(d.QueryAgents)*querySize) {
			return Decision{Reason: SearchWaits}
		}
		for _, agent := range d.QueryAgents {
			s.queried[agent] = true
		}
		return d
	}
	if s.sentAt != 0 && s.mayAnswer(now, key, route, routing) {
		return Decision{Reason: SearchWaits}
	}
	if s.wave < route.lastWave() {
		return a.queryNextWave(now, key, s, route, routing)
	}
	return a.sendToSilent(now, key, s, route, routing)
}

// sendToSilent sends the packet to the agents that do not report, once they had time to.
func (a *Assignments) sendToSilent(now Timestamp, key Key, s *search, route *Route, routing *RoutingTable) Decision {
	if now-s.startedAt < reportTimeout {
		return Decision{Reason: SearchWaits}
	}
	d := Decision{Reason: Searched, Continued: true, Tag: routeTag(route)}
	for _, agent := range s.remaining(route.holders) {
		if !s.received[agent] && !routing.Agents[agent].AgentLoad.Alive(now) {
			d.SearchAgents = append(d.SearchAgents, agent)
		}
	}
	if !d.searches() || !a.searches.spend(now, len(d.SearchAgents)*(len(s.packet)+searchOverhead)) {
		return Decision{Reason: SearchWaits}
	}
	for _, agent := range d.SearchAgents {
		s.received[agent] = true
	}
	return d
}
