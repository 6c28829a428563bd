package steering

import "net/netip"

// Packet is what a front end reads from a datagram without decrypting its
// payload.
type Packet struct {
	// Address is the service address that the caller sent the datagram to.
	Address netip.AddrPort
	// Flow is the hash of the fields by which the front end identifies the
	// flow.
	Flow FlowKey
	// Opening is true if the datagram may open a flow.
	Opening bool
	// Tokenless is true if the flows of the front end never carry an owner
	// token; all datagrams of such a flow have the same Flow.
	Tokenless bool
	// Owner is the process that holds the flow's state. It is valid only if
	// HasOwner is set.
	Owner    Owner
	HasOwner bool
}

// Verdict is the routing decision of a balancer. Endpoint is nil unless Reason
// is Forwarded or OwnerGone. With OwnerGone the endpoint resets the flow.
type Verdict struct {
	Service  *Service
	Endpoint *Endpoint
	Reason   Reason
}

// Dropped reports whether the datagram is dropped.
func (v Verdict) Dropped() bool { return v.Endpoint == nil }

// Decide chooses the endpoint for a packet. A packet with an owner goes only to
// that owner, unless the owner is known to have stopped. A packet that opens a
// flow goes to the flow's home endpoint.
func (t *Table) Decide(p Packet) Verdict {
	service := t.ServiceAt(p.Address)
	if service == nil {
		return Verdict{Reason: UnknownService}
	}
	if p.HasOwner {
		return t.routeOwned(service, p)
	}
	if !p.Opening && !p.Tokenless {
		return Verdict{Service: service, Reason: NoOwner}
	}
	return routeHome(service, p.Flow, Forwarded)
}

// routeOwned routes a packet whose connection id decrypts to an owner. The
// connection id of an opening packet may be chosen by the caller, so an unknown
// owner is no error there.
func (t *Table) routeOwned(service *Service, p Packet) Verdict {
	endpoint := t.Endpoint(p.Owner.Endpoint)
	if endpoint == nil {
		if p.Opening {
			return routeHome(service, p.Flow, Forwarded)
		}
		return Verdict{Service: service, Reason: UnknownOwner}
	}
	if endpoint.Service != service.Key {
		return Verdict{Service: service, Reason: ForeignOwner}
	}
	if endpoint.hasStopped(p.Owner) && !p.Opening {
		return routeHome(service, FlowKey(endpoint.Key), OwnerGone)
	}
	return Verdict{Service: service, Endpoint: endpoint}
}

func routeHome(service *Service, flow FlowKey, reason Reason) Verdict {
	endpoint := service.Home(flow)
	if endpoint == nil {
		return Verdict{Service: service, Reason: NoEndpoint}
	}
	return Verdict{Service: service, Endpoint: endpoint, Reason: reason}
}
