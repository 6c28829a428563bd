package agent

import (
	"sync/atomic"
	"time"

	"cactustray/admission/frontend"
	"cactustray/admission/handover"
	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/event"
	"cactustray/liveness"
	"cactustray/membership"
	"cactustray/placement"
	"cactustray/settings"
	"cactustray/status"
	"cactustray/steering"
	"cactustray/steering/datagram"
	"cactustray/ticket"
	"cactustray/trace"
)

// published are the snapshots that traffic goroutines read.
type published struct {
	ticket    atomic.Pointer[ticket.Ticket]
	agents    atomic.Pointer[frontend.Addresses]
	residence datagram.Residence
	// tracer is set before traffic begins; nil means none.
	tracer *trace.Tracer
	// open counts requests in progress.
	open atomic.Int64
}

// state is all control state of an agent. Only the control goroutine touches
// it.
type state struct {
	settings *settings.Settings
	service  ticket.ServiceKey
	started  time.Time
	log      *event.Log

	reporting *reporting
	draining  *draining
	tickets   *ticket.Register
	// awaited are requests that wait for a ticket another agent holds.
	awaited   []ticket.Awaited
	admission *admissionState
	placement *placement.State

	published *published
	// report asks the heartbeat goroutine to send the fact and the ticket.
	report chan<- report
	// loads asks the placement goroutine to send a load report.
	loads chan<- loadReport
	usage *meter.Usage
}

func newState(s *settings.Settings, owner steering.Owner, log *event.Log, p *published, reports chan<- report, loads chan<- loadReport, peers *handover.Client) *state {
	return &state{
		settings:  s,
		service:   ticket.ServiceKeyOf(s.Agent.Service),
		started:   time.Now(),
		log:       log,
		reporting: newReporting(liveness.NewSelf(liveness.EndpointSubject(owner.Endpoint), owner.Incarnation), s.Agent.Balancers),
		draining:  newDraining(),
		tickets:   ticket.NewRegister(),
		admission: newAdmission(s, log, &p.open, peers),
		placement: placement.NewState(owner.Endpoint),
		published: p,
		report:    reports,
		loads:     loads,
	}
}

// Handle applies one message of any slice.
func (s *state) Handle(now time.Time, message control.Message) {
	switch m := message.(type) {
	case ticket.Offered:
		s.offered(now, m)
	case ticket.Asked:
		m.Reply <- s.tickets.Answer(m.Request)
	case ticket.Awaited:
		s.awaitTicket(now, m)
	case answered:
		s.answered(now, m)
	case stopRequested:
		s.requestStop(now, m)
	case placement.Heard:
		s.placement.Hear(now, m)
	case steering.Behind:
		s.behind(m)
	case status.Asked:
		m.Reply <- s.statusReport(now, m)
	default:
		s.handleAdmission(now, message)
	}
}

// Tick refuses what waited too long and reports to the balancers.
func (s *state) Tick(now time.Time, gap time.Duration) {
	s.admission.tick(now, gap)
	s.usage.Sample(now)
	s.tickDrain(now)
	s.tickReports(now, gap)
	s.tickAwaited(now)
	s.placeByLoad(now)
}

func (s *state) statusReport(now time.Time, asked status.Asked) status.Report {
	return status.Report{
		Node:    s.settings.Node,
		Role:    membership.RoleAgent,
		Zone:    s.settings.Zone,
		State:   s.reporting.self.Fact().State.String(),
		Uptime:  now.Sub(s.started),
		Tickets: asked.InForceOf(now, s.tickets),
		Load:    s.work(),
		Cost:    status.CostOf(s.usage.Rates(now)),
		Nodes:   asked.KnownOf(nil, s.tickets),
	}
}
