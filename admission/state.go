package admission

import (
	"math/rand/v2"
	"time"

	"cactustray/ticket"
)

const (
	// PauseThreshold is the time between two ticks above which the process is
	// assumed to have been paused.
	PauseThreshold = 2 * time.Second
	// maxQueueShare is the largest fraction of the time until its latest start
	// that a new request may be expected to spend in the queue. The rest is a
	// margin for errors of the estimate.
	maxQueueShare = 0.9
	// maxQueue bounds the queue's length, and thereby its memory, in requests.
	maxQueue = 4096
)

type step int

const (
	queued step = iota
	dispatched
	transferred
)

// entry is a request that this agent owns or has handed over to a peer.
type entry struct {
	Request
	step    step
	attempt int
	arrived time.Time
	// queueDeadline is when the wait in the queue must end: at the request's
	// deadline or when Limits.QueueTime has passed.
	queueDeadline time.Time
	// started is when the request was dispatched.
	started time.Time
}

// State is the admission state of one backend server: its queue, its running
// requests and the slot exchange with peers. Only the control goroutine uses
// it.
type State struct {
	limits Limits
	// coldSince is when the ramp-up of the slots begins. It lies in the future
	// while the backend server counts as unreachable.
	coldSince   time.Time
	draining    bool
	entries     map[RequestID]*entry
	queue       []*entry
	jobs        int
	feeds       int
	estimate    estimate
	exchange    exchange
	retries     retryBudget
	returns     returns
	onViolation ViolationHandler
}

// NewState returns the state of an idle backend server that is cold at now.
// random chooses the peers to request slots from.
func NewState(now time.Time, limits Limits, random *rand.Rand, onViolation ViolationHandler) *State {
	return &State{
		limits:      limits,
		coldSince:   now,
		entries:     make(map[RequestID]*entry),
		exchange:    newExchange(random),
		onViolation: onViolation,
	}
}

// SetLimits applies new limits. Requests that are running continue.
func (s *State) SetLimits(now time.Time, limits Limits) Outputs {
	s.limits = limits
	return s.schedule(now)
}

// SetPeers sets the endpoints of the service that slots may be requested from.
func (s *State) SetPeers(now time.Time, peers []ticket.EndpointKey) Outputs {
	s.exchange.setPeers(peers)
	return s.schedule(now)
}

// Running returns the number of jobs and feeds at the backend server.
func (s *State) Running() int { return s.jobs + s.feeds }

// Queued returns the number of requests that wait for a slot.
func (s *State) Queued() int { return len(s.queue) }

// FreeSlots returns the number of slots that are neither in use nor reserved.
func (s *State) FreeSlots(now time.Time) int {
	return max(0, s.slots(now)-s.jobs-len(s.exchange.reserved))
}

// ExpectedWait returns the estimated queueing delay of a job that arrives now.
func (s *State) ExpectedWait() time.Duration { return s.estimate.wait(len(s.queue)) }

// slots returns the number of usable slots: all of them, fewer during the
// ramp-up of a cold backend server, and 0 while it counts as unreachable.
func (s *State) slots(now time.Time) int {
	uptime := now.Sub(s.coldSince)
	if uptime < 0 {
		return 0
	}
	if uptime >= s.limits.RampTime || s.limits.Slots <= 1 {
		return s.limits.Slots
	}
	return 1 + int(float64(s.limits.Slots-1)*float64(uptime)/float64(s.limits.RampTime))
}

// Arrive adds a new request. The returned decisions may concern other requests
// too.
func (s *State) Arrive(now time.Time, r Request) Outputs {
	_, known := s.entries[r.ID]
	s.assert(!known, DecidedOnce, r.ID)
	if known {
		return Outputs{}
	}
	s.retries.earn()
	e := &entry{Request: r, arrived: now, queueDeadline: r.Deadline}
	if r.Reservation != 0 {
		return s.arriveReserved(now, e)
	}
	if s.draining {
		return refused(r.ID, Draining)
	}
	if r.Kind == Feed {
		return s.arriveFeed(now, e)
	}
	if limit := now.Add(s.limits.QueueTime); limit.Before(e.queueDeadline) {
		e.queueDeadline = limit
	}
	if s.overloaded(now, e) {
		return Outputs{Decisions: []Decision{s.refusedForLoad(now, r.ID, QueueFull)}}
	}
	s.entries[r.ID] = e
	s.queue = append(s.queue, e)
	return s.schedule(now)
}

