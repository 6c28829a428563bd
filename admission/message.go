package admission

import (
	"time"

	"cactustray/hedging"
	"cactustray/ticket"
)

// Arrived asks the control goroutine to admit a request. The decision may come
// much later, when a slot is free.
type Arrived struct {
	Request
	// Reply must have a buffer for the one decision.
	Reply chan<- Decision
}

// Finished reports to the control goroutine that a dispatched or handed over
// request has ended.
type Finished struct {
	ID RequestID
	// BackendUnreachable is true if this agent's backend server could not be
	// reached.
	BackendUnreachable bool
}

// CopyArrived requests that the control goroutine admit the second copy of a request that another
// agent owns. It is decided at once.
type CopyArrived struct {
	Request
	Class hedging.Class
	// Reply must have a buffer for the one decision.
	Reply chan<- CopyDecision
}

// CopyDecision is the decision on a second copy.
type CopyDecision struct {
	hedging.Admission
	// Decision is set if the copy is admitted.
	Decision Decision
}

// RequestCancelled reports to the control goroutine that the caller of a
// request gave up or that the request's deadline passed while it waited for a
// decision.
type RequestCancelled struct{ ID RequestID }

// Returned reports to the control goroutine that a request did not run where it
// was sent. The request waits for a new decision.
type Returned struct {
	ID      RequestID
	Attempt int
	// BackendUnreachable is true if this agent's backend server could not be
	// reached.
	BackendUnreachable bool
	Reply              chan<- Decision
}

// SlotRequested brings a peer's request for a slot to the control goroutine.
type SlotRequested struct {
	SlotRequest SlotRequestID
	// Waited is how long the peer's oldest queued request has waited.
	Waited time.Duration
	// Reply must have a buffer for the one reservation.
	Reply chan<- Grant
}

// SlotWithdrawn reports to the control goroutine that a peer has withdrawn its
// request for a slot.
type SlotWithdrawn struct{ SlotRequest SlotRequestID }

// ReservationDeclined reports to the control goroutine that a peer will not use
// its reservation.
type ReservationDeclined struct{ Reservation ReservationID }

// SlotOffered brings a slot that a peer has reserved for this agent to the
// control goroutine.
type SlotOffered struct {
	Peer        ticket.EndpointKey
	Reservation ReservationID
	// Reply receives whether the reservation is used.
	Reply chan<- bool
}

// SlotRequestEnded reports to the control goroutine that a peer did not reserve
// a slot.
type SlotRequestEnded struct {
	Peer ticket.EndpointKey
	// Failed is true if the call to the peer failed.
	Failed bool
}

// RetryRequested asks the control goroutine for permission to run an idempotent
// request again after its answer was lost. A refusal means that it must not run
// again.
type RetryRequested struct {
	ID RequestID
	// BackendUnreachable is true if this agent's backend server could not be reached, while a
	// second copy may have run.
	BackendUnreachable bool
	Reply              chan<- Decision
}

// Claimed asks the control goroutine of a key's owner for the decision on a
// request. The reply comes at once; after Run, an OutcomeSettled must follow.
type Claimed struct {
	Key         Key
	Fingerprint Fingerprint
	// ForwardID identifies the request, which this agent may have forwarded
	// before.
	ForwardID ForwardID
	// Departing are the endpoints whose agents stop and have left the key to this
	// one.
	Departing []ticket.EndpointKey
	Reply     chan<- Claim
}

// OutcomeAwaited asks for the outcome of the first request with a key. The
// reply comes when that request has ended.
type OutcomeAwaited struct {
	Key         Key
	Fingerprint Fingerprint
	Reply       chan<- Claim
}

// RecallFinished brings what other agents know about a key to the control
// goroutine of the key's owner.
type RecallFinished struct {
	Key      Key
	Statuses []KeyStatus
	Reply    chan<- Claim
}

// OutcomeSettled reports the outcome of a keyed request to the control
// goroutine of the key's owner.
type OutcomeSettled struct {
	Key Key
	// NotRun is true if the request never reached a backend server.
	NotRun bool
	// Answer is nil if it is not known or too large to store.
	Answer Answer
}

// ReplicaRequested asks this agent to store a replica of the record of a key
// that another agent owns. The reply is what this agent knew about the key
// before.
type ReplicaRequested struct {
	Key   Key
	Query KeyQuery
	// Forwarded is true if this agent forwards the request, and false if the key's
	// owner asks.
	Forwarded bool
	Reply     chan<- KeyStatus
}

// HandOverRequested asks for the records that this agent, which stops, hands over to
// each other agent.
type HandOverRequested struct{ Reply chan<- HandOver }

// DepartureReceived brings a message of another agent's planned stop to the control
// goroutine. The reply is false if this agent can't take the records over.
type DepartureReceived struct {
	Departure
	Reply chan<- bool
}
