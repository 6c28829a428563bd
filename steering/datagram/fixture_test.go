package datagram

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"cactustray/control"
	"cactustray/steering"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

var (
	serviceAddress = netip.MustParseAddrPort("10.0.0.1:443")
	callerAddress  = netip.MustParseAddrPort("192.0.2.7:5000")
)

func newSealer(t testing.TB, ids ...byte) *steering.Sealer {
	var keys []steering.Key
	for _, id := range ids {
		key, err := steering.ParseKey(id, "000102030405060708090a0b0c0d0e0f")
		must.NoError(t, err)
		key.Secret[0] = id
		keys = append(keys, key)
	}
	sealer, err := steering.NewSealer(keys)
	must.NoError(t, err)
	return sealer
}

func bind(t testing.TB) *net.UDPConn {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	_ = socket.SetReadBuffer(4 << 20)
	return socket
}

func addressOf(socket *net.UDPConn) netip.AddrPort {
	return unmapped(socket.LocalAddr().(*net.UDPAddr).AddrPort())
}

// ordersTicket returns a ticket of the service "orders" with an endpoint at
// each address.
func ordersTicket(number ticket.Number, endpoints ...netip.AddrPort) *ticket.Ticket {
	t := &ticket.Ticket{Number: number, Service: "orders", Address: serviceAddress}
	for i, address := range endpoints {
		t.Endpoints = append(t.Endpoints, ticket.Endpoint{Name: nameOf(i), Datagram: address, Weight: 100})
	}
	return t
}

func nameOf(i int) string { return string(rune('a' + i)) }

func ownerOf(i int, incarnation steering.Incarnation) steering.Owner {
	return steering.Owner{Endpoint: ticket.EndpointKeyOf("orders", nameOf(i)), Incarnation: incarnation}
}

func tableOf(tickets ...*ticket.Ticket) *steering.Table {
	return tableWithAvailability(steering.AlwaysAvailable{}, tickets...)
}

func tableWithAvailability(availability steering.Availability, tickets ...*ticket.Ticket) *steering.Table {
	s := steering.NewState()
	for _, t := range tickets {
		register := ticket.NewRegister()
		register.Join(start, ticket.Record{Ticket: t})
		s.Update(start, register, availability)
	}
	return s.Table()
}

// newForwarder returns a balancer's forwarder and the channel that receives its
// messages to the control goroutine.
func newForwarder(t testing.TB, sealer *steering.Sealer, fabric netip.AddrPort, table *steering.Table) (*Forwarder, chan control.Message) {
	offered := make(chan control.Message, 64)
	f := &Forwarder{
		Edge:     bind(t),
		Agents:   bind(t),
		Fabric:   fabric,
		Table:    new(atomic.Pointer[steering.Table]),
		Sealer:   sealer,
		Counters: new(steering.Counters),
		Offer:    offerTo(offered),
		Failures: testFailures(),
	}
	f.Table.Store(table)
	return f, offered
}

func testFailures() Failures {
	return Failures{
		SocketFailed: func(string, error) {},
		Contain: func(_ string, f func()) bool {
			f()
			return true
		},
	}
}

func offerTo(offered chan<- control.Message) func(control.Message) bool {
	return func(m control.Message) bool {
		select {
		case offered <- m:
			return true
		default:
			return false
		}
	}
}

// newAgent returns the packet connection of an agent and the channel that
// receives its messages to the control goroutine.
func newAgent(t testing.TB, sealer *steering.Sealer, socket *net.UDPConn, owner steering.Owner, tickets ...*ticket.Ticket) (*Conn, chan control.Message) {
	shared := &SharedState{Failures: testFailures()}
	snapshot := &steering.AgentSnapshot{Owner: owner, Service: ticket.ServiceKeyOf("orders")}
	for _, t := range tickets {
		snapshot = snapshot.WithTicket(t)
	}
	shared.Steering.Store(snapshot)
	offered := make(chan control.Message, 64)
	return NewConn(socket, sealer, shared, offerTo(offered)), offered
}

// shortHeader returns a datagram of an open flow.
func shortHeader(token steering.Token) []byte {
	return append(append([]byte{0x40}, token[:]...), make([]byte, 40)...)
}

// longHeader returns a datagram that may open a flow; only its invariant header
// fields are valid.
func longHeader(id []byte) []byte {
	return append(append([]byte{0xc0, 0, 0, 0, 1, byte(len(id))}, id...), make([]byte, 40)...)
}

func fromFabric(t testing.TB, payload []byte) []byte {
	header, err := FormatProxyHeader(ProxyHeader{Source: callerAddress, Destination: serviceAddress})
	must.NoError(t, err)
	return append(header, payload...)
}
