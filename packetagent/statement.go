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
	if order > 0 {
		s.position = h.Position
	}
}

// isEvacuated reports whether the endpoint gets no new flows.
func (s *statement) isEvacuated() bool { return s.hasEvacuations && s.evacuated }

// statementReceived takes over what a balancer states about the endpoint.
func (s *state) statementReceived(now time.Duration, m helloReceived) {
	s.statement.receive(now, m.Hello)
	s.applyStatement(now)
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
	for _, o := range openings {
		f.execute(o.Flow, o.Verdict, o.Verdict.Balancer, append(make([]byte, wire.EnvelopeSize), o.Datagram...))
	}
	return len(openings)
}
