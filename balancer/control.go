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

// state is all control state of a balancer. Only the control goroutine touches
// it; traffic goroutines read the table it publishes.
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
	outside
}

func newState(s *settings.Settings, log *event.Log, table *atomic.Pointer[steering.Table], p *peers, out outside) *state {
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
		outside:  out,
	}
	st.members.SetSelf(selfNode(s))
	return st
}

// Handle applies one message of any slice.
func (s *state) Handle(now time.Time, message control.Message) {
	switch m := message.(type) {
	case ticket.Offered:
		s.offered(now, m)
	case ticket.Asked:
		s.asked(now, m)
	case ticket.Answered:
		s.answered(now, m)
	case membership.Listed:
		s.listed(now, m)
	case platform.Failed:
		s.log.Emit(EventPlatformUnavailable, event.Fields{"cause": m.Cause})
	case heartbeat.Heard:
		s.heard(now, m)
	case heartbeat.Passed:
		s.passed(now, m)
	case called:
		s.called(now, m)
	case leave:
		s.leave(now, m)
	case steering.Behind:
		s.behind(now, m)
	case status.Asked:
		m.Reply <- s.report(now, m)
	}
}

// Tick seals tickets and suspects endpoints that have gone silent.
func (s *state) Tick(now time.Time, gap time.Duration) {
	s.ticketsTick(now)
	s.tickLiveness(now, gap)
	s.forgetLeft(now)
}

func (s *state) report(now time.Time, asked status.Asked) status.Report {
	return status.Report{
		Node:    s.node,
		Role:    membership.RoleBalancer,
		Zone:    s.zone,
		State:   s.stateName(),
		Uptime:  now.Sub(s.started),
		Tickets: asked.InForceOf(now, s.tickets.Register),
		Nodes:   asked.KnownOf(s.members.Nodes(), s.tickets.Register),
		Cost:    status.CostOf(s.usage.Rates(now)),
	}
}
