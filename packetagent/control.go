package packetagent

import (
	"time"

	"cactustray/contact"
	"cactustray/control"
	"cactustray/control/clock"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"
	"cactustray/settings"
)

const (
	// helloLifetime is how long a balancer counts as alive after its last hello message:
	// four times the interval between them.
	helloLifetime = 2 * time.Second
	// reportFanout is how many balancers can get a report each placement.ReportInterval.
	// With more balancers the interval grows, up to maxReportInterval, so that reports
	// cost an agent the same in a larger deployment.
	reportFanout      = 24
	maxReportInterval = time.Second
	// balancerListInterval is how often a report lists the balancers, which discover each
	// other this way. Several lists fit into the 2 s after which a balancer removes a peer.
	balancerListInterval = 500 * time.Millisecond
	// maxBalancers limits how many balancers get reports.
	maxBalancers = 256
	// sweepInterval is how often expired flows are removed.
	sweepInterval = time.Second
	// pauseThreshold is the longest gap between two ticks; a longer one means that
	// the process was paused.
	pauseThreshold = time.Second
)

// helloReceived is the message that brings a balancer's hello message to the control
// goroutine: the balancer may send flows to this agent, or is stopping.
type helloReceived struct {
	wire.Hello
	balancer flow.Address
}

// silenceChanged is the message that the endpoint stopped answering, or answers again.
type silenceChanged struct{ silent bool }

// state is the control state. The control goroutine owns it.
type state struct {
	log           *event.Log
	traffic       *forwarder
	balancers     map[flow.Address]time.Duration
	introductions introductions
	predecessor   predecessor
	// receivers are the balancers that requested a longer interval between reports.
	receivers contact.Receivers
	// remote has the balancers that stated to be in another failure domain.
	remote map[flow.Address]bool
	// firstHello is when the first hello message of any balancer arrived, or 0.
	firstHello time.Duration
	// statement is what balancers state about the endpoint.
	statement statement
	refusals  event.Episode
	leaving   bool
	lastTick  time.Duration
	lastSweep time.Duration
	// lastUsage is the usage at lastUsageAt, from which the mean of the next report is
	// computed.
	lastUsage   flow.Usage
	lastUsageAt time.Duration
	lastMean    float64
	// lastReport is when the load was last reported, lastBalancerList when a report last
	// listed the balancers; 0 makes the next report list them.
	lastReport       time.Duration
	lastBalancerList time.Duration
	// lastNewBalancer is when all balancers last got a report because of a new one, and
	// newBalancersPending whether they are due for another.
	lastNewBalancer     time.Duration
	newBalancersPending bool
}

// newState returns the control state of an agent that starts. seeds are the addresses of
// balancers that may run.
func newState(log *event.Log, f *forwarder, seeds []flow.Address) *state {
	now := clock.Now()
	s := &state{
		predecessor: newPredecessor(now),
		log:         log, traffic: f, balancers: make(map[flow.Address]time.Duration), introductions: make(introductions), refusals: newRefusals(),
		lastTick: now, lastSweep: now, lastUsageAt: now,
	}
	for _, seed := range seeds {
		s.introductions.begin(now, seed)
	}
	return s
}

// Handle applies one message.
func (s *state) Handle(_ time.Time, message control.Message) {
	now := clock.Now()
	switch m := message.(type) {
	case helloReceived:
		s.helloReceived(now, m)
	case newBalancersDue:
		s.reportNewBalancers(now)
	case silenceChanged:
		s.silenceChanged(now, m.silent)
	case *settings.Settings:
		s.apply(m)
	case handoverPartReceived:
		s.handoverPartReceived(now, m.part)
	case handOver:
		s.handOver(now)
		close(m.done)
	case leave:
		s.leaving = true
		s.log.Emit(EventLeaving, event.Fields{"requests": s.traffic.usage().Running, "flows": s.traffic.usage().Flows})
		s.report(now)
	}
}

