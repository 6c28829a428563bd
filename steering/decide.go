package steering

import "net/netip"

// Packet is what a front end learns of a datagram without opening it.
type Packet struct {
	// Address is the service's address that the caller used.
	Address netip.AddrPort
	// Flow is the hash of what the front end knows the flow by.
	Flow FlowKey
	// Opening tells that the datagram may begin a flow.
	Opening bool
	// Owner is who holds the flow's state, when HasOwner is set.
	Owner    Owner
	HasOwner bool
}

// Reason says why a datagram was dropped.
type Reason int

const (
	// Forwarded: the datagram has an endpoint.
	Forwarded Reason = iota
	// UnknownService: no service has the address.
	UnknownService
	// UnknownOwner: the token is forged or names an endpoint forgotten long
	// ago.
	UnknownOwner
	// ForeignOwner: the token names an endpoint of another service.
	ForeignOwner
	// NoOwner: the datagram belongs to an open flow but carries no token.
	NoOwner
	// NoEndpoint: no endpoint of the service may be tried.
	NoEndpoint
	// Malformed: the front end could not read the datagram.
	Malformed
	// NoTable: no table has been received yet.
	NoTable
	// Reasons is the number of reasons.
	Reasons
)

var reasonNames = [Reasons]string{
	"forwarded", "unknown_service", "unknown_owner", "foreign_owner",
	"no_owner", "no_endpoint", "malformed", "no_table",
}

func (r Reason) String() string { return reasonNames[r] }

// Verdict is where a datagram goes; Endpoint is nil unless Reason is Forwarded.
type Verdict struct {
	Service  *Service
	Endpoint *Endpoint
	Reason   Reason
}

// Decide finds the endpoint for a packet. A packet with an owner goes to that
// owner and nowhere else; one that opens a flow goes to the flow's home.
func (t *Table) Decide(p Packet) Verdict {
	service := t.ServiceAt(p.Address)
	if service == nil {
		return Verdict{Reason: UnknownService}
	}
	if p.HasOwner {
		return t.decideOwned(service, p)
	}
	if !p.Opening {
		return Verdict{Service: service, Reason: NoOwner}
	}
	return decideOpening(service, p.Flow)
}

func (t *Table) decideOwned(service *Service, p Packet) Verdict {
	endpoint := t.Endpoint(p.Owner.Endpoint)
	if endpoint == nil {
		if p.Opening {
			return decideOpening(service, p.Flow)
		}
		return Verdict{Service: service, Reason: UnknownOwner}
	}
	if endpoint.Service != service.Key {
		return Verdict{Service: service, Reason: ForeignOwner}
	}
	return Verdict{Service: service, Endpoint: endpoint}
}

func decideOpening(service *Service, flow FlowKey) Verdict {
	endpoint := service.home(flow)
	if endpoint == nil {
		return Verdict{Service: service, Reason: NoEndpoint}
	}
	return Verdict{Service: service, Endpoint: endpoint}
}
