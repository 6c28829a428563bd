package agent

import (
	"net/netip"
	"slices"
	"time"

	"cactustray/event"
	"cactustray/liveness"
	"cactustray/liveness/heartbeat"
	"cactustray/steering/datagram"
	"cactustray/ticket"
)

// report is one round of heartbeats.
type report struct {
	heartbeat.Report
	// targets are the balancers to report to.
	targets []netip.AddrPort
	// last are balancers that watched this agent until now.
	last    []netip.AddrPort
	digests []ticket.Digest
}

// answered brings a balancer's answer, or why there is none, to the control
// goroutine.
type answered struct {
	from   netip.AddrPort
	answer heartbeat.Answer
	cause  error
}

// reporting is what the agent knows of the balancers that watch it.
type reporting struct {
	self  *liveness.Self
	paths *liveness.Paths
	// targets are the balancers of the last report.
	targets []netip.AddrPort
	// leaving says which of them saw this VM listed as leaving.
	leaving map[netip.AddrPort]bool
	sent    time.Time
	// dirty asks for a report before the interval is over.
	dirty bool
}

func newReporting(self *liveness.Self, seeds []netip.AddrPort) *reporting {
	return &reporting{
		self:    self,
		paths:   liveness.NewPaths(seeds),
		leaving: make(map[netip.AddrPort]bool),
		dirty:   true,
	}
}

// tickReports reports when it is time, or at once when something has changed.
func (s *state) tickReports(now time.Time, gap time.Duration) {
	r := s.reporting
	if gap > liveness.PauseLimit {
		s.log.Emit(EventPaused, event.Fields{"gap": gap.String()})
		r.paths.Resume()
		r.dirty = true
	}
	targets := r.paths.Targets(now)
	if !r.dirty && now.Sub(r.sent) < liveness.HeartbeatInterval && slices.Equal(targets, r.targets) {
		return
	}
	next := s.nextReport(targets)
	select {
	case s.report <- next:
		r.targets, r.sent, r.dirty = targets, now, false
	default: // the heartbeat goroutine is busy; the next tick reports anew
	}
}

func (s *state) nextReport(targets []netip.AddrPort) report {
	r := s.reporting
	next := report{targets: targets}
	next.Fact = r.self.Fact()
	next.Service = s.service
	next.Paths = r.paths.Digest()
	if entry := s.tickets.Entry(s.service); entry != nil {
		next.Ticket = entry.Ticket.Number
		next.digests = []ticket.Digest{ticket.DigestOf(entry.Held)}
	}
	for _, old := range r.targets {
		if !slices.Contains(targets, old) {
			next.last = append(next.last, old)
		}
	}
	return next
}

// answered takes a balancer's answer in.
func (s *state) answered(now time.Time, m answered) {
	r := s.reporting
	r.paths.Answered(now, m.from, m.cause == nil)
	if m.cause != nil {
		s.log.Emit(EventBalancerSilent, event.Fields{"balancer": m.from, "cause": m.cause})
		s.publishRoutes(now)
		return
	}
	r.paths.Learn(m.answer.Balancers)
	if r.self.Refute(m.answer.Believed) {
		r.dirty = true
	}
	s.publishRoutes(now)
	r.leaving[m.from] = m.answer.Leaving
	s.setDrain(now, liveness.ByList, s.listedLeaving())
}

// listedLeaving tells whether any current target saw this VM leave.
func (s *state) listedLeaving() bool {
	for _, target := range s.reporting.targets {
		if s.reporting.leaving[target] {
			return true
		}
	}
	return false
}

// publishRoutes lets replies leave through the balancers that answer.
func (s *state) publishRoutes(now time.Time) {
	replies := s.reporting.paths.Replies(now)
	known := s.published.residence.Routes.Load()
	if len(replies) == 0 || known != nil && slices.Equal(known.Balancers, replies) {
		return
	}
	s.published.residence.Routes.Store(&datagram.Routes{Balancers: replies})
}
