package spread

import (
	"fmt"
	"net/netip"

	"cactustray/ticket"
)

const servicePort = 443

// Ticket returns a valid ticket of a service with the given number of endpoints; the variant
// changes its content.
func Ticket(service int, number ticket.Number, variant uint32, endpoints int) *ticket.Ticket {
	t := &ticket.Ticket{
		Number:  number,
		Service: fmt.Sprintf("service-%04d", service),
		Address: netip.AddrPortFrom(address(10, service), servicePort),
		Limits:  ticket.Limits{Slots: 4, Connections: 2000, QueueMillis: 1000, DrainSeconds: 3600 + variant},
		Feeds:   []string{"/feed"},
	}
	for i := range endpoints {
		host := address(11, service*endpoints+i)
		t.Endpoints = append(t.Endpoints, ticket.Endpoint{
			Name:     fmt.Sprintf("%s-%d", t.Service, i),
			Zone:     fmt.Sprintf("fd-%d", i%10),
			Datagram: netip.AddrPortFrom(host, 7000),
			Control:  netip.AddrPortFrom(host, 7001),
			Weight:   100,
		})
	}
	return t
}

func address(first byte, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{first, byte(host >> 16), byte(host >> 8), byte(host)})
}
