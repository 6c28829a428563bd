package packetbalancer

import (
	"time"

	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/handover"
	"cactustray/flow/wire"
)

// handoverReceived is the message that an agent that stops hands over its flows.
type handoverReceived struct {
	agent flow.Address
	part  handover.Part
}

// handoverQueried is the message that an agent has started and queries for the hand-over.
type handoverQueried struct {
	agent   flow.Address
	process handover.Process
}

// passOnHandover sends an agent that has started what the agent before handed over.
func (s *state) passOnHandover(m handoverQueried) {
	parts := s.handovers.Take(m.agent, m.process)
	if len(parts) == 0 {
		return
	}
	for _, part := range parts {
		s.traffic.counters.SendToNode(s.traffic.peers, wire.Encode(wire.HandoverPart(part)), m.agent.AddrPort())
	}
	s.log.Emit(EventHandoverPassedOn, event.Fields{"agent": m.agent.String(), "parts": len(parts)})
}

// awaitSuccessors sends hello messages to the agents whose hand-over nobody has taken, so that the
// next agent there learns of this balancer at once.
func (s *state) awaitSuccessors(now time.Duration) {
	s.handovers.Expire(now)
	agents := s.traffic.table.Load().Agents
	for _, agent := range s.handovers.Awaited() {
		if endpoint := agents[agent]; endpoint != nil {
			s.sendHello(endpoint)
		}
	}
}
