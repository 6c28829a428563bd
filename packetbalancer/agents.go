package packetbalancer

import (
	"time"

	"cactustray/control/clock"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"
)

// sendHellos sends every agent a hello message: this balancer may send it flows,
// or is stopping. Those of other failure domains get theirs when due, in services with many
// endpoints.
func (s *state) sendHellos(now time.Duration) {
	s.lastHello = now
	for _, endpoint := range s.traffic.table.Load().Agents {
		if _, managed := s.contacts.requested(endpoint); !managed || s.leaving && !endpoint.Distant {
			s.sendHello(endpoint)
		}
	}
	if !s.leaving {
		s.sendRemoteHellos(now)
	}
}

// sendHellosToUnresponsive sends a hello message to every agent without a recent
// report; it may be starting.
func (s *state) sendHellosToUnresponsive(now time.Duration) {
	for _, endpoint := range s.traffic.table.Load().Agents {
		if endpoint.Distant || endpoint.AgentLoad.Alive(now) {
			continue
		}
		interval, managed := s.contacts.requested(endpoint)
		if !managed || s.contacts.hellos.DueWhileStarting(now, endpoint.Agent, interval) {
			s.sendHello(endpoint)
		}
	}
}

// sendHello sends a hello message to an agent.
func (s *state) sendHello(endpoint *flow.Endpoint) {
	interval, _ := s.contacts.requested(endpoint)
	hello := wire.Hello{
		Slots: endpoint.Slots, Leaving: s.leaving, EndpointStart: endpoint.StartedAt,
		Remote: endpoint.Remote, ReportInterval: interval,
	}
	addStartOrder(clock.Now(), &hello, endpoint)
	if !endpoint.Introduced {
		s.addStatement(&hello, endpoint)
	}
	s.traffic.counters.SendToNode(s.traffic.peers, wire.Encode(hello), endpoint.Agent.AddrPort())
}

// addStartOrder adds what shows the agent whether its endpoint started before it. The time of day
// shows nothing about an endpoint that has been known for long, and is left out then.
func addStartOrder(now time.Duration, hello *wire.Hello, endpoint *flow.Endpoint) {
	if endpoint.StartedAt == 0 {
		return
	}
	hello.EndpointKnown = min(max(now-endpoint.AddedAt, time.Millisecond), wire.MaxEndpointKnown)
	if hello.EndpointKnown < wire.MaxEndpointKnown {
		hello.Clock = time.Now().UnixMilli()
	}
}

// compareProcessingTimes finds the endpoints that answer slowly and logs the changes.
func (s *state) compareProcessingTimes() {
	slow := 0
	for _, service := range s.traffic.table.Load().Services {
		slow += placement.UpdateSlowness(service.Candidates, func(i int, ratio float64) {
			e := EventEndpointSlow
			if ratio == 1 {
				e = EventEndpointRecovered
			}
			s.log.Emit(e, event.Fields{"service": service.Name, "agent": service.Accepting[i].Agent.String(), "ratio": ratio})
		})
	}
	s.metricValues.slow.Store(int64(slow))
}
