package agent

import (
	"sync/atomic"
	"time"

	"cactustray/admission/frontend"
	"cactustray/admission/handover"
	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/event"
	"cactustray/hedging"
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

// published holds the snapshots that traffic goroutines read.
type published struct {
	ticket atomic.Pointer[ticket.Ticket]
	agents atomic.Pointer[frontend.Addresses]
	// departed are the endpoints whose agents have stopped as planned.
	departed atomic.Pointer[[]ticket.EndpointKey]
	shared   datagram.SharedState
	// tracer is set before traffic starts; nil records nothing.
	tracer *trace.Tracer
	// hedging is what is needed to offer second copies.
	hedging atomic.Pointer[hedging.Snapshot]
	// inFlight is the number of requests in progress.
	inFlight atomic.Int64
}

// state is the whole control state of an agent. It must be used by the control
// goroutine only.
type state struct {
	settings *settings.Settings
	service  ticket.ServiceKey
	started  time.Time
	log      *event.Log

	reporting *reporting
	draining  *draining
	tickets   *ticket.Register
	// ticketWaiters are requests that wait for a newer ticket, which another agent
	// already has in force.
	ticketWaiters []ticket.WaitRequest
	admission     *admissionState
	hedging       *hedgingState
	placement     *placement.State

	published *published
	// report sends rounds of heartbeats to the heartbeat goroutine.
	report chan<- report
	// loads sends load reports to the goroutine that sends them to peers.
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
		admission: newAdmission(s, log, p, peers),
		hedging:   newHedging(s, log, p),
		placement: placement.NewState(owner.Endpoint),
		published: p,
		report:    reports,
		loads:     loads,
	}
}

// Handle passes a message to the slice that it belongs to.
func (s *state) Handle(now time.Time, message control.Message) {
	switch m := message.(type) {
	case ticket.Update:
		s.applyTickets(now, m)
	case ticket.Query:
		m.Reply <- s.tickets.Answer(m.Request)
	case ticket.WaitRequest:
		s.awaitTicket(now, m)
	case heartbeatDone:
		s.heartbeatDone(now, m)
	case stopRequested:
		s.requestStop(now, m)
	case placement.LoadReceived:
		s.placement.ReceiveLoad(now, m)
	case steering.NewerTicket:
		s.requestNewerTicket(m)
	case status.ReportRequested:
		m.Reply <- s.statusReport(now, m)
	default:
		if !s.handleHedging(now, message) {
			s.handleAdmission(now, message)
		}
	}
}

// Tick refuses requests that have waited too long, advances the drain, and sends
// heartbeats and load reports that are due.
func (s *state) Tick(now time.Time, gap time.Duration) {
	s.admission.tick(now, gap)
	s.usage.Sample(now)
	s.tickDrain(now)
	s.tickReports(now, gap)
	s.tickTicketWaiters(now)
	s.publishLoads(now)
	s.publishHedging(now)
}

func (s *state) statusReport(now time.Time, request status.ReportRequested) status.Report {
	return status.Report{
		Node:    s.settings.Node,
		Role:    membership.RoleAgent,
		Zone:    s.settings.Zone,
		State:   s.reporting.self.Fact().State.String(),
		Uptime:  now.Sub(s.started),
		Tickets: request.TicketsInForce(now, s.tickets),
		Load:    s.statusLoad(),
		Cost:    status.CostOf(s.usage.Rates(now)),
		Nodes:   request.KnownNodes(nil, s.tickets),
	}
}