func (s *state) helloReceived(now time.Duration, m helloReceived) {
	if s.firstHello == 0 {
		s.firstHello = now
	}
	if confirmed, refuted := s.traffic.applyHello(now, m.Hello); confirmed || refuted {
		e := EventFlowsKnown
		if refuted {
			e = EventFlowsNotKnown
		}
		s.log.Emit(e, event.Fields{"balancer": m.balancer.String(), "endpoint_start_ms": m.EndpointStart, "known_ms": m.EndpointKnown.Milliseconds()})
		defer s.report(now)
	}
	s.statementReceived(now, m)
	s.queryHandover(now, m.balancer)
	delete(s.introductions, m.balancer)
	s.recordDomain(m.balancer, m.Remote)
	_, known := s.balancers[m.balancer]
	switch {
	case m.Leaving && known:
		s.forget(m.balancer)
		s.lastBalancerList = 0
		s.log.Emit(stopEvent(m.Hello), event.Fields{"balancer": m.balancer.String()})
	case m.Leaving || !known && len(s.balancers) >= maxBalancers:
	default:
		s.balancers[m.balancer] = now
		s.receivers.Request(m.balancer, m.ReportInterval)
		switch {
		case !known && s.receivers.IsSlow(m.balancer):
			s.log.Emit(EventContactBegun, event.Fields{"balancer": m.balancer.String(), "interval_ms": m.ReportInterval.Milliseconds()})
			s.reportSlow(now)
		case !known:
			s.log.Emit(EventBalancerFound, event.Fields{"balancer": m.balancer.String()})
			s.reportNewBalancer(now, m.balancer)
		}
	}
}

func (s *state) silenceChanged(now time.Duration, silent bool) {
	e := EventEndpointBack
	if silent {
		e = EventEndpointSilent
	}
	s.log.Emit(e, event.Fields{"flows": s.traffic.usage().Flows})
	s.report(now)
}

// Tick removes balancers that stopped sending hello messages, reports the load and
// removes expired flows.
func (s *state) Tick(_ time.Time, _ time.Duration) {
	now := clock.Now()
	if gap := now - s.lastTick; gap > pauseThreshold {
		s.log.Emit(EventPaused, event.Fields{"gap_ms": gap.Milliseconds()})
	}
	s.lastTick = now
	s.traffic.admitWaiting()
	s.traffic.checkSilence()
	s.refusals.Observe(now, s.traffic.refusedOpenings(), s.log)
	s.removeSilentBalancers(now)
	s.reportSlow(now)
	if now-s.lastReport >= s.reportInterval()-placement.ReportInterval/2 {
		s.reportFast(now)
	}
	if now-s.lastSweep >= sweepInterval {
		s.lastSweep = now
		s.traffic.sweep()
	}
}

// removeSilentBalancers removes balancers that stopped sending hello messages.
func (s *state) removeSilentBalancers(now time.Duration) {
	for balancer, at := range s.balancers {
		if now-at > s.receivers.HelloLifetime(balancer, helloLifetime) {
			s.forget(balancer)
			s.introductions.begin(now, balancer)
			s.log.Emit(EventBalancerLost, event.Fields{"balancer": balancer.String()})
		}
	}
}

// reportInterval returns the interval between two reports to the balancers that request no
// other.
func (s *state) reportInterval() time.Duration {
	slower := placement.ReportInterval * time.Duration(len(s.balancers)-s.receivers.Len()) / reportFanout
	return min(max(slower, placement.ReportInterval), maxReportInterval)
}

// report sends the endpoint's load to all balancers, as after a change that all must know.
func (s *state) report(now time.Duration) {
	s.reportFast(now)
	report := s.currentReport(now)
	for balancer := range s.balancers {
		if s.receivers.IsSlow(balancer) {
			s.sendSlow(now, report, balancer)
		}
	}
}

// reportSlow sends the endpoint's load to the balancers that requested a longer interval and
// are due.
func (s *state) reportSlow(now time.Duration) {
	var report wire.Report
	prepared := false
	for balancer := range s.balancers {
		if !s.receivers.Due(now, balancer, s.reportInterval(), placement.ReportInterval) {
			continue
		}
		if !prepared {
			report, prepared = s.currentReport(now), true
			report.Routes, report.RoutesStated = s.traffic.heldRoutes(now)
		}
		s.sendSlow(now, report, balancer)
	}
}

// sendSlow sends a report that states the interval that holds for the receiver. It lists a few
// balancers, others each time.
func (s *state) sendSlow(now time.Duration, report wire.Report, balancer flow.Address) {
	report.Balancers = nil
	for other := range s.balancers {
		if len(report.Balancers) < contact.Listed {
			report.Balancers = append(report.Balancers, other)
		}
	}
	report.Interval = s.receivers.Interval(balancer, s.reportInterval())
	s.receivers.Sent(now, balancer)
	s.traffic.counters.SendToNode(s.traffic.peers, wire.Encode(report), balancer.AddrPort())
}

