package balancer

import (
	"fmt"
	"time"

	"cactustray/event"
	"cactustray/ticket"
)

func (s *state) applyTickets(now time.Time, m ticket.Update) {
	s.carryOut(now, s.tickets.Update(now, m))
	s.endRefresh()
}

// carryOut logs and executes the output of the ticket slice.
func (s *state) carryOut(now time.Time, out ticket.Output) {
	for _, j := range out.Joined {
		s.logJoined(j)
	}
	for _, r := range out.Refused {
		s.log.Emit(EventTicketRefused, event.Fields{"service": r.Service, "cause": r.Cause})
	}
	for _, c := range out.AddressConflicts {
		s.log.Emit(EventAddressConflict, event.Fields{"address": c.Address, "service": c.Service, "other": c.Other})
	}
	if out.Sealed > 0 {
		s.log.Emit(EventTicketsSealed, event.Fields{"tickets": out.Sealed})
	}
	if out.Started {
		s.log.Emit(EventTableReady, event.Fields{"services": s.tickets.Len()})
	}
	s.setServices(now, out.Joined)
	if out.Publish {
		s.publish()
	}
	s.startCalls(now, out.Calls)
}

func (s *state) logJoined(j ticket.Joined) {
	fields := event.Fields{"service": j.Service, "ticket": j.Number}
	if j.Outcome == ticket.InForce {
		s.log.Emit(EventTicketInForce, fields)
		return
	}
	fields["won"] = contentText(j.Content)
	fields["lost"] = contentText(j.ConflictingContent)
	s.log.Emit(EventTicketConflict, fields)
}

func contentText(content uint64) string { return fmt.Sprintf("%016x", content) }
