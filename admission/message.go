package admission

import (
	"time"

	"cactustray/ticket"
)

// Arrived asks the control goroutine whether a request may run. The decision
// may come much later, when a slot is free.
type Arrived struct {
	Request
	// Reply has room for the one decision.
	Reply chan<- Decision
}

// Finished tells the control goroutine that a dispatched or handed over
// request has ended.
type Finished struct {
	ID RequestID
	// Unreached tells that this agent's backend server could not be reached.
	Unreached bool
}

// Gone tells the control goroutine that the caller of a request gave up.
type Gone struct{ ID RequestID }

// Returned tells the control goroutine that a request was not run where it was
// sent. It waits for a decision anew.
type Returned struct {
	ID      RequestID
	Attempt int
	// Unreached tells that this agent's backend server could not be reached.
	Unreached bool
	Reply     chan<- Decision
}

// SlotAsked tells the control goroutine that a peer asks for a slot.
type SlotAsked struct {
	Ask AskID
	// Waited is how long the peer's oldest request has waited.
	Waited time.Duration
	// Reply has room for the one reservation.
	Reply chan<- Granted
}

// SlotWithdrawn tells the control goroutine that a peer wants no slot any
// more.
type SlotWithdrawn struct{ Ask AskID }

// ReservationDeclined tells the control goroutine that a peer will not use its
// reservation.
type ReservationDeclined struct{ Reservation ReservationID }

// SlotOffered brings a peer's reservation to the control goroutine.
type SlotOffered struct {
	Peer        ticket.EndpointKey
	Reservation ReservationID
	// Reply tells whether the reservation is used.
	Reply chan<- bool
}

// AskEnded tells the control goroutine that a peer gave no slot.
type AskEnded struct {
	Peer ticket.EndpointKey
	// Failed tells that the peer could not be reached.
	Failed bool
}

// Retried asks whether an idempotent request whose answer was lost may run
// again. A refusal means that it may not.
type Retried struct {
	ID    RequestID
	Reply chan<- Decision
}

// Claimed asks the keeper about a request with a key. The answer comes at
// once; after Run the outcome must be settled.
type Claimed struct {
	Key         Key
	Fingerprint Fingerprint
	// Pass names the request, which this agent may have passed on before.
	Pass  ForwardID
	Reply chan<- Claim
}

// OutcomeAwaited asks what became of a key's first request. The answer comes
// when that request has ended.
type OutcomeAwaited struct {
	Key         Key
	Fingerprint Fingerprint
	Reply       chan<- Claim
}

// Recollected brings what others know of a key to the keeper.
type Recollected struct {
	Key      Key
	Memories []KeyStatus
	Reply    chan<- Claim
}

// OutcomeSettled brings the outcome of a keyed request to the keeper.
type OutcomeSettled struct {
	Key Key
	// NotRun tells that it never reached a backend server.
	NotRun bool
	// Answer is nil when it is not known.
	Answer Answer
}

// Witnessed asks to remember a key that another agent keeps, and what was
// known of it before.
type Witnessed struct {
	Key Key
	// Pass names the request that this agent passes on; 0 when a keeper asks.
	Pass  ForwardID
	Reply chan<- KeyStatus
}
