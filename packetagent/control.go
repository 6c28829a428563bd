package packetagent

import (
	"time"

	"cactustray/control"
	"cactustray/control/clock"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"
	"cactustray/settings"
)

const (
	// helloFor is how long a balancer counts after it greeted this agent: four
	// greetings.
	helloFor = 2 * time.Second
	// reportFanout is how many balancers get a report each placement.ReportInterval;
	// more of them get theirs less often, so that reports cost an agent the same in a
	// larger deployment. reportSlowest bounds how seldom.
	reportFanout  = 24
	reportSlowest = time.Second
	// nameInterval is how often reports name the balancers, from which they learn of each
	// other: several times the 2 s after which they forget.
	nameInterval = 500 * time.Millisecond
	// maxBalancers bounds how many balancers get reports.
	maxBalancers = 256
	// sweepInterval is how often old flows are forgotten.
	sweepInterval = time.Second
	// pauseLimit is the gap between two ticks that shows that the process did
	// not run.
	pauseLimit = time.Second
)

// greeted tells that a balancer may send flows here.
type greeted struct {
	wire.Hello
	balancer flow.Address
}

// silenceChanged tells that the endpoint fell silent, or answers again.
type silenceChanged struct{ silent bool }

// state is the control state. The control goroutine owns it.
type state struct {
	log       *event.Log
	traffic   *forwarder
	balancers map[flow.Address]time.Duration
	leaving   bool
	ticked    time.Duration
	swept     time.Duration
	// last is the usage at the last report.
	last   flow.Usage
	lastAt time.Duration
	// reported is when the load was reported last, named when with the balancers.
	reported time.Duration
	named    time.Duration
}

func newState(log *event.Log, t *forwarder) *state {
	now := clock.Now()
	return &state{
		log: log, traffic: t, balancers: make(map[flow.Address]time.Duration), ticked: now, swept: now, lastAt: now,
	}
}

// Handle applies one message.
func (s *state) Handle(_ time.Time, message control.Message) {
	now := clock.Now()
	switch m := message.(type) {
	case greeted:
		s.greeted(now, m)
	case silenceChanged:
		s.silenceChanged(now, m.silent)
	case *settings.Settings:
		s.apply(m)
	case leave:
		s.leaving = true
		s.log.Emit(EventLeaving, event.Fields{"requests": s.traffic.usage().Running, "flows": s.traffic.usage().Flows})
		s.report(now)
	}
}

func (s *state) greeted(now time.Duration, m greeted) {
	s.traffic.setSlots(m.Slots)
	_, known := s.balancers[m.balancer]
	switch {
	case m.Leaving && known:
		delete(s.balancers, m.balancer)
		s.named = 0
		s.log.Emit(EventBalancerLeft, event.Fields{"balancer": m.balancer.String()})
	case m.Leaving || !known && len(s.balancers) >= maxBalancers:
	default:
		s.balancers[m.balancer] = now
		if !known {
			s.log.Emit(EventBalancerMet, event.Fields{"balancer": m.balancer.String()})
			s.named = 0
			s.report(now)
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

// Tick reports the load and forgets old flows.
func (s *state) Tick(_ time.Time, _ time.Duration) {
	now := clock.Now()
	if gap := now - s.ticked; gap > pauseLimit {
		s.log.Emit(EventPaused, event.Fields{"gap_ms": gap.Milliseconds()})
	}
	s.ticked = now
	for balancer, at := range s.balancers {
		if now-at > helloFor {
			delete(s.balancers, balancer)
			s.log.Emit(EventBalancerLost, event.Fields{"balancer": balancer.String()})
		}
	}
	if now-s.reported >= s.interval()-placement.ReportInterval/2 {
		s.report(now)
	}
	if now-s.swept >= sweepInterval {
		s.swept = now
		s.traffic.sweep()
	}
}

// interval returns the pause between two reports.
func (s *state) interval() time.Duration {
	slower := placement.ReportInterval * time.Duration(len(s.balancers)) / reportFanout
	return min(max(slower, placement.ReportInterval), reportSlowest)
}

// report tells the balancers how busy the endpoint is.
func (s *state) report(now time.Duration) {
	s.reported = now
	usage := s.traffic.usage()
	report := wire.Report{Usage: placement.Usage{
		Flows: usage.Flows, Running: usage.Running, Mean: s.mean(now, usage), Failing: usage.Failing,
		Answer:   usage.Answer,
		Interval: s.interval(), Silent: usage.Silent, Leaving: s.leaving,
	}}
	if s.named == 0 || now-s.named >= nameInterval {
		s.named = now
		for balancer := range s.balancers {
			report.Balancers = append(report.Balancers, balancer)
		}
	}
	datagram := wire.Encode(report)
	for balancer := range s.balancers {
		s.traffic.counters.Send(s.traffic.peers, datagram, balancer.AddrPort())
	}
}

// minMeanTime is the shortest time that a mean is taken over.
const minMeanTime = placement.ReportInterval / 2

// mean returns the mean number of running requests since the report before.
func (s *state) mean(now time.Duration, usage flow.Usage) float64 {
	span := now - s.lastAt
	if span < minMeanTime {
		return float64(usage.Running)
	}
	mean := float64(usage.RunningTime-s.last.RunningTime) / float64(span)
	s.last, s.lastAt = usage, now
	return mean
}

// apply takes changed settings in: addresses stay as they are until a restart.
func (s *state) apply(changed *settings.Settings) {
	s.traffic.apply(changed.Packets)
	s.log.Emit(EventSettings, event.Fields{"flow_seconds": changed.Packets.FlowSeconds, "stop_ms": changed.Packets.StopMillis})
}
