// Package steering chooses the endpoint for each datagram. The decision takes
// an abstract packet, so that any front end can use it, and reads an immutable
// table that the control goroutine publishes.
package steering

import (
	"net/netip"

	"cactustray/ticket"
)

// Endpoint is the snapshot of one backend server for the traffic goroutines. It
// is immutable.
type Endpoint struct {
	Key      ticket.EndpointKey
	Name     string
	Service  ticket.ServiceKey
	Datagram netip.AddrPort
	Weight   uint32
	// AcceptsNew is false if the endpoint has departed, the ticket drains it, or
	// the Availability says that it accepts no new flows.
	AcceptsNew bool
	// Departed is true if no ticket in force names the endpoint any more.
	Departed bool
	// StoppedThrough is the last incarnation known to have stopped, or 0.
	StoppedThrough Incarnation
}

// hasStopped reports whether the owner's process is known to have stopped.
func (e *Endpoint) hasStopped(owner Owner) bool {
	return e.StoppedThrough > 0 && owner.Incarnation <= e.StoppedThrough
}

// Service is the snapshot of one service for the traffic goroutines. It is
// immutable.
type Service struct {
	Key     ticket.ServiceKey
	Name    string
	Address netip.AddrPort
	Ticket  ticket.Number

	source     *ticket.Ticket
	endpoints  []*Endpoint
	candidates candidates
}

// Endpoints returns the endpoints that the ticket names. The caller must not
// change the slice.
func (s *Service) Endpoints() []*Endpoint { return s.endpoints }

// Availability provides the current state of endpoints, which their tickets do
// not contain.
type Availability interface {
	// AcceptsNew is false for an endpoint that is leaving or suspected.
	AcceptsNew(ticket.EndpointKey) bool
	// StoppedThrough returns the last incarnation of an endpoint that has itself
	// announced its stop, or 0. Silence does not count as a stop.
	StoppedThrough(ticket.EndpointKey) Incarnation
}

// NewService builds the snapshot of one service from its ticket and the
// availability.
func NewService(t *ticket.Ticket, availability Availability) *Service {
	service := &Service{Key: t.Key(), Name: t.Service, Address: t.Address, Ticket: t.Number, source: t}
	var eligible, fallback []*Endpoint
	for _, e := range t.Endpoints {
		endpoint := newEndpoint(service, e, availability)
		service.endpoints = append(service.endpoints, endpoint)
		if endpoint.AcceptsNew {
			eligible = append(eligible, endpoint)
		} else if !e.Draining {
			fallback = append(fallback, endpoint)
		}
	}
	// An availability that excludes every endpoint is more likely wrong than
	// right: keep serving with those that the ticket does not drain.
	if len(eligible) == 0 {
		eligible = fallback
	}
	service.candidates = newCandidates(eligible)
	return service
}

func newEndpoint(service *Service, e ticket.Endpoint, availability Availability) *Endpoint {
	key := ticket.EndpointKeyOf(service.Name, e.Name)
	return &Endpoint{
		Key:            key,
		Name:           e.Name,
		Service:        service.Key,
		Datagram:       e.Datagram,
		Weight:         e.Weight,
		AcceptsNew:     !e.Draining && availability.AcceptsNew(key),
		StoppedThrough: availability.StoppedThrough(key),
	}
}

// isCurrent reports whether a new snapshot from the ticket and the availability
// would equal this one.
func (s *Service) isCurrent(t *ticket.Ticket, availability Availability) bool {
	if s.source != t {
		return false
	}
	for i, endpoint := range s.endpoints {
		acceptsNew := !t.Endpoints[i].Draining && availability.AcceptsNew(endpoint.Key)
		if endpoint.AcceptsNew != acceptsNew || endpoint.StoppedThrough != availability.StoppedThrough(endpoint.Key) {
			return false
		}
	}
	return true
}

// Table is the snapshot by which datagrams are steered. It is immutable; the
// next table shares the unchanged parts.
type Table struct {
	byAddress *index[addressKey, *Service]
	services  *index[ticket.ServiceKey, *Service]
	endpoints *index[ticket.EndpointKey, *Endpoint]
}

func emptyTable() *Table {
	return &Table{
		byAddress: newIndex[addressKey, *Service](addressHash),
		services:  newIndex[ticket.ServiceKey, *Service](serviceHash),
		endpoints: newIndex[ticket.EndpointKey, *Endpoint](endpointHash),
	}
}

// ServiceAt returns the service that callers reach at an address, or nil.
func (t *Table) ServiceAt(address netip.AddrPort) *Service {
	return t.byAddress.get(addressKeyOf(address))
}

// Service returns the service with the given key, or nil.
func (t *Table) Service(key ticket.ServiceKey) *Service { return t.services.get(key) }

// Endpoint returns the endpoint with the given key, current or departed, or
// nil.
func (t *Table) Endpoint(key ticket.EndpointKey) *Endpoint { return t.endpoints.get(key) }

// Services returns the number of services.
func (t *Table) Services() int { return t.services.length }

// Endpoints returns the number of endpoints, current and departed.
func (t *Table) Endpoints() int { return t.endpoints.length }

// addressKey is an address and port in a form that hashes fast: 16 address
// bytes, then the port in network byte order.
type addressKey [18]byte

func addressKeyOf(address netip.AddrPort) (key addressKey) {
	ip := address.Addr().As16()
	copy(key[:], ip[:])
	key[16], key[17] = byte(address.Port()>>8), byte(address.Port())
	return key
}

func addressHash(key addressKey) uint8 { return key[15] ^ key[14]<<1 ^ key[13] ^ key[17] }

// Service and endpoint keys are hashes themselves, so any byte distributes them
// evenly over the shards.
func serviceHash(key ticket.ServiceKey) uint8 { return uint8(key) }

func endpointHash(key ticket.EndpointKey) uint8 { return uint8(key) }
