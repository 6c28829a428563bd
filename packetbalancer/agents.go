package packetbalancer

import (
	"time"

	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"
)

// greet tells the agents that this balancer may send them flows.
func (s *state) greet(now time.Duration) {
	s.greeted = now
	for _, site := range s.traffic.table.Load().Agents {
		s.greetAgent(site)
	}
}

// greetUnheard greets the agents that have not answered, which may be starting.
func (s *state) greetUnheard(now time.Duration) {
	for _, site := range s.traffic.table.Load().Agents {
		if !site.Gauge.Alive(now) {
			s.greetAgent(site)
		}
	}
}

func (s *state) greetAgent(site *flow.Site) {
	hello := wire.Encode(wire.Hello{Slots: site.Slots, Leaving: s.leaving})
	s.traffic.counters.Send(s.traffic.peers, hello, site.Agent.AddrPort())
}

// compareAnswers finds the endpoints that answer slowly.
func (s *state) compareAnswers() {
	slow := 0
	for _, service := range s.traffic.table.Load().Services {
		slow += placement.Compare(service.Candidates, func(i int, ratio float64) {
			e := EventEndpointSlow
			if ratio == 1 {
				e = EventEndpointUsual
			}
			s.log.Emit(e, event.Fields{"service": service.Name, "agent": service.Takers[i].Agent.String(), "ratio": ratio})
		})
	}
	s.shown.slow.Store(int64(slow))
}
