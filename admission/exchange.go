package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"cactustray/ticket"
)

const (
	// SlotRequestsPerJob is how many peers a slot is requested from for each
	// queued request.
	SlotRequestsPerJob = 2
	// ReservationLifetime is how long a slot stays reserved for a peer.
	ReservationLifetime = 20 * time.Millisecond
	// handOverBias is the extra wait that a peer's request must have to get a
	// slot before a local one: the slot is idle while the request is in
	// transit.
	handOverBias = 20 * time.Millisecond
	// unreachablePeerSkips is how many times a peer that could not be reached
	// is skipped in the choice of peers before it is tried again.
	unreachablePeerSkips = 8
)

// slotRequest is a peer's request for a slot that waits until one is free.
type slotRequest struct {
	id    SlotRequestID
	since time.Time
}

// exchange is the state of the slot exchange with peers: the slots requested
// from them, the slots they request, and the slots reserved for them.
type exchange struct {
	random    *rand.Rand
	peers     []ticket.EndpointKey
	requested map[ticket.EndpointKey]bool
	// skips is how many more times an unreachable peer is skipped.
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
		// The random upper half keeps a reservation of an earlier process from
		// being taken for one of this process.
		lastReservation: ReservationID(random.Uint32()) << 32,
	}
}

func (x *exchange) setPeers(peers []ticket.EndpointKey) { x.peers = slices.Clone(peers) }

// reset drops all reservations and the open slot requests of peers.
func (x *exchange) reset() {
	clear(x.reserved)
	x.pending = nil
}

// expire removes the reservations that have expired.
func (x *exchange) expire(now time.Time) {
	for id, until := range x.reserved {
		if !now.Before(until) {
			delete(x.reserved, id)
		}
	}
}

// redeem removes a reservation and reports whether it was still valid.
func (x *exchange) redeem(id ReservationID) bool {
	_, ok := x.reserved[id]
	delete(x.reserved, id)
	return ok
}

// prefersPeer reports whether the next slot goes to a peer: its request must
// have waited more than twice as long as the local one, plus handOverBias.
func (x *exchange) prefersPeer(now, arrived time.Time) bool {
	if len(x.pending) == 0 {
		return false
	}
	peerWait := now.Sub(x.pending[x.oldest()].since)
	localWait := now.Sub(arrived)
	return peerWait > 2*localWait+handOverBias
}

// oldest returns the index of the slot request that has waited longest.
func (x *exchange) oldest() int {
	oldest := 0
	for i := range x.pending {
		if x.pending[i].since.Before(x.pending[oldest].since) {
			oldest = i
		}
	}
	return oldest
}

// reserve reserves a free slot for the peer that has waited longest. The second
// result is false if no peer has requested one.
func (x *exchange) reserve(now time.Time) (Grant, bool) {
	if len(x.pending) == 0 {
		return Grant{}, false
	}
	i := x.oldest()
	grant := Grant{SlotRequest: x.pending[i].id}
	x.pending = slices.Delete(x.pending, i, i+1)
	x.lastReservation++
	grant.Reservation = x.lastReservation
	x.reserved[x.lastReservation] = now.Add(ReservationLifetime)
	return grant, true
}

// pick returns a random peer that has no open slot request from this agent and
// is not skipped as unreachable; ok is false if there is none.
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

// requestSlots requests slots from peers while requests that may be handed over
// are queued. If there are none, it withdraws the open slot requests.
func (s *State) requestSlots(out *Outputs) {
	wanted := SlotRequestsPerJob * s.transferable()
	if wanted == 0 {
		for peer := range s.exchange.requested {
			out.WithdrawFrom = append(out.WithdrawFrom, peer)
		}
		slices.Sort(out.WithdrawFrom)
		clear(s.exchange.requested)
		return
	}
	for len(s.exchange.requested) < wanted {
		peer, ok := s.exchange.pick()
		if !ok {
			return
		}
		s.exchange.requested[peer] = true
		out.RequestFrom = append(out.RequestFrom, peer)
	}
}

// transferable returns the number of queued requests that may be handed over.
func (s *State) transferable() int {
	n := 0
	for _, e := range s.queue {
		if !e.Pinned {
			n++
		}
	}
	return n
}

// OldestWait returns how long the oldest queued request has waited; 0 if the
// queue is empty.
func (s *State) OldestWait(now time.Time) time.Duration {
	if len(s.queue) == 0 {
		return 0
	}
	return now.Sub(s.queue[0].arrived)
}

// SlotRequested adds a peer's request for a slot. waited is how long the peer's
// oldest request has been queued. A draining agent ignores it.
func (s *State) SlotRequested(now time.Time, id SlotRequestID, waited time.Duration) Outputs {
	if s.draining {
		return Outputs{}
	}
	s.exchange.pending = append(s.exchange.pending, slotRequest{id: id, since: now.Add(-waited)})
	return s.schedule(now)
}

// SlotWithdrawn removes a peer's request for a slot.
func (s *State) SlotWithdrawn(id SlotRequestID) {
	s.exchange.pending = slices.DeleteFunc(s.exchange.pending, func(r slotRequest) bool { return r.id == id })
}

// ReservationDeclined frees a reserved slot that the peer does not need.
func (s *State) ReservationDeclined(now time.Time, id ReservationID) Outputs {
	s.exchange.redeem(id)
	return s.schedule(now)
}

// SlotOffered hands the oldest queued request that is not pinned over to a peer
// that has reserved a slot for it. used is false if there is no such request;
// the reservation should then be declined.
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

// SlotRequestEnded ends a slot request that got no slot. failed is true if the
// call to the peer failed; the peer is then skipped for a while.
func (s *State) SlotRequestEnded(peer ticket.EndpointKey, failed bool) Outputs {
	delete(s.exchange.requested, peer)
	if failed {
		s.exchange.skips[peer] = unreachablePeerSkips
	}
	var out Outputs
	s.requestSlots(&out)
	return out
}
