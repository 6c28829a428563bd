package admission

import "fmt"

// Invariant names a condition that must always hold.
type Invariant string

const (
	// DispatchedOnce: only a queued request is dispatched or handed over, so
	// that a request never has two attempts at the same time. A second copy (package
	// hedging) is a request of its own, at another agent.
	DispatchedOnce Invariant = "dispatched_once"
	// RefusedNotRun: a request is refused for its wait only while it is queued,
	// not while it is dispatched or handed over.
	RefusedNotRun Invariant = "refused_not_run"
	// SlotsBounded: running jobs and reservations never exceed the slots,
	// except while jobs from before a lowered limit still run.
	SlotsBounded Invariant = "slots_bounded"
	// DecidedOnce: every request gets exactly one final decision.
	DecidedOnce Invariant = "decided_once"
	// NotExpired: a request whose deadline has passed is never dispatched.
	NotExpired Invariant = "not_expired"
)

// Violation reports a broken invariant.
type Violation struct {
	Invariant Invariant
	Request   RequestID
}

func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s broken by request %d", v.Invariant, v.Request)
}

// ViolationHandler is called for each broken invariant. It must not block.
type ViolationHandler func(Violation)

func (s *State) assert(holds bool, invariant Invariant, id RequestID) {
	if !holds {
		s.onViolation(Violation{Invariant: invariant, Request: id})
	}
}
