package balancer

import (
	"time"

	"cactustray/event"
	"cactustray/liveness"
	"cactustray/steering"
	"cactustray/ticket"
)

// publish does nothing until the node may take traffic. It brings the named services, or all when none is named, up to their
// tickets and the endpoints' states, and publishes the table.
func (s *state) publish(services ...ticket.ServiceKey) {
	if !s.tickets.Started() {
		return
	}
	s.table.Store(s.steering.Update(time.Now(), s.tickets.Register, s.observer, services...))
}

// forgetLeft forgets endpoints that left the tickets long ago.
func (s *state) forgetLeft(now time.Time) {
	if s.steering.Tick(now) {
		s.table.Store(s.steering.Table())
	}
}

// behind learns that an agent holds a newer ticket than the one datagrams were
// routed by, and catches up at once.
func (s *state) behind(now time.Time, m steering.Behind) {
	if !s.steering.IsBehind(now, m) {
		return
	}
	s.tickets.Behind(now)
	s.log.Emit(EventBehind, event.Fields{"service": uint64(m.Service), "ticket": m.Ticket})
}

// learnEnd marks the service of an endpoint that has said that it ended, so
// that the next table resets the flows of that process.
func (s *state) learnEnd(subject liveness.Subject) {
	fact, ok := s.observer.Fact(subject)
	if !ok || fact.State != liveness.Gone {
		return
	}
	endpoint := s.steering.Table().Endpoint(ticket.EndpointKey(subject))
	if endpoint != nil && endpoint.GoneThrough != fact.Incarnation {
		s.peers.stale[endpoint.Service] = true
	}
}
