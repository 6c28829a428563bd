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
	// Tokenless tells that the front end's flows never carry a token, so
	// that every datagram of a flow has the same Flow.
	Tokenless bool
	// Owner is who holds the flow's state, when HasOwner is set.
	Owner    Owner
	HasOwner bool
}

// Verdict is where a datagram goes; Endpoint is nil unless Reason is Forwarded
// or OwnerGone. With OwnerGone the endpoint resets the flow.
type Verdict struct {
	Service  *Service
	Endpoint *Endpoint
	Reason   Reason
}

// Dropped tells whether the datagram goes nowhere.
func (v Verdict) Dropped() bool { return v.Endpoint == nil }

// Decide finds the endpoint for a packet. A packet with an owner goes to that
// owner and nowhere else, unless the owner has ended; one that opens a flow
// goes to the flow's home.
func (t *Table) Decide(p Packet) Verdict {
	service := t.ServiceAt(p.Address)
	if service == nil {
		return Verdict{Reason: UnknownService}
	}
	if p.HasOwner {
		return t.decideOwned(service, p)
	}
	if !p.Opening && !p.Tokenless {
		return Verdict{Service: service, Reason: NoOwner}
	}
	return decideHome(service, p.Flow, Forwarded)
}

func (t *Table) decideOwned(service *Service, p Packet) Verdict {
	endpoint := t.Endpoint(p.Owner.Endpoint)
	if endpoint == nil {
		if p.Opening {
			return decideHome(service, p.Flow, Forwarded)
		}
		return Verdict{Service: service, Reason: UnknownOwner}
	}
	if endpoint.Service != service.Key {
		return Verdict{Service: service, Reason: ForeignOwner}
	}
	if endpoint.ended(p.Owner) && !p.Opening {
		return decideHome(service, FlowKey(endpoint.Key), OwnerGone)
	}
	return Verdict{Service: service, Endpoint: endpoint}
}

func decideHome(service *Service, flow FlowKey, reason Reason) Verdict {
	endpoint := service.Home(flow)
	if endpoint == nil {
		return Verdict{Service: service, Reason: NoEndpoint}
	}
	return Verdict{Service: service, Endpoint: endpoint, Reason: reason}
}
