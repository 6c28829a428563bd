package steering

import (
	"net/netip"

	"cactustray/ticket"
)

// Trusting is the view of a node that hears of no endpoint's state.
type Trusting struct{}

// TakesNew returns true.
func (Trusting) TakesNew(ticket.EndpointKey) bool { return true }

// GoneThrough returns 0.
func (Trusting) GoneThrough(ticket.EndpointKey) Incarnation { return 0 }

// Arrival is what an agent learns of a datagram that another node sent it.
type Arrival struct {
	// Sender is the node's address.
	Sender netip.AddrPort
	// Service, Endpoint and Ticket are what the sender routed by.
	Service  ticket.ServiceKey
	Endpoint ticket.EndpointKey
	Ticket   ticket.Number
	// HandedOn tells that an agent passed the datagram on.
	HandedOn bool
	// OwnerGone tells that the sender knows the owner to have ended.
	OwnerGone bool
	// Known tells that a flow without token is open here.
	Known  bool
	Packet Packet
}

// Action is what an agent does with a datagram.
type Action int

const (
	// Drop the datagram.
	Drop Action = iota
	// Deliver it to the flow's state, which resets a flow it does not know.
	Deliver
	// Place it: it begins a flow. Reception.Endpoint is the home by a newer
	// ticket than the sender's, or nil.
	Place
	// Pass it on to Reception.Endpoint.
	Pass
)

// Reception is an agent's decision on a datagram.
type Reception struct {
	Action   Action
	Reason   Reason
	Endpoint *Endpoint
}

// Residence is what an agent steers by: itself, and its service's tickets. It
// is immutable.
type Residence struct {
	Owner   Owner
	Service ticket.ServiceKey
	// Current is the service by the ticket in force, Previous by the one
	// before; nil when not known.
	Current  *Service
	Previous *Service
}

// Ticket returns the number of the ticket in force, or 0.
func (r *Residence) Ticket() ticket.Number {
	if r.Current == nil {
		return 0
	}
	return r.Current.Ticket
}

// Next returns the residence once another ticket is in force.
func (r *Residence) Next(t *ticket.Ticket) *Residence {
	if r.Current != nil && r.Current.source == t {
		return r
	}
	return &Residence{
		Owner:    r.Owner,
		Service:  r.Service,
		Current:  NewService(t, Trusting{}),
		Previous: r.Current,
	}
}

// Receive decides on a datagram. What belongs to another service, endpoint or
// incarnation never reaches the backend server.
func (r *Residence) Receive(a Arrival) Reception {
	if a.Service != r.Service {
		return Reception{Reason: UnknownService}
	}
	if a.Endpoint != r.Owner.Endpoint {
		return Reception{Reason: WrongEndpoint}
	}
	if a.Packet.Tokenless {
		return r.receiveTokenless(a)
	}
	if a.Packet.HasOwner && a.Packet.Owner.Endpoint == r.Owner.Endpoint {
		return r.receiveOwn(a.Packet)
	}
	if a.Packet.Opening {
		return r.receiveOpening(a)
	}
	return receiveForeign(a)
}

// receiveOwn takes a datagram whose token names this endpoint. One of an ended
// process is delivered only to be reset, which a handshake can't be.
func (r *Residence) receiveOwn(p Packet) Reception {
	if p.Owner.Incarnation == r.Owner.Incarnation {
		return Reception{Action: Deliver}
	}
	if p.Opening {
		return Reception{Reason: StaleIncarnation}
	}
	return Reception{Action: Deliver, Reason: StaleIncarnation}
}

func (r *Residence) receiveOpening(a Arrival) Reception {
	if a.Packet.HasOwner && r.knows(a.Packet.Owner.Endpoint) {
		return Reception{Reason: ForeignOwner}
	}
	return Reception{Action: Place, Endpoint: r.correctHome(a)}
}

// correctHome returns the home by a newer ticket than the sender's, unless it
// is this endpoint.
func (r *Residence) correctHome(a Arrival) *Endpoint {
	if a.HandedOn || a.Ticket >= r.Ticket() {
		return nil
	}
	home := r.Current.Home(a.Packet.Flow)
	if home == nil || home.Key == r.Owner.Endpoint {
		return nil
	}
	return home
}

// receiveTokenless passes an open flow that is not known here on once, to the
// home it had by the ticket before.
func (r *Residence) receiveTokenless(a Arrival) Reception {
	if a.Known {
		return Reception{Action: Deliver}
	}
	if a.Packet.Opening {
		return r.receiveOpening(a)
	}
	if a.HandedOn || r.Previous == nil {
		return Reception{Reason: NoOwner}
	}
	home := r.Previous.Home(a.Packet.Flow)
	if home == nil || home.Key == r.Owner.Endpoint {
		return Reception{Reason: NoOwner}
	}
	return Reception{Action: Pass, Reason: PassedOn, Endpoint: home}
}

func receiveForeign(a Arrival) Reception {
	if !a.Packet.HasOwner {
		return Reception{Reason: NoOwner}
	}
	if a.OwnerGone {
		return Reception{Action: Deliver, Reason: OwnerGone}
	}
	return Reception{Reason: ForeignOwner}
}

func (r *Residence) knows(key ticket.EndpointKey) bool { return r.Peer(key) != nil }

// Peer returns an endpoint of the service, or nil.
func (r *Residence) Peer(key ticket.EndpointKey) *Endpoint {
	if r.Current == nil {
		return nil
	}
	for _, endpoint := range r.Current.endpoints {
		if endpoint.Key == key {
			return endpoint
		}
	}
	return nil
}

// Behind compares the ticket a sender routed by with the one here: sender or
// self is true for the node that is behind.
func (r *Residence) Behind(a Arrival) (sender, self bool) {
	return a.Ticket < r.Ticket(), a.Ticket > r.Ticket()
}
