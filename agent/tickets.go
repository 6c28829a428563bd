package agent

import (
	"slices"
	"time"

	"cactustray/event"
	"cactustray/ticket"
)

// catchUpInterval is the least time between two reports that look for a ticket
// which another agent already holds.
const catchUpInterval = 200 * time.Millisecond

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
	s.answerAwaited(entry.Ticket)
}

// awaitTicket answers at once, or asks the balancers for the ticket.
func (s *state) awaitTicket(now time.Time, m ticket.Awaited) {
	entry := s.tickets.Entry(s.service)
	if entry != nil && entry.Ticket.Number >= m.Number {
		m.Reply <- entry.Ticket
		return
	}
	s.awaited = append(s.awaited, m)
	s.tickAwaited(now)
}

func (s *state) answerAwaited(t *ticket.Ticket) {
	s.awaited = slices.DeleteFunc(s.awaited, func(m ticket.Awaited) bool {
		reached := t.Number >= m.Number
		if reached {
			m.Reply <- t
		}
		return reached
	})
}

// tickAwaited gives up what has waited too long, and reports early while another
// agent holds a newer ticket: the answer brings it.
func (s *state) tickAwaited(now time.Time) {
	s.awaited = slices.DeleteFunc(s.awaited, func(m ticket.Awaited) bool { return now.After(m.Until) })
	if len(s.awaited) > 0 && now.Sub(s.reporting.sent) >= catchUpInterval {
		s.reporting.dirty = true
		s.tickReports(now, 0)
	}
}
