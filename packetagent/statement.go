package packetagent

import (
	"time"

	"cactustray/directory"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/settings"
)

// statementLifetime is how long a statement stays in force if balancers send hello messages
// without any: all of them are of builds that state nothing.
const statementLifetime = 10 * time.Second

// statement is what balancers state about the agent's endpoint in hello messages.
//
// Invariant: it is from the latest position of the directory that any balancer has stated, so
// that a balancer with an older directory reverts nothing.
type statement struct {
	// hasEvacuations is true if the settings have evacuations.
	hasEvacuations bool
	position       directory.Position
	// receivedAt is when a balancer last stated anything.
	receivedAt time.Duration
	evacuated  bool
	// endpointStart is the start of the endpoint that the statement is about, coldUntil when it
	// is no longer cold, and coldRate how many new flows a second it can take until then.
	endpointStart int64
	coldUntil     time.Duration
	coldRate      float64
}

// apply applies settings.
func (s *statement) apply(p *settings.PacketSettings) { s.hasEvacuations = p.HasEvacuations() }

// receive takes over what a hello message states, unless a later statement is known. Balancers may
// state different things of one position for the moment in which they exchange what each knew
// before the registry was restored; then the order counts, since its end follows.
func (s *statement) receive(now time.Duration, h wire.Hello) {
	if h.Position == (directory.Position{}) {
		if now-s.receivedAt > statementLifetime {
			s.evacuated = false
		}
		return
	}
	s.receivedAt = now
	order := h.Position.Compare(s.position)
	if order > 0 || order == 0 && h.Evacuated {
		s.evacuated = h.Evacuated
	}
	s.receiveCold(now, h, order)
	if order > 0 {
		s.position = h.Position
	}
}

// receiveCold takes over until when the endpoint is cold; order compares the position of the hello
// message with the one known. What a balancer states is too late by the time that the entry took
// to reach it, so the earliest of what all state counts. A balancer that has started has it from
// an entry that may be a second old.
func (s *statement) receiveCold(now time.Duration, h wire.Hello, order int) {
	until := now + h.ColdLeft
	switch {
	case h.EndpointStart == s.endpointStart && s.position != directory.Position{}:
		s.coldUntil = min(s.coldUntil, until)
	case order > 0 || order == 0 && h.EndpointStart > s.endpointStart:
		s.endpointStart, s.coldUntil = h.EndpointStart, until
	}
	if order >= 0 {
		s.coldRate = h.ColdRate
	}
}

// isEvacuated reports whether the endpoint gets no new flows.
func (s *statement) isEvacuated() bool { return s.hasEvacuations && s.evacuated }

// statementReceived takes over what a balancer states about the endpoint.
func (s *state) statementReceived(now time.Duration, m helloReceived) {
	s.statement.receive(now, m.Hello)
	s.applyStatement(now)
	if m.Position != (directory.Position{}) {
		s.traffic.setCold(s.statement.coldRate, s.statement.coldUntil)
	}
}

// setCold makes the flow table limit new flows while the endpoint is cold, and delivers the opening
// packets that waited for the first statement.
func (f *forwarder) setCold(rate float64, until time.Duration) {
	withFlows(f, func(t *flow.AgentTable) bool {
		t.SetCold(rate, until)
		return true
	})
	f.admitWaiting()
}

// coldLimitOf returns the limit of the settings, which have no rate.
func coldLimitOf(p *settings.PacketSettings) flow.ColdLimit {
	return flow.ColdLimit{Excess: p.ColdExcess, Slack: p.ColdSlack}
}

// applyStatement makes the traffic goroutines use the statement.
func (s *state) applyStatement(now time.Duration) {
	evacuated := s.statement.isEvacuated()
	if evacuated == (s.traffic.evacuated.Load() == 1) {
		return
	}
	returned := s.traffic.setEvacuated(evacuated)
	e := EventEvacuationEnded
	if evacuated {
		e = EventEvacuated
	}
	s.log.Emit(e, event.Fields{
		"era": s.statement.position.Era, "revision": s.statement.position.Revision,
		"flows": s.traffic.usage().Flows, "returned": returned,
	})
	s.report(now)
}

// setEvacuated makes the flow table give opening packets back to their balancers, or accept them
// again. It returns how many that waited it gave back.
func (f *forwarder) setEvacuated(evacuated bool) (returned int) {
	f.evacuated.Store(0)
	if evacuated {
		f.evacuated.Store(1)
	}
	openings := withFlows(f, func(t *flow.AgentTable) []flow.AdmittedOpening { return t.SetEvacuated(evacuated) })
	f.returnOpenings(openings)
	return len(openings)
}

// returnOpenings returns opening packets that waited to their balancers.
func (f *forwarder) returnOpenings(openings []flow.AdmittedOpening) {
	for _, o := range openings {
		f.execute(o.Flow, o.Verdict, o.Verdict.Balancer, append(make([]byte, wire.EnvelopeSize), o.Datagram...))
	}
}
