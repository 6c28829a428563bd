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
type Finished struct{ ID RequestID }

// Gone tells the control goroutine that the caller of a request gave up.
type Gone struct{ ID RequestID }

// Returned tells the control goroutine that a peer did not run a request that
// was handed over to it. It waits for a decision anew.
type Returned struct {
	ID    RequestID
	Reply chan<- Decision
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
