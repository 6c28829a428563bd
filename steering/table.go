// Package steering holds the duty of finding the endpoint for a datagram. Its
// decision takes an abstract packet, so that any front end can use it, and
// reads an immutable table that the control goroutine publishes.
package steering

import (
	"net/netip"

	"cactustray/ticket"
)

// Endpoint is one backend server as the traffic side sees it. It is immutable.
type Endpoint struct {
	Key      ticket.EndpointKey
	Name     string
	Service  ticket.ServiceKey
	Datagram netip.AddrPort
	Weight   uint32
	// TakesNew is false while the endpoint drains or is suspected.
	TakesNew bool
	// Left tells that no ticket in force names the endpoint any more.
	Left bool
	// GoneThrough is the last incarnation known to have ended, or 0.
	GoneThrough Incarnation
}

// ended tells whether the owner's process is known to have ended.
func (e *Endpoint) ended(owner Owner) bool {
	return e.GoneThrough > 0 && owner.Incarnation <= e.GoneThrough
}

// Service is one service as the traffic side sees it. It is immutable.
type Service struct {
	Key     ticket.ServiceKey
	Name    string
	Address netip.AddrPort
	Ticket  ticket.Number

	source    *ticket.Ticket
	endpoints []*Endpoint
	contest   contest
}

// Homes returns how many endpoints take new flows.
func (s *Service) Homes() int { return len(s.contest.seeds) }

// Endpoints returns the endpoints that the ticket names; the caller must not
// change the slice.
func (s *Service) Endpoints() []*Endpoint { return s.endpoints }

// View says how an endpoint stands now, apart from its ticket.
type View interface {
	// TakesNew is false for an endpoint that is leaving or suspected.
	TakesNew(ticket.EndpointKey) bool
	// GoneThrough returns the last incarnation of an endpoint that has said
	// that it ended, or 0. Silence is no proof of an end.
	GoneThrough(ticket.EndpointKey) Incarnation
}

// NewService makes the snapshot of one service from its ticket.
func NewService(t *ticket.Ticket, view View) *Service {
	service := &Service{Key: t.Key(), Name: t.Service, Address: t.Address, Ticket: t.Number, source: t}
	var trusted, standby []*Endpoint
	for _, e := range t.Endpoints {
		endpoint := newEndpoint(service, e, view)
		service.endpoints = append(service.endpoints, endpoint)
		if endpoint.TakesNew {
			trusted = append(trusted, endpoint)
		} else if !e.Draining {
			standby = append(standby, endpoint)
		}
	}
	// With no endpoint left to trust, doubt the observer and go on serving.
	if len(trusted) == 0 {
		trusted = standby
	}
	service.contest = newContest(trusted)
	return service
}

func newEndpoint(service *Service, e ticket.Endpoint, view View) *Endpoint {
	key := ticket.EndpointKeyOf(service.Name, e.Name)
	return &Endpoint{
		Key:         key,
		Name:        e.Name,
		Service:     service.Key,
		Datagram:    e.Datagram,
		Weight:      e.Weight,
		TakesNew:    !e.Draining && view.TakesNew(key),
		GoneThrough: view.GoneThrough(key),
	}
}

// stands tells whether a snapshot of the ticket made now would be the same.
func (s *Service) stands(t *ticket.Ticket, view View) bool {
	if s.source != t {
		return false
	}
	for i, endpoint := range s.endpoints {
		takesNew := !t.Endpoints[i].Draining && view.TakesNew(endpoint.Key)
		if endpoint.TakesNew != takesNew || endpoint.GoneThrough != view.GoneThrough(endpoint.Key) {
			return false
		}
	}
	return true
}

// Table is the snapshot that datagrams are steered by. It is immutable; the
// next table shares what did not change.
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

// ServiceAt returns the service callers reach at an address, or nil.
func (t *Table) ServiceAt(address netip.AddrPort) *Service {
	return t.byAddress.get(addressKeyOf(address))
}

// Service returns the service with a key, or nil.
func (t *Table) Service(key ticket.ServiceKey) *Service { return t.services.get(key) }

// Endpoint returns the endpoint with a key, known now or lately, or nil.
func (t *Table) Endpoint(key ticket.EndpointKey) *Endpoint { return t.endpoints.get(key) }

// Services returns how many services the table has.
func (t *Table) Services() int { return t.services.length }

// Endpoints returns how many endpoints the table has, known now or lately.
func (t *Table) Endpoints() int { return t.endpoints.length }

// addressKey is an address in a form that hashes fast: 16 address bytes, then
// the port.
type addressKey [18]byte

func addressKeyOf(address netip.AddrPort) (key addressKey) {
	ip := address.Addr().As16()
	copy(key[:], ip[:])
	key[16], key[17] = byte(address.Port()>>8), byte(address.Port())
	return key
}

func addressHash(key addressKey) uint8 { return key[15] ^ key[14]<<1 ^ key[13] ^ key[17] }

// Keys are hashes, so any of their bytes spreads them.
func serviceHash(key ticket.ServiceKey) uint8 { return uint8(key) }

func endpointHash(key ticket.EndpointKey) uint8 { return uint8(key) }
