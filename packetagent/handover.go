package packetagent

import (
	"math/rand/v2"
	"time"

	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/handover"
	"cactustray/flow/wire"
)

const (
	// handoverCopies is how many balancers get the hand-over: some of them may stop too.
	handoverCopies = 3
	// handoverQueryPeriod is how long after its start an agent queries balancers for the hand-over
	// of the agent before, and handoverQueries how often each of them: datagrams may be lost.
	handoverQueryPeriod = 3 * time.Second
	handoverQueries     = 3
)

// handOver is the message that the agent is about to stop; done is closed once its flows are handed
// over.
type handOver struct{ done chan<- struct{} }

// handoverPartReceived is the message that brings a part of the hand-over of the agent before.
type handoverPartReceived struct{ part handover.Part }

// predecessor is what the agent does to learn the flows of the agent that ran before it.
type predecessor struct {
	process handover.Process
	// started is when this agent started. isFirst is true if there is no agent before.
	started time.Duration
	isFirst bool
	queries map[flow.Address]int
	parts   handover.Assembly
	// taken is true once the flows were taken over.
	taken bool
}

func newPredecessor(now time.Duration) predecessor {
	return predecessor{process: handover.Process(rand.Uint64() | 1), started: now, queries: make(map[flow.Address]int)}
}

// isQueryDue reports whether a balancer is to be queried, and counts the query.
func (p *predecessor) isQueryDue(now time.Duration, balancer flow.Address) bool {
	if p.isFirst || p.taken || now-p.started > handoverQueryPeriod || p.queries[balancer] >= handoverQueries {
		return false
	}
	p.queries[balancer]++
	return true
}

// queryHandover queries a balancer for the hand-over of the agent before, if that is due.
func (s *state) queryHandover(now time.Duration, balancer flow.Address) {
	if s.predecessor.isQueryDue(now, balancer) {
		query := wire.HandoverQuery{Process: s.predecessor.process}
		s.traffic.counters.SendToNode(s.traffic.peers, wire.Encode(query), balancer.AddrPort())
	}
}

// handoverPartReceived takes over the flows of the agent before, once all parts have arrived.
func (s *state) handoverPartReceived(now time.Duration, part handover.Part) {
	if part.From == s.predecessor.process {
		return
	}
	h, whole := s.predecessor.parts.Add(part)
	if !whole {
		return
	}
	s.predecessor.taken = true
	withFlows(s.traffic, func(t *flow.AgentTable) bool {
		t.TakeOver(now, h)
		return true
	})
	s.log.Emit(EventFlowsTakenOver, event.Fields{"flows": len(h.Open), "unsure": len(h.Unsure), "complete": h.Complete})
	s.report(now)
}

// handOver sends the flows of the endpoint to a few balancers, which pass them on to the agent that
// starts next, and returns the waiting opening packets to the balancers that sent them.
func (s *state) handOver(now time.Duration) {
	var returned []flow.AdmittedOpening
	h := withFlows(s.traffic, func(t *flow.AgentTable) (h flow.Handover) {
		h, returned = t.HandOver(now)
		return h
	})
	s.traffic.returnOpenings(returned)
	receivers := s.handoverReceivers()
	parts := handover.Split(s.predecessor.process, now, h)
	for _, part := range parts {
		datagram := wire.Encode(wire.HandoverPart(part))
		for _, balancer := range receivers {
			s.traffic.counters.SendToNode(s.traffic.peers, datagram, balancer.AddrPort())
		}
	}
	s.log.Emit(EventFlowsHandedOver, event.Fields{
		"flows": len(h.Open), "unsure": len(h.Unsure), "complete": h.Complete, "parts": len(parts), "balancers": len(receivers),
	})
}

// handoverReceivers returns the balancers that get the hand-over, if possible those of the agent's
// own failure domain.
func (s *state) handoverReceivers() []flow.Address {
	var receivers, remote []flow.Address
	for balancer := range s.balancers {
		if s.remote[balancer] {
			remote = append(remote, balancer)
		} else {
			receivers = append(receivers, balancer)
		}
	}
	receivers = append(receivers, remote...)
	return receivers[:min(len(receivers), handoverCopies)]
}
