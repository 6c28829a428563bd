package ticket

import "time"

// Source is the origin of a ticket.
type Source int

const (
	// FromPlatform: read from the platform.
	FromPlatform Source = iota
	// FromPeer: received from another process of the system.
	FromPeer
)

// Update delivers tickets to the control goroutine. From the platform it always
// contains everything that is published.
type Update struct {
	Source  Source
	Records []Record
	Refused []Refused
	// HigherRanked are digests of documents that the receiver of the message
	// already has, with a higher rank by index or seal.
	HigherRanked []Digest
}

// Request is a query about tickets that one process sends to another.
type Request struct {
	// Sender is the name of the node that sends the request.
	Sender string
	// Summary is the hash of the sender's whole register. It is only set if
	// Summarized is true.
	Summary    uint64
	Summarized bool
	// Buckets are the parts of the register to compare. Digests then lists all
	// tickets that the sender has in them.
	Buckets []Bucket
	// Services are the services to compare; the sender has no ticket of those
	// without a digest.
	Services []ServiceKey
	Digests  []Digest
	// Records are tickets that the sender delivers to the receiver.
	Records []Record
	// ReadAge is how long ago the platform was last read by any node, as far as
	// the sender knows; 0 means that the sender does not report it.
	ReadAge time.Duration
}

// Response answers a Request.
type Response struct {
	// Summary is the hash of the receiver's whole register.
	Summary uint64
	// Sums is set if the request has a summary and it differs; else nil.
	Sums *Sums
	// Records are tickets that the sender of the request lacks.
	Records []Record
	// Wanted are services of which the sender of the request has a newer
	// ticket.
	Wanted []ServiceKey
	// HigherRanked are digests of documents that the sender of the request has
	// too, but that rank higher at the receiver, by index or seal.
	HigherRanked []Digest
	// More is true if the sender of the request lacks more tickets than fit
	// into one response.
	More bool
	// Starting is true if the receiver of the request does not accept traffic
	// yet and so cannot confirm tickets.
	Starting bool
	// ReadAge is how long ago the platform was last read by any node, as far as
	// the receiver of the request knows.
	ReadAge time.Duration
}

// Query delivers a Request from another process to the control goroutine.
type Query struct {
	Request Request
	Reply   chan<- Response
}

// Call is an instruction to send a Request to a peer.
type Call struct {
	Peer    Peer
	Request Request
}

// CallEnded delivers the result of a Call to the control goroutine.
type CallEnded struct {
	Call     Call
	Response Response
	// Refused are the invalid tickets of the response.
	Refused []Refused
	// Failure is the error if there is no response; else nil.
	Failure error
}

// WaitRequest asks the control goroutine of an agent for the service's ticket
// as soon as its number is Number or higher. If that has not happened by Until,
// no reply is sent.
type WaitRequest struct {
	Number Number
	Until  time.Time
	// Reply is buffered for one ticket.
	Reply chan<- *Ticket
}
