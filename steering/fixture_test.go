package steering

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"cactustray/ticket"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeAvailability is an Availability in which some endpoints are suspected,
// and some incarnations have stopped.
type fakeAvailability struct {
	suspected map[ticket.EndpointKey]bool
	stopped   map[ticket.EndpointKey]Incarnation
}

func (a fakeAvailability) AcceptsNew(key ticket.EndpointKey) bool            { return !a.suspected[key] }
func (a fakeAvailability) StoppedThrough(key ticket.EndpointKey) Incarnation { return a.stopped[key] }

func address(network byte, i int) netip.AddrPort {
	ip := [4]byte{network}
	binary.BigEndian.PutUint16(ip[1:], uint16(i>>8))
	ip[3] = byte(i)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 443)
}

// ticketOf returns a ticket of a service, with an endpoint for each weight
// other than 0.
func ticketOf(service, number int, weights ...uint32) *ticket.Ticket {
	t := &ticket.Ticket{
		Number:  ticket.Number(number),
		Service: fmt.Sprintf("service-%d", service),
		Address: address(10, service),
	}
	for i, weight := range weights {
		if weight == 0 {
			continue
		}
		t.Endpoints = append(t.Endpoints, ticket.Endpoint{
			Name:     fmt.Sprintf("vm-%d", i),
			Datagram: address(172, service*64+i),
			Weight:   weight,
		})
	}
	return t
}

func keyOf(service, i int) ticket.EndpointKey {
	return ticket.EndpointKeyOf(fmt.Sprintf("service-%d", service), fmt.Sprintf("vm-%d", i))
}

func addTickets(register *ticket.Register, tickets ...*ticket.Ticket) {
	for _, t := range tickets {
		register.Join(start, ticket.Record{Ticket: t, Content: uint64(t.Number)})
	}
}

// newRegister returns a register with one ticket for each service; the
// endpoints are divided evenly among the services.
func newRegister(services, endpoints int) *ticket.Register {
	register := ticket.NewRegister()
	for i := range services {
		count := endpoints / services
		if i < endpoints%services {
			count++
		}
		weights := make([]uint32, count)
		for j := range weights {
			weights[j] = 100
		}
		addTickets(register, ticketOf(i, 1, weights...))
	}
	return register
}
