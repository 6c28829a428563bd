package admission

// Arrived asks the control goroutine whether a request may run. The decision
// may come much later, when a slot is free.
type Arrived struct {
	Request
	// Reply has room for the one decision.
	Reply chan<- Decision
}

// Finished tells the control goroutine that a dispatched request has ended.
type Finished struct{ ID RequestID }

// Gone tells the control goroutine that the caller of a request gave up.
type Gone struct{ ID RequestID }
