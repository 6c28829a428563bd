package agent

import (
	"slices"
	"time"

	"cactustray/event"
	"cactustray/ticket"
)

// catchUpInterval is the minimum time between two heartbeats that are sent early to
// find a ticket which another agent already has in force.
const catchUpInterval = 200 * time.Millisecond

func (s *state) applyTickets(now time.Time, m ticket.Update) {
	for _, r := range m.Records {
		if r.Ticket.Key() != s.service {
			continue
		}
		if s.tickets.Join(now, r).Changed() {
			s.log.Emit(EventTicketInForce, event.Fields{"service": r.Ticket.Service, "ticket": r.Ticket.Number})
		}
	}
	for _, d := range m.HigherRanked {
		s.tickets.JoinDigest(now, d)
	}
	entry := s.tickets.Entry(s.service)
	if entry == nil {
		return
	}
	s.published.agents.Store(s.admission.setTicket(now, entry.Ticket))
	s.published.ticket.Store(entry.Ticket)
	s.publishSteering(entry.Ticket)
	s.drainByTicket(now, entry.Ticket)
	s.answerTicketWaiters(entry.Ticket)
}

// awaitTicket answers at once if the ticket is in force. Otherwise the request waits
// while heartbeats to the balancers look for the ticket.
func (s *state) awaitTicket(now time.Time, m ticket.WaitRequest) {
	entry := s.tickets.Entry(s.service)
	if entry != nil && entry.Ticket.Number >= m.Number {
		m.Reply <- entry.Ticket
		return
	}
	s.ticketWaiters = append(s.ticketWaiters, m)
	s.tickTicketWaiters(now)
}

func (s *state) answerTicketWaiters(t *ticket.Ticket) {
	s.ticketWaiters = slices.DeleteFunc(s.ticketWaiters, func(m ticket.WaitRequest) bool {
		reached := t.Number >= m.Number
		if reached {
			m.Reply <- t
		}
		return reached
	})
}

// tickTicketWaiters removes requests whose deadline has passed. While others wait, it
// sends heartbeats early, since their answers show which balancer has the ticket.
func (s *state) tickTicketWaiters(now time.Time) {
	s.ticketWaiters = slices.DeleteFunc(s.ticketWaiters, func(m ticket.WaitRequest) bool { return now.After(m.Until) })
	if len(s.ticketWaiters) > 0 && now.Sub(s.reporting.sent) >= catchUpInterval {
		s.reporting.dirty = true
		s.tickReports(now, 0)
	}
}
