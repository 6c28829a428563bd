package admission

import "fmt"

// Invariant names a rule that must always hold.
type Invariant string

const (
	// DispatchedOnce: a request is dispatched at most once.
	DispatchedOnce Invariant = "dispatched_once"
	// RefusedNotRun: a refused request never was dispatched.
	RefusedNotRun Invariant = "refused_not_run"
	// SlotsBounded: jobs and reservations never exceed the slots.
	SlotsBounded Invariant = "slots_bounded"
	// DecidedOnce: every arrival gets exactly one final decision.
	DecidedOnce Invariant = "decided_once"
	// NotExpired: work whose deadline has passed is never dispatched.
	NotExpired Invariant = "not_expired"
)

// Violation is an invariant found broken.
type Violation struct {
	Invariant Invariant
	Request   RequestID
}

func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s broken by request %d", v.Invariant, v.Request)
}

// Violated is told of broken invariants. It must not block.
type ViolationHandler func(Violation)

func (s *State) assert(holds bool, invariant Invariant, id RequestID) {
	if !holds {
		s.onViolation(Violation{Invariant: invariant, Request: id})
	}
}
