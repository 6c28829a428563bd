package steering

// Reason is the outcome of steering a datagram; for a dropped datagram, the
// cause of the drop.
type Reason int

const (
	// Forwarded: the datagram was forwarded or delivered as usual.
	Forwarded Reason = iota
	// UnknownService: no service has the address, or the datagram is for
	// another service than the agent's.
	UnknownService
	// UnknownOwner: the token is forged, or names an endpoint whose entry has
	// been removed.
	UnknownOwner
	// ForeignOwner: the token names an endpoint of another service, or another
	// endpoint than the one that received the datagram.
	ForeignOwner
	// NoOwner: the datagram belongs to an open flow, but carries no token of a
	// configured key, or the flow has no tokens and is not open here.
	NoOwner
	// NoEndpoint: the service has no endpoints, or its ticket drains all of
	// them.
	NoEndpoint
	// Malformed: the front end could not parse the datagram.
	Malformed
	// NoTable: no table has been received yet.
	NoTable
	// WrongEndpoint: the envelope names another endpoint than the receiver.
	WrongEndpoint
	// StaleIncarnation: the flow belonged to an earlier process of this
	// endpoint, which has stopped.
	StaleIncarnation
	// OwnerGone: the flow's owner is known to have stopped; the flow is reset.
	OwnerGone
	// HandedOn: a new flow was forwarded to an alternate endpoint.
	HandedOn
	// Corrected: the sender of a new flow had an older ticket; the flow was
	// forwarded to its home according to the newer one.
	Corrected
	// PassedOn: a datagram of a flow without tokens was forwarded to the flow's
	// previous home.
	PassedOn
	// Refused: a new flow reached a home that was full or leaving, and there
	// was no alternate.
	Refused
	// Stranger: the sender's address is not that of the endpoint it claims to
	// be.
	Stranger
	// NoBalancer: a reply could not be sent to any balancer.
	NoBalancer
	// Reported: a message between nodes was accepted: a load report of a peer,
	// or an agent's notice of a newer ticket.
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
