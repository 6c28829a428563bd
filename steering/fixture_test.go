package steering

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"cactustray/ticket"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// standing is a view that distrusts some endpoints and knows some ended.
type standing struct {
	distrusted map[ticket.EndpointKey]bool
	gone       map[ticket.EndpointKey]Incarnation
}

func (v standing) TakesNew(key ticket.EndpointKey) bool           { return !v.distrusted[key] }
func (v standing) GoneThrough(key ticket.EndpointKey) Incarnation { return v.gone[key] }

func address(network byte, i int) netip.AddrPort {
	ip := [4]byte{network}
	binary.BigEndian.PutUint16(ip[1:], uint16(i>>8))
	ip[3] = byte(i)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 443)
}

// ticketOf is ticket number of a service with the given weights; a weight of 0
// leaves the endpoint out.
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

func join(register *ticket.Register, tickets ...*ticket.Ticket) {
	for _, t := range tickets {
		register.Join(start, ticket.Held{Ticket: t, Content: uint64(t.Number)})
	}
}

// fleet is a register of the size to design for, or of another.
func fleet(services, endpoints int) *ticket.Register {
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
		join(register, ticketOf(i, 1, weights...))
	}
	return register
}
