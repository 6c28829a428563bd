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

// ticketIO holds the components that call other balancers and read the platform on
// behalf of the control goroutine, and usage, which measures what control costs this
// node. mode is the read mode that watcher was last switched to.
type ticketIO struct {
	caller  *exchange.Caller
	watcher *platform.Watcher
	usage   *meter.Usage
	mode    ticket.ReadMode
}

// DroppedError reports a call to another balancer that was not made because the
// queue of calls was full.
type DroppedError struct{ Peer ticket.Peer }

func (e *DroppedError) Error() string { return "call queue full: dropped call to " + e.Peer.Control }

func newTickets(now time.Time, s *settings.Settings, random *rand.Rand) *ticket.State {
	self := ticket.Peer{Name: s.Node, Zone: s.Zone, Control: s.Control.String()}
	var seeds []ticket.Peer
	for _, address := range s.Balancer.Peers {
		seeds = append(seeds, ticket.Peer{Control: address.String()})
	}
	return ticket.NewState(now, self, seeds, random)
}

// setTicketPeers sets the live balancers in the ticket slice.
func (s *state) setTicketPeers(live []membership.Node) {
	var peers []ticket.Peer
	for _, n := range live {
		peers = append(peers, ticket.Peer{Name: n.Name, Zone: n.Zone, Control: n.Control})
	}
	s.tickets.SetPeers(peers)
}

func (s *state) answerQuery(now time.Time, m ticket.Query) {
	response, out := s.tickets.Query(now, m.Request)
	m.Reply <- response
	s.carryOut(now, out)
}

func (s *state) finishCall(now time.Time, m ticket.CallEnded) {
	if m.Failure != nil {
		s.log.Emit(EventPeerUnresponsive, event.Fields{"balancer": m.Call.Peer.Control, "cause": m.Failure})
	}
	s.carryOut(now, s.tickets.CallEnded(now, m))
}

func (s *state) tickTickets(now time.Time) {
	s.usage.Sample(now)
	s.carryOut(now, s.tickets.Tick(now))
	if mode := s.tickets.ReadMode(now); mode != s.mode {
		s.mode = mode
		s.log.Emit(EventReadModeChanged, event.Fields{"watch": mode.Watch})
		s.watcher.SetMode(mode)
	}
}

// startCalls queues calls to other balancers. A call that does not fit into the
// queue counts as failed.
func (s *state) startCalls(now time.Time, calls []ticket.Call) {
	for _, call := range calls {
		if !s.caller.Start(call) {
			s.finishCall(now, ticket.CallEnded{Call: call, Failure: &DroppedError{Peer: call.Peer}})
		}
	}
}

// stateName returns the balancer's state for status reports: starting until it has
// its first table.
func (s *state) stateName() string {
	if !s.tickets.Started() {
		return liveness.Starting.String()
	}
	return s.peers.self.Fact().State.String()
}
