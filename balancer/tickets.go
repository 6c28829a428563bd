package balancer

import (
	"fmt"
	"slices"
	"time"

	"cactustray/event"
	"cactustray/ticket"
)

// offered joins tickets of the platform.
func (s *state) offered(now time.Time, m ticket.Offered) {
	s.spread.Published(now)
	news := s.join(now, m.Held, nil)
	for _, r := range s.tickets.Published(m) {
		s.log.Emit(EventTicketRefused, event.Fields{"service": r.Service, "cause": r.Cause})
	}
	s.tell(now, "", news)
}

// join takes tickets and digests in, and returns the services of which
// something is newly known.
func (s *state) join(now time.Time, held []ticket.Held, digests []ticket.Digest) []ticket.ServiceKey {
	var news []ticket.ServiceKey
	changed := false
	take := func(d ticket.Digest, outcome ticket.Outcome) {
		changed = changed || outcome.Changed()
		if outcome.Changed() || outcome.IsConflict() {
			news = append(news, d.Service)
			s.logOutcome(s.tickets.Entry(d.Service), outcome)
		}
	}
	for _, h := range held {
		take(ticket.DigestOf(h), s.tickets.Join(now, h))
	}
	for _, d := range digests {
		take(d, s.tickets.Learn(d))
	}
	if changed {
		s.logClashes()
		s.publish()
	}
	return news
}

func (s *state) logOutcome(entry *ticket.Entry, outcome ticket.Outcome) {
	fields := event.Fields{"service": entry.Ticket.Service, "ticket": entry.Ticket.Number}
	if outcome == ticket.InForce {
		s.log.Emit(EventTicketInForce, fields)
		return
	}
	fields["won"] = contentText(entry.Content)
	fields["lost"] = contentText(entry.Rivals[len(entry.Rivals)-1].Content)
	s.log.Emit(EventTicketConflict, fields)
}

func contentText(content uint64) string { return fmt.Sprintf("%016x", content) }

// logClashes reports clashes of addresses that were not there before.
func (s *state) logClashes() {
	_, clashes := s.tickets.Addresses()
	for _, c := range clashes {
		if !slices.Contains(s.clashes, c) {
			s.log.Emit(EventAddressClash, event.Fields{"address": c.Address, "service": c.Service, "other": c.Other})
		}
	}
	s.clashes = clashes
}
