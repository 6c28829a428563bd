// Package admission holds the duty of letting requests run on the backend
// server: slots, the queue before them, deadlines, hand-over to a peer with a
// free slot, and refusals that tell the truth. Its decisions are free of HTTP,
// sockets and clocks.
//
// A request is received, queued, then dispatched, handed over to a peer, or
// refused. One process owns each step: a request that was handed over belongs
// to the peer until the peer says that it did not run it.
package admission

import (
	"time"

	"cactustray/ticket"
)

// RequestID tells the requests of one agent process apart.
type RequestID uint64

// ReservationID tells the reservations of one agent process apart; 0 is none.
type ReservationID uint64

// AskID tells the requests of peers for a free slot apart.
type AskID uint64

// Kind is how long a request is expected to run.
type Kind int

const (
	// Job is a request that holds a slot of the backend server.
	Job Kind = iota
	// Feed is a long flow; it holds no slot.
	Feed
)

// Refusal is why a request was not run. A refused request never reached the
// backend server.
type Refusal int

const (
	// None: not refused.
	None Refusal = iota
	// QueueFull: the work before it would outlast its deadline.
	QueueFull
	// DeadlinePassed: its deadline passed while it waited.
	DeadlinePassed
	// Draining: the backend server takes no new work.
	Draining
	// Cancelled: the caller gave up while it waited.
	Cancelled
	// TooManyFeeds: the backend server has as many feeds as it takes.
	TooManyFeeds
	// ReservationExpired: a peer used a reservation too late.
	ReservationExpired
	// NoRetry: a request whose answer was lost may not run again. It is the
	// one refusal of a request that may have run.
	NoRetry
)

var refusalNames = [...]string{
	"none", "queue_full", "deadline_passed", "draining", "cancelled",
	"too_many_feeds", "reservation_expired", "no_retry",
}

func (r Refusal) String() string { return refusalNames[r] }

// Request is one request that asks to run.
type Request struct {
	ID       RequestID
	Kind     Kind
	Deadline time.Time
	// Reservation is the slot that this agent reserved for a peer's request;
	// 0 for a request that came from a caller.
	Reservation ReservationID
	// Pinned requests are never handed over.
	Pinned bool
	// Idempotent requests may run again when their answer was lost.
	Idempotent bool
}

// Decision answers one request. It is refused, handed over to Peer under
// Reservation, or, when Peer is 0, dispatched to the backend server.
type Decision struct {
	ID RequestID
	// Attempt counts how often the request was dispatched or handed over; it
	// tells a late message about an earlier attempt apart.
	Attempt     int
	Refusal     Refusal
	Peer        ticket.EndpointKey
	Reservation ReservationID
}

// Granted tells a peer that asked that a slot is reserved for it.
type Granted struct {
	Ask         AskID
	Reservation ReservationID
}

// Outputs is what one decision brings about.
type Outputs struct {
	Decisions []Decision
	// Granted are reservations for peers that asked for a slot.
	Granted []Granted
	// Ask are peers to ask for a slot; each is asked once until it answers.
	Ask []ticket.EndpointKey
	// Withdraw are peers whose slot is no longer wanted.
	Withdraw []ticket.EndpointKey
}

// Limits bound an agent's work.
type Limits struct {
	// Slots is how many jobs run at once.
	Slots int
	// QueueTime is the longest a job waits.
	QueueTime time.Duration
	// Feeds is how many feeds are open at once; 0 means no bound.
	Feeds int
	// RampTime is how long a cold backend server takes to reach all slots.
	RampTime time.Duration
}
