package balancer

import (
	"math/rand/v2"
	"time"

	"cactustray/control/meter"
	"cactustray/event"
	"cactustray/settings"
	"cactustray/ticket"
	"cactustray/ticket/exchange"
	"cactustray/ticket/platform"
)

// States of a balancer as `status` names them.
const (
	stateStarting = "starting"
	stateReady    = "ready"
)

// outside is what carries out the control goroutine's decisions on tickets.
type outside struct {
	caller  *exchange.Caller
	watcher *platform.Watcher
	usage   *meter.Usage

	reading ticket.Reading
	clashes []ticket.Clash
}

// DroppedError reports a call that found no room with the callers.
type DroppedError struct{ Peer ticket.Peer }

func (e *DroppedError) Error() string { return "no room for a call to " + e.Peer.Control }

func newSpread(now time.Time, s *settings.Settings, random *rand.Rand) *ticket.Spread {
	self := ticket.Peer{Name: s.Node, Zone: s.Zone, Control: s.Control.String()}
	var seeds []ticket.Peer
	for _, address := range s.Balancer.Peers {
		seeds = append(seeds, ticket.Peer{Control: address.String()})
	}
	return ticket.NewSpread(now, self, seeds, random)
}

// listed tells the spread who the balancers are.
func (s *state) listed() {
	var peers []ticket.Peer
	for _, n := range s.members.Balancers() {
		peers = append(peers, ticket.Peer{Name: n.Name, Zone: n.Zone, Control: n.Control})
	}
	s.spread.Listed(peers)
}

// asked answers another process's request after taking in what it brings.
func (s *state) asked(now time.Time, request ticket.Request) ticket.Response {
	s.spread.Asked(now, request)
	news := s.join(now, request.Held, request.Digests)
	response := s.tickets.Answer(request)
	response.Starting = !s.spread.Started()
	response.ReadAge = s.spread.ReadAge(now)
	s.tell(now, request.Sender, news)
	return response
}

// answered takes in the end of a call to a peer.
func (s *state) answered(now time.Time, m ticket.Answered) {
	if m.Failure != nil {
		s.log.Emit(EventPeerSilent, event.Fields{"balancer": m.Call.Peer.Control, "cause": m.Failure})
	}
	for _, r := range m.Refused {
		s.log.Emit(EventTicketRefused, event.Fields{"balancer": m.Call.Peer.Control, "cause": r.Cause})
	}
	news := s.join(now, m.Response.Held, m.Response.Better)
	s.start(now, s.spread.Answered(now, s.tickets, m))
	s.tell(now, m.Call.Peer.Name, news)
	s.becomeReady(now)
}

func (s *state) tell(now time.Time, sender string, news []ticket.ServiceKey) {
	if len(news) > 0 {
		s.start(now, s.spread.News(now, s.tickets, sender, news...))
	}
}

// start hands calls over. One that finds no room has failed.
func (s *state) start(now time.Time, calls []ticket.Call) {
	for _, call := range calls {
		if !s.caller.Start(call) {
			s.answered(now, ticket.Answered{Call: call, Failure: &DroppedError{Peer: call.Peer}})
		}
	}
}

// spreadTick does what time alone brings about.
func (s *state) spreadTick(now time.Time) {
	s.usage.Sample(now)
	s.start(now, s.spread.Tick(now, s.tickets))
	if sealed := s.tickets.Seal(now, s.spread.Confirmed(now)); sealed > 0 {
		s.log.Emit(EventTicketAccepted, event.Fields{"tickets": sealed})
	}
	s.becomeReady(now)
	if reading := s.spread.Reading(now); reading != s.reading {
		s.reading = reading
		s.log.Emit(EventReadingChanged, event.Fields{"watch": reading.Watch})
		s.watcher.Order(reading)
	}
}

// becomeReady publishes the first table as soon as the node may take traffic.
func (s *state) becomeReady(now time.Time) {
	if s.spread.Started() || !s.spread.Ready(now, s.tickets) {
		return
	}
	s.log.Emit(EventTableReady, event.Fields{"services": s.tickets.Len()})
	s.publish()
}

func (s *state) stateName() string {
	if s.spread.Started() {
		return stateReady
	}
	return stateStarting
}
