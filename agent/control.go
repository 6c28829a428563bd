package agent

import (
	"sync/atomic"
	"time"

	"cactustray/admission"
	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/event"
	"cactustray/liveness"
	"cactustray/membership"
	"cactustray/settings"
	"cactustray/status"
	"cactustray/steering"
	"cactustray/steering/datagram"
	"cactustray/ticket"
)

// published are the snapshots that traffic goroutines read.
type published struct {
	ticket atomic.Pointer[ticket.Ticket]
	routes atomic.Pointer[datagram.Routes]
}

// state is all control state of an agent. Only the control goroutine touches
// it.
type state struct {
	settings *settings.Settings
	service  ticket.ServiceKey
	started  time.Time
	log      *event.Log

	fact      liveness.Fact
	tickets   *ticket.Register
	admission *admission.State
	replies   map[admission.RequestID]chan<- admission.Decision

	published *published
	// report asks the heartbeat goroutine to send the fact and the ticket.
	report chan<- report
	usage  *meter.Usage
}

func newState(s *settings.Settings, owner steering.Owner, log *event.Log, p *published, reports chan<- report, usage *meter.Usage) *state {
	return &state{
		settings:  s,
		service:   ticket.ServiceKeyOf(s.Agent.Service),
		started:   time.Now(),
		log:       log,
		fact:      liveness.Fact{Endpoint: owner.Endpoint, Incarnation: owner.Incarnation, State: liveness.Ready},
		tickets:   ticket.NewRegister(),
		admission: admission.NewState(admission.Limits{}),
		replies:   make(map[admission.RequestID]chan<- admission.Decision),
		published: p,
		report:    reports,
		usage:     usage,
	}
}

// Handle applies one message of any slice.
func (s *state) Handle(now time.Time, message control.Message) {
	switch m := message.(type) {
	case ticket.Offered:
		s.offered(now, m)
	case answered:
		s.learnBalancers(m.answer)
	case admission.Arrived:
		s.replies[m.ID] = m.Reply
		s.decide(s.admission.Arrive(now, m.Request))
	case admission.Finished:
		s.decide(s.admission.Finish(now, m.ID))
	case admission.Gone:
		s.decide(s.admission.Leave(now, m.ID))
		delete(s.replies, m.ID)
	case drain:
		s.drain(m)
	case status.Asked:
		m.Reply <- s.statusReport(now)
	}
}

// Tick refuses what waited too long and reports to the balancers.
func (s *state) Tick(now time.Time, _ time.Duration) {
	s.decide(s.admission.Tick(now))
	s.sendReport()
	s.usage.Sample(now)
}

func (s *state) statusReport(now time.Time) status.Report {
	return status.Report{
		Node:    s.settings.Node,
		Role:    membership.RoleAgent,
		Zone:    s.settings.Zone,
		State:   "ready",
		Uptime:  now.Sub(s.started),
		Tickets: status.InForceOf(now, s.tickets),
		Flows:   int64(s.admission.Running()),
		Control: s.usage.Rates(now),
	}
}
