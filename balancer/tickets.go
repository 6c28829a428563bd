package balancer

import (
	"time"

	"cactustray/event"
	"cactustray/ticket"
)

func (s *state) offered(now time.Time, m ticket.Offered) {
	changed := false
	for _, h := range m.Held {
		outcome := s.tickets.Join(now, h)
		changed = changed || outcome == ticket.InForce || outcome == ticket.Conflict
		s.logOutcome(h, outcome)
	}
	for _, r := range m.Refused {
		s.log.Emit(EventTicketRefused, event.Fields{"service": r.Service, "cause": r.Cause})
	}
	if changed {
		s.followTickets(now, m)
		s.publish()
	}
	s.refreshed()
}

func (s *state) logOutcome(h ticket.Held, outcome ticket.Outcome) {
	fields := event.Fields{"service": h.Ticket.Service, "ticket": h.Ticket.Number}
	switch outcome {
	case ticket.InForce:
		s.log.Emit(EventTicketInForce, fields)
	case ticket.Conflict:
		s.log.Emit(EventTicketConflict, fields)
	}
}
