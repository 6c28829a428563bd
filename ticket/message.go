package ticket

import "time"

// Source says where an offered ticket came from.
type Source int

const (
	// FromPlatform: read from the platform.
	FromPlatform Source = iota
	// FromPeer: received from another process of the system.
	FromPeer
)

// Offered brings tickets to the control goroutine. From the platform it is
// always everything that is published.
type Offered struct {
	Source  Source
	Held    []Held
	Refused []Refused
	// Better are better places in the order of documents already held.
	Better []Digest
}

// Request is what one process asks another about tickets.
type Request struct {
	// Sender is the name of the asking node.
	Sender string
	// Summary, when Summarized, is of the sender's whole register.
	Summary    uint64
	Summarized bool
	// Buckets are the parts to compare: Digests are then all the sender
	// holds there.
	Buckets []Bucket
	// Services are the services to compare; those without a digest are
	// unknown to the sender.
	Services []ServiceKey
	Digests  []Digest
	// Held are tickets given to the receiver.
	Held []Held
	// ReadAge is how long ago anybody read the platform, as far as the
	// sender knows; 0 tells nothing.
	ReadAge time.Duration
}

// Response answers a Request.
type Response struct {
	// Summary is of the receiver's whole register.
	Summary uint64
	// Sums are set when the sender's summary differs.
	Sums *Sums
	// Held are tickets the sender lacks.
	Held []Held
	// Wanted are services of which the sender holds a newer ticket.
	Wanted []ServiceKey
	// Better are better places in the order of documents that the sender
	// holds.
	Better []Digest
	// More tells that the sender lacks more than one answer holds.
	More bool
	// Starting tells that the receiver itself waits for its first table.
	Starting bool
	// ReadAge is as in Request, of the receiver.
	ReadAge time.Duration
}

// Asked brings a Request of another process to the control goroutine.
type Asked struct {
	Request Request
	Reply   chan<- Response
}

// Call asks for a Request to be sent to a peer.
type Call struct {
	Peer    Peer
	Request Request
}

// Answered brings the end of a Call to the control goroutine.
type Answered struct {
	Call     Call
	Response Response
	// Refused are tickets of the response that are not valid.
	Refused []Refused
	// Failure is why there is no response, or nil.
	Failure error
}

// Awaited asks the control goroutine of an agent for the service's ticket once
// it is Number or a later one. Without one by Until there is no reply.
type Awaited struct {
	Number Number
	Until  time.Time
	// Reply has room for the one ticket.
	Reply chan<- *Ticket
}
