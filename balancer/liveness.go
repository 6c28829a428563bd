package balancer

import (
	"time"

	"cactustray/liveness/heartbeat"
)

func (s *state) heard(now time.Time, m heartbeat.Heard) {
	if s.observer.Heard(now, m.Fact) {
		s.publish(m.Service)
	}
	answer := heartbeat.Answer{Balancers: s.members.Balancers()}
	if entry := s.tickets.Entry(m.Service); entry != nil {
		answer.Ticket = entry.Ticket.Number
	}
	m.Reply <- answer
}
