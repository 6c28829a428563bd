package balancer

import (
	"math/rand/v2"
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

	table *atomic.Pointer[steering.Table]
	outside
}

func newState(s *settings.Settings, log *event.Log, table *atomic.Pointer[steering.Table], out outside, random *rand.Rand) *state {
	now := time.Now()
	return &state{
		node:     s.Node,
		zone:     s.Zone,
		started:  now,
		log:      log,
		tickets:  newTickets(now, s, random),
		observer: liveness.NewObserver(),
		members:  membership.NewState(),
		table:    table,
		outside:  out,
	}
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
		s.members.Learn(m)
		s.listed()
	case platform.Failed:
		s.log.Emit(EventPlatformUnavailable, event.Fields{"cause": m.Cause})
	case heartbeat.Heard:
		s.heard(now, m)
	case status.Asked:
		m.Reply <- s.report(now)
	}
}

// Tick seals tickets and suspects endpoints that have gone silent.
func (s *state) Tick(now time.Time, gap time.Duration) {
	s.ticketsTick(now)
	if s.observer.Tick(now, gap) > 0 {
		s.publish()
	}
}

// publish makes the table anew, once the node may take traffic.
func (s *state) publish() {
	if !s.tickets.Started() {
		return
	}
	s.table.Store(steering.BuildTable(s.tickets.Register, s.observer, s.table.Load()))
}

func (s *state) report(now time.Time) status.Report {
	return status.Report{
		Node:    s.node,
		Role:    membership.RoleBalancer,
		Zone:    s.zone,
		State:   s.stateName(),
		Uptime:  now.Sub(s.started),
		Tickets: status.InForceOf(now, s.tickets.Register),
		Nodes:   s.members.Nodes(),
		Control: s.usage.Rates(now),
	}
}
