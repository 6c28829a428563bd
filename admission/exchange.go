package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"cactustray/ticket"
)

const (
	// AskWidth is how many peers are asked for a slot for each request that
	// waits.
	SlotRequestsPerJob = 2
	// ReserveTime is how long a slot is kept for a peer that asked for it.
	ReservationLifetime = 20 * time.Millisecond
	// handOverBias is how much longer a peer's request must have waited to
	// go before one that waits here: a slot idles while a hand-over is on
	// its way.
	handOverBias = 20 * time.Millisecond
	// retryPeerAfter is how long a peer that could not be reached is not
	// asked again, in asks of other peers.
	unreachablePeerSkips = 8
)

// interest is a peer's request for a slot that waits for one to be free.
type slotRequest struct {
	id    AskID
	since time.Time
}

// exchange is what an agent has asked of its peers and promised to them.
type exchange struct {
	random    *rand.Rand
	peers     []ticket.EndpointKey
	requested map[ticket.EndpointKey]bool
	// unreached counts down the asks until a peer is tried again.
	skips           map[ticket.EndpointKey]int
	pending         []slotRequest
	reserved        map[ReservationID]time.Time
	lastReservation ReservationID
}

func newExchange(random *rand.Rand) exchange {
	return exchange{
		random:    random,
		requested: make(map[ticket.EndpointKey]bool),
		skips:     make(map[ticket.EndpointKey]int),
		reserved:  make(map[ReservationID]time.Time),
		// Reservations of an earlier process mean nothing to this one.
		lastReservation: ReservationID(random.Uint32()) << 32,
	}
}

func (x *exchange) setPeers(peers []ticket.EndpointKey) { x.peers = slices.Clone(peers) }

// forget voids reservations and interests.
func (x *exchange) reset() {
	clear(x.reserved)
	x.pending = nil
}

func (x *exchange) expire(now time.Time) {
	for id, until := range x.reserved {
		if !now.Before(until) {
			delete(x.reserved, id)
		}
	}
}

func (x *exchange) redeem(id ReservationID) bool {
	_, ok := x.reserved[id]
	delete(x.reserved, id)
	return ok
}

// olderThan tells whether a peer's request has waited so much longer than one
// that arrived here that it goes first.
func (x *exchange) prefersPeer(now, arrived time.Time) bool {
	if len(x.pending) == 0 {
		return false
	}
	peerWait := now.Sub(x.pending[x.oldest()].since)
	localWait := now.Sub(arrived)
	return peerWait > 2*localWait+handOverBias
}

func (x *exchange) oldest() int {
	oldest := 0
	for i := range x.pending {
		if x.pending[i].since.Before(x.pending[oldest].since) {
			oldest = i
		}
	}
	return oldest
}

// reserve promises a free slot to the peer that has waited longest.
func (x *exchange) reserve(now time.Time) (Granted, bool) {
	if len(x.pending) == 0 {
		return Granted{}, false
	}
	i := x.oldest()
	granted := Granted{Ask: x.pending[i].id}
	x.pending = slices.Delete(x.pending, i, i+1)
	x.lastReservation++
	granted.Reservation = x.lastReservation
	x.reserved[x.lastReservation] = now.Add(ReservationLifetime)
	return granted, true
}

// pick returns a peer that is not asked yet; ok is false when there is none.
func (x *exchange) pick() (peer ticket.EndpointKey, ok bool) {
	var candidates []ticket.EndpointKey
	for _, p := range x.peers {
		if x.requested[p] {
			continue
		}
		if x.skips[p] > 0 {
			x.skips[p]--
			continue
		}
		candidates = append(candidates, p)
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return candidates[x.random.IntN(len(candidates))], true
}

// ask asks peers while work waits, and withdraws once none does.
func (s *State) requestSlots(out *Outputs) {
	wanted := SlotRequestsPerJob * s.transferable()
	if wanted == 0 {
		for peer := range s.exchange.requested {
			out.Withdraw = append(out.Withdraw, peer)
		}
		slices.Sort(out.Withdraw)
		clear(s.exchange.requested)
		return
	}
	for len(s.exchange.requested) < wanted {
		peer, ok := s.exchange.pick()
		if !ok {
			return
		}
		s.exchange.requested[peer] = true
		out.Ask = append(out.Ask, peer)
	}
}

// handable counts the waiting requests that may be handed over.
func (s *State) transferable() int {
	n := 0
	for _, e := range s.queue {
		if !e.Pinned {
			n++
		}
	}
	return n
}

// Waited returns how long the oldest request has waited.
func (s *State) Waited(now time.Time) time.Duration {
	if len(s.queue) == 0 {
		return 0
	}
	return now.Sub(s.queue[0].arrived)
}

// SlotAsked takes a peer's request for a slot in.
func (s *State) SlotAsked(now time.Time, id AskID, waited time.Duration) Outputs {
	if s.draining {
		return Outputs{}
	}
	s.exchange.pending = append(s.exchange.pending, slotRequest{id: id, since: now.Add(-waited)})
	return s.schedule(now)
}

// SlotWithdrawn forgets a peer's request for a slot.
func (s *State) SlotWithdrawn(id AskID) {
	s.exchange.pending = slices.DeleteFunc(s.exchange.pending, func(i slotRequest) bool { return i.id == id })
}

// ReservationDeclined frees a slot that a peer will not use.
func (s *State) ReservationDeclined(now time.Time, id ReservationID) Outputs {
	s.exchange.redeem(id)
	return s.schedule(now)
}

// SlotOffered hands the oldest request over to a peer that reserved a slot.
// used is false when no request waits any more; the peer should be told.
func (s *State) SlotOffered(now time.Time, peer ticket.EndpointKey, id ReservationID) (out Outputs, used bool) {
	delete(s.exchange.requested, peer)
	s.expire(now, &out)
	for i, e := range s.queue {
		if e.Pinned {
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		s.estimate.recordDequeue(now, len(s.queue))
		s.assert(e.step == queued, DispatchedOnce, e.ID)
		e.step = transferred
		e.attempt++
		out.Decisions = append(out.Decisions, Decision{ID: e.ID, Attempt: e.attempt, Peer: peer, Reservation: id})
		used = true
		break
	}
	s.requestSlots(&out)
	return out, used
}

// AskEnded takes in that a peer gave no slot.
func (s *State) AskEnded(peer ticket.EndpointKey, failed bool) Outputs {
	delete(s.exchange.requested, peer)
	if failed {
		s.exchange.skips[peer] = unreachablePeerSkips
	}
	var out Outputs
	s.requestSlots(&out)
	return out
}
