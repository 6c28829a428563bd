package balancer

import (
	"time"

	"cactustray/event"
	"cactustray/steering"
	"cactustray/ticket"
)

// publish brings the named services, or all when none is named, up to their
// tickets and the endpoints' states, and publishes the table.
func (s *state) publish(services ...ticket.ServiceKey) {
	s.table.Store(s.steering.Update(time.Now(), s.tickets, s.observer, services...))
}

// forgetLeft forgets endpoints that left the tickets long ago.
func (s *state) forgetLeft(now time.Time) {
	if s.steering.Tick(now) {
		s.table.Store(s.steering.Table())
	}
}

// behind learns that an agent holds a newer ticket than the one datagrams were
// routed by. One that has come into force since is old news.
func (s *state) behind(m steering.Behind) {
	entry := s.tickets.Entry(m.Service)
	if entry != nil && entry.Ticket.Number >= m.Ticket {
		return
	}
	s.log.Emit(EventBehind, event.Fields{"service": uint64(m.Service), "ticket": m.Ticket})
}
