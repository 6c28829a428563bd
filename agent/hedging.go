package agent

import (
	"math"
	"sync/atomic"
	"time"

	"cactustray/admission"
	"cactustray/admission/frontend"
	"cactustray/control"
	"cactustray/event"
	"cactustray/hedging"
	"cactustray/metrics"
	"cactustray/settings"
	"cactustray/ticket"
)

// hedgingState is the part of the control state that belongs to the hedging slice.
type hedgingState struct {
	state *hedging.State
	// snapshot publishes what traffic goroutines need to offer copies.
	snapshot *atomic.Pointer[hedging.Snapshot]
	log      *event.Log
	// slow is true if the last event said that the backend server as a whole is slow.
	slow bool
	// registry is set before the control goroutine starts; nil counts nothing.
	registry *metrics.Registry
}

func newHedging(s *settings.Settings, log *event.Log, p *published) *hedgingState {
	limits := hedging.Settings{Percent: s.Agent.HedgePercent, FreePercent: s.Agent.HedgeFreePercent}
	return &hedgingState{state: hedging.NewState(limits), snapshot: &p.hedging, log: log}
}

// handleHedging applies one message of the hedging slice. It returns false if the message
// belongs to another slice.
func (s *state) handleHedging(now time.Time, message control.Message) bool {
	h := s.hedging
	switch m := message.(type) {
	case hedging.Answered:
		h.state.Answered(now, m)
		h.logSlow()
	case hedging.Offered:
		h.state.Offered(now, m)
	case hedging.CopyEnded:
		h.state.CopyEnded(m)
	case admission.CopyArrived:
		m.Reply <- s.admitCopy(now, m)
	default:
		return false
	}
	return true
}

// admitCopy decides on a second copy that another agent offers, and dispatches it.
func (s *state) admitCopy(now time.Time, m admission.CopyArrived) admission.CopyDecision {
	h := s.hedging
	out := admission.CopyDecision{Admission: h.state.Admit(now, m.Class, s.admission.queue.Room(now))}
	if out.Verdict == hedging.Admitted {
		out.Decision = s.admission.queue.ArriveCopy(now, m.Request)
		if out.Decision.Refusal != admission.None {
			h.state.CopyEnded(hedging.CopyEnded{Expected: out.Expected})
			out.Verdict = hedging.NoRoom
		}
	}
	h.count(out.Verdict)
	return out
}

func (h *hedgingState) count(v hedging.Verdict) {
	switch {
	case h.registry == nil:
	case v == hedging.Admitted:
		h.registry.Counter("hedging.admitted").Add(1)
	default:
		h.registry.Counter("hedging.held_back." + v.String()).Add(1)
	}
}

// logSlow logs when the backend server as a whole becomes slow, and when it no longer is.
func (h *hedgingState) logSlow() {
	slow, share := h.state.Slow()
	if slow == h.slow {
		return
	}
	h.slow = slow
	e := EventCopiesResumed
	if slow {
		e = EventCopiesSuspended
	}
	h.log.Emit(e, event.Fields{"slow_percent": math.Round(100 * share)})
}

// publishHedging publishes the endpoints that may get copies, with their last loads, and the
// delays.
func (s *state) publishHedging(now time.Time) {
	if s.settings.Agent.HedgePercent == 0 {
		return
	}
	if t := s.published.ticket.Load(); t != nil {
		s.hedging.state.SetPeers(s.hedgingPeers(now, t))
	}
	s.hedging.snapshot.Store(s.hedging.state.Snapshot(now))
}

func (s *state) hedgingPeers(now time.Time, t *ticket.Ticket) []hedging.Peer {
	known := make(map[ticket.EndpointKey]hedging.Peer)
	leaving := make(map[ticket.EndpointKey]bool)
	for _, p := range s.placement.Fresh(now) {
		known[p.Key] = hedging.Peer{FreeSlots: p.Load.FreeSlots(), Known: true}
		leaving[p.Key] = p.Load.Leaving
	}
	var peers []hedging.Peer
	for _, e := range t.Endpoints {
		key := ticket.EndpointKeyOf(t.Service, e.Name)
		if e.Draining || leaving[key] || key == s.admission.self {
			continue
		}
		peer := known[key]
		peer.Key, peer.Zone = key, e.Zone
		peers = append(peers, peer)
	}
	return peers
}

// registerCopies registers the counters of the second copies that this agent offers.
func registerCopies(registry *metrics.Registry, c *frontend.CopyCounters) {
	registry.GaugeFunc("hedging.offered", c.Offered.Load)
	registry.GaugeFunc("hedging.won", c.Won.Load)
	registry.GaugeFunc("hedging.cancelled_late", c.CancelledLate.Load)
}
