package admission

import (
	"math/rand/v2"
	"time"

	"cactustray/ticket"
)

const (
	// PauseLimit is the gap between two ticks that shows that the process
	// was paused.
	PauseThreshold = 2 * time.Second
	// queueShare is the share of a request's time that it may be expected to
	// wait when it arrives; the rest absorbs what the estimate gets wrong.
	maxQueueShare = 0.9
	// maxQueue bounds the queue's memory, in requests.
	maxQueue = 4096
)

type step int

const (
	queued step = iota
	dispatched
	transferred
)

// entry is a request that this agent owns or has handed over.
type entry struct {
	Request
	step          step
	attempt       int
	arrived       time.Time
	queueDeadline time.Time
	// started is when the request was dispatched.
	started time.Time
}

// State is the queue before one backend server. The control goroutine owns it.
type State struct {
	limits      Limits
	coldSince   time.Time
	draining    bool
	entries     map[RequestID]*entry
	queue       []*entry
	jobs        int
	feeds       int
	estimate    estimate
	exchange    exchange
	retries     retryBudget
	onViolation ViolationHandler
}

// NewState returns an empty queue before a backend server that is cold at now.
// random picks the peers that are asked for a slot.
func NewState(now time.Time, limits Limits, random *rand.Rand, onViolation ViolationHandler) *State {
	return &State{
		limits:      limits,
		coldSince:   now,
		entries:     make(map[RequestID]*entry),
		exchange:    newExchange(random),
		onViolation: onViolation,
	}
}

// SetLimits takes new limits in; running work goes on.
func (s *State) SetLimits(now time.Time, limits Limits) Outputs {
	s.limits = limits
	return s.schedule(now)
}

// SetPeers takes the other endpoints of the service in.
func (s *State) SetPeers(now time.Time, peers []ticket.EndpointKey) Outputs {
	s.exchange.setPeers(peers)
	return s.schedule(now)
}

// Running returns how many requests are at the backend server.
func (s *State) Running() int { return s.jobs + s.feeds }

// Queued returns how many requests wait for a slot.
func (s *State) Queued() int { return len(s.queue) }

// FreeSlots returns how many jobs could be dispatched at once.
func (s *State) FreeSlots(now time.Time) int {
	return max(0, s.slots(now)-s.jobs-len(s.exchange.reserved))
}

// ExpectedWait returns how long a job that arrives now would wait.
func (s *State) ExpectedWait() time.Duration { return s.estimate.wait(len(s.queue)) }

// slots grows from one to all while a cold backend server warms up.
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

// Arrive takes a request in. The decisions it returns may concern others.
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
		return refused(r.ID, QueueFull)
	}
	s.entries[r.ID] = e
	s.queue = append(s.queue, e)
	return s.schedule(now)
}

// arriveReserved takes in a peer's request under a reservation. Without one it
// is refused, so that its owner may place it anew.
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
		return refused(e.ID, TooManyFeeds)
	}
	e.step, e.started = dispatched, now
	e.attempt++
	s.entries[e.ID] = e
	s.feeds++
	return Outputs{Decisions: []Decision{{ID: e.ID, Attempt: e.attempt}}}
}

// overloaded tells whether the work before a new request would outlast it.
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

// latestStart is when a request must begin to be answered before its deadline.
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

func (s *State) release(now time.Time, e *entry) {
	if e.step != dispatched {
		return
	}
	if e.Kind == Feed {
		s.feeds--
		return
	}
	s.jobs--
	s.estimate.recordService(now.Sub(e.started))
}

// insert puts a request before those that arrived after it.
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

// Leave ends a request whose caller gave up, wherever it stands. A job that
// was dispatched in the same moment gives its slot back.
func (s *State) Leave(now time.Time, id RequestID) Outputs {
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

// Tick refuses what has waited too long and frees unused reservations. After a
// pause of the process all that peers were asked or promised is void.
func (s *State) Tick(now time.Time, gap time.Duration) Outputs {
	if gap > PauseThreshold {
		s.exchange.reset()
	}
	return s.schedule(now)
}

func refused(id RequestID, reason Refusal) Outputs {
	return Outputs{Decisions: []Decision{{ID: id, Refusal: reason}}}
}
