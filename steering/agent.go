package steering

import (
	"net/netip"

	"cactustray/ticket"
)

// AlwaysAvailable is the Availability of a node without liveness information:
// every endpoint accepts new flows, and none is known to have stopped.
type AlwaysAvailable struct{}

// AcceptsNew returns true.
func (AlwaysAvailable) AcceptsNew(ticket.EndpointKey) bool { return true }

// StoppedThrough returns 0.
func (AlwaysAvailable) StoppedThrough(ticket.EndpointKey) Incarnation { return 0 }

// Arrival is the input of an agent's decision on a datagram from another node.
type Arrival struct {
	// Sender is the address of the node that sent the datagram.
	Sender netip.AddrPort
	// Service, Endpoint and Ticket are those by which the sender routed the
	// datagram.
	Service  ticket.ServiceKey
	Endpoint ticket.EndpointKey
	Ticket   ticket.Number
	// HandedOn is true if an agent forwarded the datagram.
	HandedOn bool
	// OwnerGone is true if the sender knows that the owner has stopped.
	OwnerGone bool
	Packet    Packet
}

// Action is what an agent does with a datagram.
type Action int

const (
	// Drop discards the datagram.
	Drop Action = iota
	// Deliver passes the datagram to the transport, which resets a flow that it
	// does not know.
	Deliver
	// Place is for a datagram that opens a flow: the placement policy decides
	// whether the flow stays here. Decision.Endpoint is the flow's home
	// according to this agent's ticket if the sender's ticket is older and the
	// home is another endpoint; otherwise nil.
	Place
	// Forward sends the datagram to the agent of Decision.Endpoint.
	Forward
)

// Decision is what an agent decided to do with a datagram.
type Decision struct {
	Action   Action
	Reason   Reason
	Endpoint *Endpoint
}

// AgentSnapshot is the immutable state from which an agent decides: its own
// identity, and the snapshots of its service from the current and the previous
// ticket.
type AgentSnapshot struct {
	Owner   Owner
	Service ticket.ServiceKey
	// Current is built from the ticket in force, Previous from the ticket
	// before it; each is nil if there is no such ticket.
	Current  *Service
	Previous *Service
}

// Ticket returns the number of the ticket in force, or 0 if there is none.
func (s *AgentSnapshot) Ticket() ticket.Number {
	if s.Current == nil {
		return 0
	}
	return s.Current.Ticket
}

// WithTicket returns the snapshot with t as the ticket in force.
func (s *AgentSnapshot) WithTicket(t *ticket.Ticket) *AgentSnapshot {
	if s.Current != nil && s.Current.source == t {
		return s
	}
	return &AgentSnapshot{
		Owner:    s.Owner,
		Service:  s.Service,
		Current:  NewService(t, AlwaysAvailable{}),
		Previous: s.Current,
	}
}

// Receive decides what to do with a datagram. Datagrams for another service,
// endpoint or incarnation never reach the backend server.
func (s *AgentSnapshot) Receive(a Arrival) Decision {
	if a.Service != s.Service {
		return Decision{Reason: UnknownService}
	}
	if a.Endpoint != s.Owner.Endpoint {
		return Decision{Reason: WrongEndpoint}
	}
	if a.Packet.Tokenless {
		return s.decideTokenless(a)
	}
	if a.Packet.HasOwner && a.Packet.Owner.Endpoint == s.Owner.Endpoint {
		return s.decideOwn(a.Packet)
	}
	if a.Packet.Opening {
		return s.decideOpening(a)
	}
	return decideForeign(a)
}

// decideOwn decides on a datagram whose token names this endpoint. If the token
// names an earlier process, the datagram is delivered only to be reset. A
// datagram of a handshake cannot be reset and is dropped.
func (s *AgentSnapshot) decideOwn(p Packet) Decision {
	if p.Owner.Incarnation == s.Owner.Incarnation {
		return Decision{Action: Deliver}
	}
	if p.Opening {
		return Decision{Reason: StaleIncarnation}
	}
	return Decision{Action: Deliver, Reason: StaleIncarnation}
}

// decideOpening places a new flow. A token that names another endpoint of the
// service belongs to a handshake in progress there, so the datagram is dropped.
func (s *AgentSnapshot) decideOpening(a Arrival) Decision {
	if a.Packet.HasOwner && s.isPeer(a.Packet.Owner.Endpoint) {
		return Decision{Reason: ForeignOwner}
	}
	return Decision{Action: Place, Endpoint: s.newerHome(a)}
}

// newerHome returns the flow's home according to this agent's ticket if the
// sender's ticket is older and the home is another endpoint; otherwise nil. A
// datagram that an agent forwarded is not forwarded again.
func (s *AgentSnapshot) newerHome(a Arrival) *Endpoint {
	if a.HandedOn || a.Ticket >= s.Ticket() {
		return nil
	}
	home := s.Current.Home(a.Packet.Flow)
	if home == nil || home.Key == s.Owner.Endpoint {
		return nil
	}
	return home
}

// decideTokenless forwards a datagram of an open flow that is unknown here to
// the flow's home according to the previous ticket, at most once.
func (s *AgentSnapshot) decideTokenless(a Arrival) Decision {
	if a.Packet.Opening {
		return s.decideOpening(a)
	}
	if a.HandedOn || s.Previous == nil {
		return Decision{Reason: NoOwner}
	}
	home := s.Previous.Home(a.Packet.Flow)
	if home == nil || home.Key == s.Owner.Endpoint {
		return Decision{Reason: NoOwner}
	}
	return Decision{Action: Forward, Reason: PassedOn, Endpoint: home}
}

// decideForeign decides on a datagram of an open flow whose token names no
// process of this endpoint. It is delivered only to be reset, if its owner has
// stopped; otherwise it is dropped.
func decideForeign(a Arrival) Decision {
	if !a.Packet.HasOwner {
		return Decision{Reason: NoOwner}
	}
	if a.OwnerGone {
		return Decision{Action: Deliver, Reason: OwnerGone}
	}
	return Decision{Reason: ForeignOwner}
}

func (s *AgentSnapshot) isPeer(key ticket.EndpointKey) bool { return s.Peer(key) != nil }

// Peer returns the endpoint of the service with the given key, or nil. The
// agent's own endpoint is included.
func (s *AgentSnapshot) Peer(key ticket.EndpointKey) *Endpoint {
	if s.Current == nil {
		return nil
	}
	for _, endpoint := range s.Current.endpoints {
		if endpoint.Key == key {
			return endpoint
		}
	}
	return nil
}

// Behind compares the ticket that a sender routed by with the one in
// force here. sender is true if the sender's ticket is the older one, self if
// this agent's is.
func (s *AgentSnapshot) Behind(a Arrival) (sender, self bool) {
	return a.Ticket < s.Ticket(), a.Ticket > s.Ticket()
}
