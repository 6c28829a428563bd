package flow

import "slices"

// IsSmall reports whether the service has so few endpoints that a search queries all of them at
// once. Balancers keep in touch with all agents of such a service.
func (s *Service) IsSmall() bool { return len(s.Holders) <= preferenceThreshold }

// MarkDistant marks the endpoints whose agents are not in touch: they do not report to this balancer,
// by its choice. They get no new flows, and searches query their agents after all that are in touch.
func (s *Service) MarkDistant(inTouch func(*Endpoint) bool) {
	for _, endpoint := range s.Holders {
		if !inTouch(endpoint) {
			endpoint.Distant, s.hasDistant = true, true
		}
	}
	if !s.hasDistant {
		return
	}
	s.Accepting = slices.DeleteFunc(s.Accepting, func(e *Endpoint) bool { return e.Distant })
	s.Candidates = s.Candidates[:0]
	for _, endpoint := range s.Accepting {
		s.Candidates = append(s.Candidates, &endpoint.Candidate)
	}
}

// distantQueries is how often a search queries a distant agent that does not answer. Then the
// agent is treated as one that does not report: it is sent the packet once.
const distantQueries = 4

// queriesDistant reports whether a search queries the agent by the flow's key although the
// agent does not report to this balancer. Agents answer the queries of any balancer.
func (s *search) queriesDistant(endpoint *Endpoint) bool {
	return endpoint.Distant && !s.unsure[endpoint.Agent] && s.retries < distantQueries
}

// mayAnswer reports whether an agent that has not denied the flow can be expected to answer
// soon. Whether a distant agent is reachable is not known.
func (e *Endpoint) mayAnswer(now Timestamp, s *search) bool {
	return e.AgentLoad.Alive(now) || e.Distant && s.queried[e.Agent] && now-s.sentAt < reportTimeout
}

// awaitsDistant reports whether a distant agent of an assumed service has had too little time to
// answer: it was neither queried nor sent the packet, or only just.
func (s *search) awaitsDistant(now Timestamp, agent Address) bool {
	return !s.queried[agent] && !s.received[agent] || now-s.startedAt < agentStartTime || now-s.sentAt < assumedTimeout
}

// hasDistant reports whether the route has services with distant agents.
func (r *Route) hasDistant() bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service.hasDistant })
}

// remainingPresent returns the agents of the services to which the route sends new flows, the
// distant ones or the others, that have not denied the flow.
func (s *search) remainingPresent(route *Route, distant bool) []Address {
	var remaining []Address
	for service := range route.present {
		for _, endpoint := range service.Holders {
			if endpoint.Distant == distant && !s.denied[endpoint.Agent] {
				remaining = append(remaining, endpoint.Agent)
			}
		}
	}
	return remaining
}
