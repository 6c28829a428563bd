package agent

import (
	"time"

	"cactustray/event"
	"cactustray/ticket"
)

func (s *state) offered(now time.Time, m ticket.Offered) {
	for _, h := range m.Held {
		if h.Ticket.Key() != s.service {
			continue
		}
		if s.tickets.Join(now, h).Changed() {
			s.log.Emit(EventTicketInForce, event.Fields{"service": h.Ticket.Service, "ticket": h.Ticket.Number})
		}
	}
	for _, d := range m.Better {
		s.tickets.Learn(now, d)
	}
	entry := s.tickets.Entry(s.service)
	if entry == nil {
		return
	}
	s.published.agents.Store(s.admission.setTicket(now, entry.Ticket))
	s.published.ticket.Store(entry.Ticket)
	s.steerBy(entry.Ticket)
	s.followTicket(now, entry.Ticket)
}