// currentReport returns the endpoint's load, with the mean of the last fast report and without
// the balancers.
func (s *state) currentReport(now time.Duration) wire.Report {
	usage := s.traffic.usage()
	report := wire.Report{Usage: placement.Usage{
		Flows: usage.Flows, Running: usage.Running + usage.Waiting, Mean: s.lastMean, Failing: usage.Failing,
		ProcessingTime: usage.ProcessingTime,
		Interval:       s.reportInterval(), Silent: usage.Silent, Leaving: s.leaving,
		FlowsKnown: s.traffic.flowsKnown(), BulkQueries: true, ReadsServiceName: true,
	}, ReadsClass: true}
	if s.firstHello != 0 {
		report.BalancersKnown = now - s.firstHello
	}
	return report
}

// reportFast sends the endpoint's load to the balancers that request no other interval.
func (s *state) reportFast(now time.Duration) {
	s.lastReport, s.newBalancersPending = now, false
	datagram := s.composeReport(now)
	for balancer := range s.balancers {
		if !s.receivers.IsSlow(balancer) {
			s.traffic.counters.SendToNode(s.traffic.peers, datagram, balancer.AddrPort())
		}
	}
	for _, balancer := range s.introductions.take(now) {
		s.traffic.counters.SendToNode(s.traffic.peers, datagram, balancer.AddrPort())
	}
}

// composeReport returns the datagram of a report to balancers that request no other interval. It
// lists the balancers if they are due.
func (s *state) composeReport(now time.Duration) []byte {
	s.lastMean = s.meanRunning(now, s.traffic.usage())
	report := s.currentReport(now)
	if s.lastBalancerList == 0 || now-s.lastBalancerList >= balancerListInterval {
		s.lastBalancerList = now
		for balancer := range s.balancers {
			report.Balancers = append(report.Balancers, balancer)
		}
		report.Routes, report.RoutesStated = s.traffic.heldRoutes(now)
	}
	return wire.Encode(report)
}

// minMeanSpan is the shortest time over which a mean is computed.
const minMeanSpan = placement.ReportInterval / 2

// forget removes a balancer.
func (s *state) forget(balancer flow.Address) {
	delete(s.balancers, balancer)
	s.receivers.Remove(balancer)
}

// recordDomain sets for the traffic counters whether a balancer is in another failure domain.
func (s *state) recordDomain(balancer flow.Address, remote bool) {
	if s.remote[balancer] == remote {
		return
	}
	if s.remote == nil || len(s.remote) > 2*maxBalancers {
		s.remote = make(map[flow.Address]bool)
	}
	s.remote[balancer] = remote
	hosts := make(map[[4]byte]bool)
	for known, isRemote := range s.remote {
		if isRemote {
			hosts[known.IP] = true
		}
	}
	s.traffic.counters.Domains.SetRemote(hosts)
}

// stopEvent returns the event of a balancer that sends no more hello messages: one in another
// failure domain that has requested slow reports may have chosen other agents.
func stopEvent(h wire.Hello) event.Event {
	if h.Remote && h.ReportInterval > 0 {
		return EventContactEnded
	}
	return EventBalancerStopping
}

// meanRunning returns the mean number of running requests since the previous report,
// or the current number if that was less than minMeanSpan ago.
func (s *state) meanRunning(now time.Duration, usage flow.Usage) float64 {
	span := now - s.lastUsageAt
	if span < minMeanSpan {
		return float64(usage.Running)
	}
	meanRunning := float64(usage.RunningTime-s.lastUsage.RunningTime) / float64(span)
	s.lastUsage, s.lastUsageAt = usage, now
	return meanRunning
}

// apply applies changed settings, except addresses, which need a restart.
func (s *state) apply(changed *settings.Settings) {
	s.traffic.apply(changed.Packets)
	s.statement.apply(changed.Packets)
	s.applyStatement(clock.Now())
	s.log.Emit(EventSettings, event.Fields{"flow_seconds": changed.Packets.FlowSeconds, "stop_ms": changed.Packets.StopMillis})
}
