// Package steering holds the duty of finding the endpoint for a datagram. Its
// decision takes an abstract packet, so that any front end can use it, and
// reads an immutable table that the control goroutine publishes.
package steering

import (
	"encoding/binary"
	"math"
	"net/netip"

	"cactustray/ticket"

	"github.com/cespare/xxhash/v2"
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
}

// Service is one service as the traffic side sees it. It is immutable.
type Service struct {
	Key     ticket.ServiceKey
	Name    string
	Address netip.AddrPort
	Ticket  ticket.Number
	// Homes are the endpoints that take new flows.
	Homes []*Endpoint
}

// Table is the snapshot that datagrams are steered by. It is immutable.
type Table struct {
	byAddress map[netip.AddrPort]*Service
	services  map[ticket.ServiceKey]*Service
	endpoints map[ticket.EndpointKey]*Endpoint
}

// View says how an endpoint stands now, apart from its ticket.
type View interface {
	// TakesNew is false for an endpoint that is leaving or suspected.
	TakesNew(ticket.EndpointKey) bool
}

// BuildTable makes the table of all tickets in force. Endpoints of previous
// that no ticket names any more stay reachable for their open flows.
func BuildTable(register *ticket.Register, view View, previous *Table) *Table {
	t := &Table{
		byAddress: make(map[netip.AddrPort]*Service),
		services:  make(map[ticket.ServiceKey]*Service),
		endpoints: make(map[ticket.EndpointKey]*Endpoint),
	}
	if previous != nil {
		for key, endpoint := range previous.endpoints {
			left := *endpoint
			left.TakesNew = false
			t.endpoints[key] = &left
		}
	}
	register.Each(func(key ticket.ServiceKey, entry *ticket.Entry) {
		t.addService(key, entry.Ticket, view)
	})
	owners, _ := register.Addresses()
	for address, key := range owners {
		t.byAddress[address] = t.services[key]
	}
	return t
}

func (t *Table) addService(key ticket.ServiceKey, tk *ticket.Ticket, view View) {
	if tk.Removed {
		return
	}
	service := &Service{Key: key, Name: tk.Service, Address: tk.Address, Ticket: tk.Number}
	var standby []*Endpoint
	for _, e := range tk.Endpoints {
		endpoint := t.addEndpoint(service, e, view)
		if endpoint.TakesNew {
			service.Homes = append(service.Homes, endpoint)
		} else if !e.Draining {
			standby = append(standby, endpoint)
		}
	}
	// With no endpoint left to trust, doubt the observer and go on serving.
	if len(service.Homes) == 0 {
		service.Homes = standby
	}
	t.services[key] = service
}

func (t *Table) addEndpoint(service *Service, e ticket.Endpoint, view View) *Endpoint {
	key := ticket.EndpointKeyOf(service.Name, e.Name)
	endpoint := &Endpoint{
		Key:      key,
		Name:     e.Name,
		Service:  service.Key,
		Datagram: e.Datagram,
		Weight:   e.Weight,
		TakesNew: !e.Draining && view.TakesNew(key),
	}
	t.endpoints[key] = endpoint
	return endpoint
}

// ServiceAt returns the service callers reach at an address, or nil.
func (t *Table) ServiceAt(address netip.AddrPort) *Service { return t.byAddress[address] }

// Service returns the service with a key, or nil.
func (t *Table) Service(key ticket.ServiceKey) *Service { return t.services[key] }

// Endpoint returns the endpoint with a key, known now or lately, or nil.
func (t *Table) Endpoint(key ticket.EndpointKey) *Endpoint { return t.endpoints[key] }

// EndpointOf returns the endpoint with a key as it stands on the wire, or nil.
func (t *Table) EndpointOf(key uint64) *Endpoint { return t.Endpoint(ticket.EndpointKey(key)) }

// FlowKey is the hash of what a front end knows a flow by.
type FlowKey uint64

// home returns the endpoint for a new flow by weighted rendezvous hashing: a
// change of the endpoints moves only the flows it must.
func (s *Service) home(flow FlowKey) *Endpoint {
	var best *Endpoint
	lowest := math.Inf(1)
	for _, endpoint := range s.Homes {
		cost := rendezvousCost(flow, endpoint)
		if cost < lowest {
			best, lowest = endpoint, cost
		}
	}
	return best
}

func rendezvousCost(flow FlowKey, endpoint *Endpoint) float64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:], uint64(flow))
	binary.LittleEndian.PutUint64(pair[8:], uint64(endpoint.Key))
	const unit = 1 << 53
	uniform := (float64(xxhash.Sum64(pair[:])>>11) + 0.5) / unit
	return -math.Log(uniform) / float64(endpoint.Weight)
}
