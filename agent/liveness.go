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
	// former are balancers that were targets of the previous round only. They get a
	// final report.
	former  []netip.AddrPort
	digests []ticket.Digest
}

// heartbeatDone is the message that brings a balancer's answer, or the cause of the
// failure, to the control goroutine.
type heartbeatDone struct {
	from   netip.AddrPort
	answer heartbeat.Answer
	cause  error
}

// reporting is the state of the agent's heartbeats to the balancers that watch it.
type reporting struct {
	self  *liveness.Self
	paths *liveness.Paths
	// targets are the balancers of the last report.
	targets []netip.AddrPort
	// leaving is true for balancers whose last answer said that the platform lists
	// this VM as leaving.
	leaving map[netip.AddrPort]bool
	sent    time.Time
	// dirty is true if a report is to be sent before the interval is over.
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

// tickReports starts a round of heartbeats if the interval is over, the set of
// targets has changed, or a report was requested with dirty. After a pause of the
// process it clears the recorded failures of balancers to answer, and reports at once.
func (s *state) tickReports(now time.Time, gap time.Duration) {
	r := s.reporting
	if gap > liveness.PauseThreshold {
		s.log.Emit(EventPaused, event.Fields{"gap": gap.String()})
		r.paths.Resume()
		r.dirty = true
	}
	targets := r.paths.HeartbeatTargets(now)
	if !r.dirty && now.Sub(r.sent) < liveness.HeartbeatInterval && slices.Equal(targets, r.targets) {
		return
	}
	next := s.nextReport(targets)
	select {
	case s.report <- next:
		r.targets, r.sent, r.dirty = targets, now, false
	default: // the heartbeat goroutine is busy; the next tick tries again
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
		next.digests = []ticket.Digest{ticket.DigestOf(entry.Record)}
	}
	for _, old := range r.targets {
		if !slices.Contains(targets, old) {
			next.former = append(next.former, old)
		}
	}
	return next
}

// heartbeatDone applies the result of a heartbeat.
func (s *state) heartbeatDone(now time.Time, m heartbeatDone) {
	r := s.reporting
	r.paths.RecordAnswer(now, m.from, m.cause == nil)
	if m.cause != nil {
		s.log.Emit(EventBalancerUnresponsive, event.Fields{"balancer": m.from, "cause": m.cause})
		s.publishRoutes(now)
		return
	}
	r.paths.SetBalancers(m.answer.Balancers)
	if r.self.Refute(m.answer.Believed) {
		r.dirty = true
	}
	s.publishRoutes(now)
	r.leaving[m.from] = m.answer.Leaving
	s.setDrain(now, liveness.CauseVMList, s.listedLeaving())
}

// listedLeaving reports whether any current target answered that the platform lists
// this VM as leaving.
func (s *state) listedLeaving() bool {
	for _, target := range s.reporting.targets {
		if s.reporting.leaving[target] {
			return true
		}
	}
	return false
}

// publishRoutes publishes the balancers to send replies through. It retains the
// previous ones if there are none.
func (s *state) publishRoutes(now time.Time) {
	replies := s.reporting.paths.ReplyTargets(now)
	known := s.published.shared.Routes.Load()
	if len(replies) == 0 || known != nil && slices.Equal(known.Balancers, replies) {
		return
	}
	s.published.shared.Routes.Store(&datagram.Routes{Balancers: replies})
}
