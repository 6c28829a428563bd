package balancer

import (
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/event"
	"cactustray/liveness"
	"cactustray/liveness/heartbeat"
	"cactustray/membership"
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

	tickets  *ticket.Register
	observer *liveness.Observer
	members  *membership.State
	steering *steering.State

	table *atomic.Pointer[steering.Table]
}

func newState(node, zone string, log *event.Log, table *atomic.Pointer[steering.Table]) *state {
	return &state{
		node:     node,
		zone:     zone,
		started:  time.Now(),
		log:      log,
		tickets:  ticket.NewRegister(),
		observer: liveness.NewObserver(),
		members:  membership.NewState(),
		steering: steering.NewState(),
		table:    table,
	}
}

// Handle applies one message of any slice.
func (s *state) Handle(now time.Time, message control.Message) {
	switch m := message.(type) {
	case ticket.Offered:
		s.offered(now, m)
	case ticket.Compared:
		m.Reply <- s.tickets.Compare(m.Digests, m.Services)
	case membership.Listed:
		s.members.Learn(m)
	case platform.Failed:
		s.log.Emit(EventPlatformUnavailable, event.Fields{"cause": m.Cause})
	case heartbeat.Heard:
		s.heard(now, m)
	case steering.Behind:
		s.behind(m)
	case status.Asked:
		m.Reply <- s.report(now)
	}
}

// Tick seals tickets and suspects endpoints that have gone silent.
func (s *state) Tick(now time.Time, gap time.Duration) {
	s.tickets.Seal(now)
	if s.observer.Tick(now, gap) > 0 {
		s.publish()
	}
	s.forgetLeft(now)
}

func (s *state) report(now time.Time) status.Report {
	return status.Report{
		Node:    s.node,
		Role:    membership.RoleBalancer,
		Zone:    s.zone,
		State:   "ready",
		Uptime:  now.Sub(s.started),
		Tickets: status.InForceOf(now, s.tickets),
		Nodes:   s.members.Nodes(),
	}
}
