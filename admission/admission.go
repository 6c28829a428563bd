// Package admission decides when requests run on the backend server: slots, the
// queue for them, deadlines, the transfer of queued requests to a peer with a
// free slot, and refusals. A refusal says whether the request may have run. The
// decisions use no HTTP, no sockets and no clock of their own.
//
// A request is received and queued, then dispatched, handed over (transferred)
// to a peer, or refused. One process owns the request at each step: after a
// hand-over it belongs to the peer until the peer returns it as not run.
package admission

import (
	"time"

	"cactustray/ticket"
)

// RequestID identifies a request within one agent process.
type RequestID uint64

// ReservationID identifies a reserved slot within one agent process; 0 is none.
type ReservationID uint64

// SlotRequestID identifies a peer's request for a slot.
type SlotRequestID uint64

// Kind is the class of a request: short-running or long-lived.
type Kind int

const (
	// Job is a request that holds a slot of the backend server.
	Job Kind = iota
	// Feed is a long-lived stream; it holds no slot.
	Feed
)

// Refusal is the reason why a request was refused. A refused request never
// reached the backend server, unless the answer of an earlier attempt was lost:
// then it may have run, whatever the reason.
type Refusal int

const (
	// None: not refused.
	None Refusal = iota
	// QueueFull: the queue is full, or the expected wait is too long for the
	// request's deadline or for Limits.QueueTime.
	QueueFull
	// DeadlinePassed: the request could not start in time for its deadline or
	// within Limits.QueueTime.
	DeadlinePassed
	// Draining: the agent is draining and accepts no new work.
	Draining
	// Cancelled: the caller gave up while the request was queued.
	Cancelled
	// TooManyFeeds: the limit of open feeds is reached.
	TooManyFeeds
	// ReservationExpired: a peer's request came with a reservation that has
	// expired or is unknown.
	ReservationExpired
	// NoRetry: the answer was lost and the request must not run again. It may
	// have run.
	NoRetry
	// NoCopy: the request is a second copy, and no slot is free for it.
	NoCopy
)

var refusalNames = [...]string{
	"none", "queue_full", "deadline_passed", "draining", "cancelled",
	"too_many_feeds", "reservation_expired", "no_retry", "no_copy",
}

func (r Refusal) String() string { return refusalNames[r] }

// Request is a request for admission.
type Request struct {
	ID       RequestID
	Kind     Kind
	Deadline time.Time
	// Reservation is the slot that this agent reserved for a request that a
	// peer hands over; 0 for a request that came from a caller.
	Reservation ReservationID
	// Pinned is true if the request must never be handed over.
	Pinned bool
	// Idempotent is true if the request may run again after its answer was
	// lost.
	Idempotent bool
	// Copy is true for the second copy of a request that another agent owns.
	Copy bool
}

// Decision is the decision on one request. If Refusal is not None, the request
// is refused. Otherwise it is handed over to Peer with Reservation or, if Peer
// is 0, dispatched to the backend server.
type Decision struct {
	ID RequestID
	// Attempt counts how often the request was dispatched or handed over, so
	// that a late message about an earlier attempt can be recognized.
	Attempt int
	Refusal Refusal
	// RetryAfter is when the caller of a request that was refused for the load should
	// return, or 0.
	RetryAfter  time.Duration
	Peer        ticket.EndpointKey
	Reservation ReservationID
}

// Grant answers a peer's request for a slot with a reservation.
type Grant struct {
	SlotRequest SlotRequestID
	Reservation ReservationID
}

// Outputs holds the actions that result from one input to the State.
type Outputs struct {
	Decisions []Decision
	// Grants are the reservations to send to peers.
	Grants []Grant
	// RequestFrom are the peers to request a slot from. A peer has at most one
	// open request.
	RequestFrom []ticket.EndpointKey
	// WithdrawFrom are the peers whose open slot request is withdrawn.
	WithdrawFrom []ticket.EndpointKey
}

// Limits bounds the work of an agent.
type Limits struct {
	// Slots is the number of jobs that may run concurrently.
	Slots int
	// QueueTime is the longest time that a job may wait in the queue.
	QueueTime time.Duration
	// Feeds is the number of feeds that may be open concurrently; 0 means no
	// limit.
	Feeds int
	// RampTime is the time over which a cold backend server is given all of its
	// slots (slow start).
	RampTime time.Duration
}
