package balancer

import (
	"math/rand/v2"
	"time"

	"cactustray/control/meter"
	"cactustray/event"
	"cactustray/liveness"
	"cactustray/membership"
	"cactustray/settings"
	"cactustray/ticket"
	"cactustray/ticket/exchange"
	"cactustray/ticket/platform"
)

// outside is what carries out the control goroutine's decisions on tickets.
type outside struct {
	caller  *exchange.Caller
	watcher *platform.Watcher
	usage   *meter.Usage
	reading ticket.Reading
}

// DroppedError reports a call that found no room with the callers.
type DroppedError struct{ Peer ticket.Peer }

func (e *DroppedError) Error() string { return "no room for a call to " + e.Peer.Control }

func newTickets(now time.Time, s *settings.Settings, random *rand.Rand) *ticket.State {
	self := ticket.Peer{Name: s.Node, Zone: s.Zone, Control: s.Control.String()}
	var seeds []ticket.Peer
	for _, address := range s.Balancer.Peers {
		seeds = append(seeds, ticket.Peer{Control: address.String()})
	}
	return ticket.NewState(now, self, seeds, random)
}

// tellTickets tells the ticket slice who the live balancers are.
func (s *state) tellTickets(live []membership.Node) {
	var peers []ticket.Peer
	for _, n := range live {
		peers = append(peers, ticket.Peer{Name: n.Name, Zone: n.Zone, Control: n.Control})
	}
	s.tickets.Listed(peers)
}

func (s *state) asked(now time.Time, m ticket.Asked) {
	response, out := s.tickets.Asked(now, m.Request)
	m.Reply <- response
	s.carryOut(now, out)
}

func (s *state) answered(now time.Time, m ticket.Answered) {
	if m.Failure != nil {
		s.log.Emit(EventPeerSilent, event.Fields{"balancer": m.Call.Peer.Control, "cause": m.Failure})
	}
	s.carryOut(now, s.tickets.Answered(now, m))
}

func (s *state) ticketsTick(now time.Time) {
	s.usage.Sample(now)
	s.carryOut(now, s.tickets.Tick(now))
	if reading := s.tickets.Reading(now); reading != s.reading {
		s.reading = reading
		s.log.Emit(EventReadingChanged, event.Fields{"watch": reading.Watch})
		s.watcher.Order(reading)
	}
}

// startCalls hands calls over. One that finds no room has failed.
func (s *state) startCalls(now time.Time, calls []ticket.Call) {
	for _, call := range calls {
		if !s.caller.Start(call) {
			s.answered(now, ticket.Answered{Call: call, Failure: &DroppedError{Peer: call.Peer}})
		}
	}
}

// stateName is how the balancer stands: starting until it has its first table.
func (s *state) stateName() string {
	if !s.tickets.Started() {
		return liveness.Starting.String()
	}
	return s.peers.self.Fact().State.String()
}
