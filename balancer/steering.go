package balancer

import (
	"time"

	"cactustray/event"
	"cactustray/liveness"
	"cactustray/steering"
	"cactustray/ticket"
)

// publish updates the given services, or all if none is given, from their tickets and
// the states of their endpoints, and publishes the table. It does nothing until the
// node may accept traffic.
func (s *state) publish(services ...ticket.ServiceKey) {
	if !s.tickets.Started() {
		return
	}
	s.table.Store(s.steering.Update(time.Now(), s.tickets.Register, s.observer, services...))
}

// removeDeparted removes endpoints that left the tickets long ago from the table.
func (s *state) removeDeparted(now time.Time) {
	if s.steering.Tick(now) {
		s.table.Store(s.steering.Table())
	}
}

// fetchNewerTicket handles the notice that an agent has a newer ticket in force than
// the one that datagrams were routed by, and requests the newer one at once.
func (s *state) fetchNewerTicket(now time.Time, m steering.NewerTicket) {
	if !s.steering.ShouldFetch(now, m) {
		return
	}
	s.tickets.CompareNow(now)
	s.log.Emit(EventTableOutdated, event.Fields{"service": uint64(m.Service), "ticket": m.Ticket})
}

// markStopped marks the service of an endpoint as stale if the endpoint's process has
// reported that it has stopped, so that flows of that process are reset once the next
// table is published.
func (s *state) markStopped(subject liveness.Subject) {
	fact, ok := s.observer.Fact(subject)
	if !ok || fact.State != liveness.Stopped {
		return
	}
	endpoint := s.steering.Table().Endpoint(ticket.EndpointKey(subject))
	if endpoint != nil && endpoint.StoppedThrough != fact.Incarnation {
		s.peers.stale[endpoint.Service] = true
	}
}