// arriveReserved dispatches a request that a peer handed over with a
// reservation. If the reservation no longer exists, the request is refused, so
// that the peer can queue it again.
func (s *State) arriveReserved(now time.Time, e *entry) Outputs {
	if !s.exchange.redeem(e.Reservation) {
		return refused(e.ID, ReservationExpired)
	}
	if !now.Before(e.queueDeadline) {
		out := s.schedule(now)
		out.Decisions = append(out.Decisions, Decision{ID: e.ID, Refusal: DeadlinePassed})
		return out
	}
	s.entries[e.ID] = e
	var out Outputs
	s.dispatch(now, e, &out)
	return out
}

func (s *State) arriveFeed(now time.Time, e *entry) Outputs {
	if s.limits.Feeds > 0 && s.feeds >= s.limits.Feeds {
		return Outputs{Decisions: []Decision{s.refusedForLoad(now, e.ID, TooManyFeeds)}}
	}
	e.step, e.started = dispatched, now
	e.attempt++
	s.entries[e.ID] = e
	s.feeds++
	return Outputs{Decisions: []Decision{{ID: e.ID, Attempt: e.attempt}}}
}

// overloaded reports whether the queue is full or the estimated wait is too
// long for a new request.
func (s *State) overloaded(now time.Time, e *entry) bool {
	if len(s.queue) >= maxQueue {
		return true
	}
	if s.FreeSlots(now) > 0 && len(s.queue) == 0 {
		return false
	}
	latest := s.latestStart(e)
	target := time.Duration(maxQueueShare * float64(latest.Sub(now)))
	return s.estimate.wait(len(s.queue)) > target
}

// latestStart returns the latest time at which a request may be dispatched so
// that it is expected to finish before its deadline.
func (s *State) latestStart(e *entry) time.Time {
	start := e.Deadline.Add(-s.estimate.service())
	if start.After(e.queueDeadline) {
		return e.queueDeadline
	}
	return start
}

// Finish ends a request that was dispatched or handed over.
func (s *State) Finish(now time.Time, id RequestID) Outputs {
	e := s.entries[id]
	if e == nil || e.step == queued {
		return Outputs{}
	}
	delete(s.entries, id)
	s.release(now, e)
	return s.schedule(now)
}

// release frees what a dispatched request holds: a slot or a place among the
// feeds.
func (s *State) release(now time.Time, e *entry) {
	if e.step != dispatched {
		return
	}
	if e.Kind == Feed {
		s.feeds--
		return
	}
	s.jobs--
	if !e.Copy { // most copies are cancelled
		s.estimate.recordService(now.Sub(e.started))
	}
}

// insertByArrival inserts a request into the queue in the order of arrival.
func insertByArrival(queue []*entry, e *entry) []*entry {
	at := len(queue)
	for at > 0 && e.arrived.Before(queue[at-1].arrived) {
		at--
	}
	queue = append(queue, nil)
	copy(queue[at+1:], queue[at:])
	queue[at] = e
	return queue
}

// Cancel ends a request whose caller gave up, in any step. If the request has
// already been dispatched, this frees its slot.
func (s *State) Cancel(now time.Time, id RequestID) Outputs {
	e := s.entries[id]
	if e == nil {
		return Outputs{}
	}
	if e.step != queued {
		return s.Finish(now, id)
	}
	for i, q := range s.queue {
		if q == e {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			break
		}
	}
	delete(s.entries, id)
	out := s.schedule(now)
	out.Decisions = append(out.Decisions, Decision{ID: id, Refusal: Cancelled})
	return out
}

// Tick refuses requests that have waited too long and frees expired
// reservations. If gap, the time since the last tick, shows that the process
// was paused, the reservations and the open slot requests of peers are dropped.
func (s *State) Tick(now time.Time, gap time.Duration) Outputs {
	if gap > PauseThreshold {
		s.exchange.reset()
	}
	return s.schedule(now)
}

// refusedForLoad returns the refusal of a request that the backend server has no capacity
// for, with the time at which it should have.
func (s *State) refusedForLoad(now time.Time, id RequestID, reason Refusal) Decision {
	after := s.returns.after(now, s.ExpectedWait(), s.estimate.interval)
	return Decision{ID: id, Refusal: reason, RetryAfter: after}
}

func refused(id RequestID, reason Refusal) Outputs {
	return Outputs{Decisions: []Decision{{ID: id, Refusal: reason}}}
}
