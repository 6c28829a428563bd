package balancer

import (
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/event"
	"cactustray/liveness"
	"cactustray/liveness/heartbeat"
	"cactustray/membership"
	"cactustray/settings"
	"cactustray/status"
	"cactustray/steering"
	"cactustray/ticket"
	"cactustray/ticket/platform"
)

// state is the whole control state of a balancer. It must be used by the control
// goroutine only; traffic goroutines read the table that it publishes.
type state struct {
	node    string
	zone    string
	started time.Time
	log     *event.Log

	tickets  *ticket.State
	observer *liveness.Observer
	members  *membership.State
	peers    *peers
	steering *steering.State

	table *atomic.Pointer[steering.Table]
	ticketIO
}

func newState(s *settings.Settings, log *event.Log, table *atomic.Pointer[steering.Table], p *peers, out ticketIO) *state {
	now := time.Now()
	st := &state{
		node:     s.Node,
		zone:     s.Zone,
		started:  now,
		log:      log,
		tickets:  newTickets(now, s, newRandom()),
		observer: liveness.NewObserver(),
		members:  membership.NewState(),
		peers:    p,
		steering: steering.NewState(),
		table:    table,
		ticketIO: out,
	}
	st.members.SetSelf(selfNode(s))
	return st
}

// Handle passes a message to the slice that it belongs to.
func (s *state) Handle(now time.Time, message control.Message) {
	switch m := message.(type) {
	case ticket.Update:
		s.applyTickets(now, m)
	case ticket.Query:
		s.answerQuery(now, m)
	case ticket.CallEnded:
		s.finishCall(now, m)
	case membership.NodeList:
		s.applyNodeList(now, m)
	case platform.ReadFailed:
		s.log.Emit(EventPlatformUnavailable, event.Fields{"cause": m.Cause})
	case heartbeat.ReportReceived:
		s.receiveHeartbeat(now, m)
	case heartbeat.FactsReceived:
		s.receiveGossip(now, m)
	case peerCallDone:
		s.peerCallDone(now, m)
	case leave:
		s.leave(now, m)
	case steering.NewerTicket:
		s.fetchNewerTicket(now, m)
	case status.ReportRequested:
		m.Reply <- s.statusReport(now, m)
	}
}

// Tick seals tickets, suspects endpoints that have stopped reporting, and removes
// endpoints that departed long ago.
func (s *state) Tick(now time.Time, gap time.Duration) {
	s.tickTickets(now)
	s.tickLiveness(now, gap)
	s.removeDeparted(now)
}

func (s *state) statusReport(now time.Time, request status.ReportRequested) status.Report {
	return status.Report{
		Node:    s.node,
		Role:    membership.RoleBalancer,
		Zone:    s.zone,
		State:   s.stateName(),
		Uptime:  now.Sub(s.started),
		Tickets: request.TicketsInForce(now, s.tickets.Register),
		Nodes:   request.KnownNodes(s.members.Nodes(), s.tickets.Register),
		Cost:    status.CostOf(s.usage.Rates(now)),
	}
}
