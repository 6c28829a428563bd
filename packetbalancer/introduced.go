package packetbalancer

import (
	"net/netip"
	"time"

	"cactustray/directory"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/placement"
)

const (
	// introductionPeriod is how long after the first balancer's start an agent may be unknown
	// although its endpoint holds flows. Later on, balancers have removed it on purpose.
	introductionPeriod = 10 * time.Second
	// introductionLifetime is how long an agent that has introduced itself is considered after
	// its last report: it may be restarting.
	introductionLifetime = 3 * time.Second
	// introducedService is the name of the service that stands for the services of endpoints
	// that are not known. No endpoint is registered with it.
	introducedService = ""
)

// agentIntroduced is the message that an agent has reported which the routing table does not
// have.
type agentIntroduced struct {
	agent flow.Address
	usage placement.Usage
}

// agentIntroduced takes up an agent of which no balancer knows. If the entry of an endpoint
// expires while all balancers are lost, those that start do not know the endpoint.
func (s *state) agentIntroduced(now time.Duration, m agentIntroduced) {
	s.takeUp(now, m.agent)
	if _, ok := s.introduced[m.agent]; ok {
		s.agentLoad(m.agent).Report(now, m.usage)
	}
}

// takeOverIntroduced takes up the agents that have introduced themselves to another balancer,
// unless they reported to this one and ceased to.
func (s *state) takeOverIntroduced(now time.Duration, agents []netip.AddrPort) {
	for _, address := range agents {
		agent := flow.AddressOf(address)
		if load := s.loads[agent]; load == nil || load.ReportedAt() == 0 {
			s.takeUp(now, agent)
		}
	}
}

// takeUp takes up an agent, unless it has.
//
// Invariant: agents are taken up only while all balancers are young, and at most
// maxAssumedHolders. In a deployment with more endpoints no route is assumed to use them.
func (s *state) takeUp(now time.Duration, agent flow.Address) {
	isYoung := !s.directory.Known() || now-s.runningSince < introductionPeriod
	isLarge := len(s.traffic.table.Load().Agents) > maxAssumedHolders
	if _, known := s.introduced[agent]; known || !isYoung || isLarge || len(s.introduced) >= maxAssumedHolders {
		return
	}
	s.introduced[agent], s.introducedChanged = now, true
	s.log.Emit(EventIntroduced, event.Fields{"agent": agent.String()})
}

// publishIntroduced publishes a routing table with the agents that were taken up since the
// last. Many can introduce themselves at once.
func (s *state) publishIntroduced(now time.Duration) {
	if s.introducedChanged && s.directory.Known() {
		s.publish(now)
	}
}

// isReporting reports whether an agent that introduced itself has reported recently, or may be
// restarting.
func (s *state) isReporting(now time.Duration, agent flow.Address) bool {
	return now-max(s.introduced[agent], s.agentLoad(agent).ReportedAt()) < introductionLifetime
}

// removeSilentIntroduced removes the agents that no longer report.
func (s *state) removeSilentIntroduced(now time.Duration) {
	for agent := range s.introduced {
		if !s.isReporting(now, agent) {
			delete(s.introduced, agent)
		}
	}
}

// reportingIntroduced returns the agents that introduced themselves and still report.
func (s *state) reportingIntroduced(now time.Duration) []netip.AddrPort {
	var reporting []netip.AddrPort
	for agent := range s.introduced {
		if s.isReporting(now, agent) {
			reporting = append(reporting, agent.AddrPort())
		}
	}
	return reporting
}

// agentLoad returns the load of an agent, which is empty until the agent reports.
func (s *state) agentLoad(agent flow.Address) *placement.AgentLoad {
	load := s.loads[agent]
	if load == nil {
		load = new(placement.AgentLoad)
		s.loads[agent] = load
	}
	return load
}

// addIntroduced adds the agents that introduced themselves and have no entry, as endpoints of
// a service that every route may have left.
func (b *tableBuilder) addIntroduced(entries map[flow.Address]*directory.Entry) {
	for agent := range b.state.introduced {
		if entries[agent] != nil {
			continue
		}
		service := b.service(introducedService)
		service.ID, service.Tag = 0, 0 // any service
		endpoint := flow.NewEndpoint(agent, service, placement.Candidate{AgentLoad: b.state.agentLoad(agent)})
		endpoint.Introduced, endpoint.Unregistered = true, true
		service.Holders = append(service.Holders, endpoint)
		b.table.Agents[agent] = endpoint
		b.hasDeparted = true
	}
}
