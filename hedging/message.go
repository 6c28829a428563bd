package hedging

import (
	"time"

	"cactustray/ticket"
)

// Answered reports to the control goroutine that this agent's backend server has begun to
// answer an ordinary request. Its loss is harmless.
type Answered struct {
	Class Class
	// Took is the time from the dispatch to the begin of the answer.
	Took time.Duration
}

// Offered reports a peer's answer to the offer of a copy to the control goroutine. Its loss
// is harmless.
type Offered struct {
	Peer    ticket.EndpointKey
	Class   Class
	Verdict Verdict
	// Delay is the peer's own delay of the class, or 0 if it is not known.
	Delay time.Duration
}

// CopyEnded reports to the control goroutine that an admitted copy no longer runs.
type CopyEnded struct {
	// Expected is the work that the copy was admitted with, and Took what it took.
	Expected time.Duration
	Took     time.Duration
}
