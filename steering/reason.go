package steering

// Reason says what became of a datagram, and why one was dropped.
type Reason int

const (
	// Forwarded: the datagram went on its way.
	Forwarded Reason = iota
	// UnknownService: no service has the address, or it is another's.
	UnknownService
	// UnknownOwner: the token is forged or names an endpoint forgotten long
	// ago.
	UnknownOwner
	// ForeignOwner: the token names an endpoint of another service, or
	// another endpoint than the one reached.
	ForeignOwner
	// NoOwner: the datagram belongs to an open flow but carries no token.
	NoOwner
	// NoEndpoint: no endpoint of the service may be tried.
	NoEndpoint
	// Malformed: the front end could not read the datagram.
	Malformed
	// NoTable: no table has been received yet.
	NoTable
	// WrongEndpoint: the sender meant another endpoint.
	WrongEndpoint
	// StaleIncarnation: the flow belonged to a process that has ended.
	StaleIncarnation
	// OwnerGone: the flow's owner is known to have ended; the flow is reset.
	OwnerGone
	// HandedOn: a new flow went on to an alternate.
	HandedOn
	// Corrected: a new flow went on to the home that a newer ticket names.
	Corrected
	// PassedOn: a flow without token went on to its previous home.
	PassedOn
	// Refused: a new flow found its home full or leaving, and no alternate.
	Refused
	// Stranger: the sender is not the node it says it is.
	Stranger
	// NoBalancer: no balancer took a reply.
	NoBalancer
	// Reported: a load report of a peer was taken in.
	Reported
	// Reasons is the number of reasons.
	Reasons
)

var reasonNames = [Reasons]string{
	"forwarded", "unknown_service", "unknown_owner", "foreign_owner",
	"no_owner", "no_endpoint", "malformed", "no_table", "wrong_endpoint",
	"stale_incarnation", "owner_gone", "handed_on", "corrected", "passed_on",
	"refused", "stranger", "no_balancer", "reported",
}

func (r Reason) String() string { return reasonNames[r] }
