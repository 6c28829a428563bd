package packetagent

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"cactustray/control"
	"cactustray/control/clock"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/settings"
	"cactustray/steering/datagram"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// openingCodec decodes every packet as the opening packet of a flow whose caller's port
// is the first byte.
type openingCodec struct{ flow.Codec }

func (openingCodec) Decode(b []byte) (flow.Packet, error) {
	key := flow.Key{Caller: flow.Address{IP: [4]byte{100, 64, 0, 1}, Port: uint16(b[0])}, Service: flow.Address{Port: 80}}
	return flow.Packet{Flow: key, Opening: true}, nil
}

func listenLoopback(t *testing.T) *net.UDPConn {
	socket, err := datagram.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func localAddr(socket *net.UDPConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// freeAddr returns an address whose port was free a moment ago.
func freeAddr(t *testing.T) netip.AddrPort {
	socket := listenLoopback(t)
	_ = socket.Close()
	return localAddr(socket)
}

// startForwarder starts the traffic side of an agent of the service.
func startForwarder(t *testing.T, service string, endpoint netip.AddrPort) *forwarder {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p := &settings.PacketSettings{Peer: freeAddr(t), Outbound: freeAddr(t), Edge: freeAddr(t), Endpoint: endpoint, Service: service, FlowSeconds: 60}
	f, err := newForwarder(&settings.Settings{Packets: p}, openingCodec{}, control.NewLoop(time.Second), event.NewLog(logger, "test"))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.servePeers(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = f.outbound.Close()
	})
	return f
}

// startBusyForwarder starts the traffic side of an agent of the service; its endpoint has
// no free slot.
func startBusyForwarder(t *testing.T, service string, endpoint netip.AddrPort) *forwarder {
	f := startForwarder(t, service, endpoint)
	f.applyHello(clock.Now(), wire.Hello{Slots: 1})
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range 2 {
		key := flow.Key{Caller: flow.Address{Port: uint16(i)}}
		f.flowTable.FromBalancer(time.Second, flow.Packet{Flow: key, Opening: true}, flow.Delivery{}, nil)
		f.flowTable.FromEndpoint(time.Second, flow.Packet{Flow: key, Accepting: true})
		f.flowTable.FromBalancer(time.Second, flow.Packet{Flow: key, Acknowledged: 1, Data: 1}, flow.Delivery{}, nil)
	}
	return f
}

// startBusyAgent calls startBusyForwarder and returns the address at which the agent
// receives packets from balancers.
func startBusyAgent(t *testing.T, service string, endpoint netip.AddrPort) netip.AddrPort {
	return localAddr(startBusyForwarder(t, service, endpoint).peers)
}

// A packet that a busy agent forwards to another agent carries the service's tag: the
// other agent's address may meanwhile belong to another service, whose endpoint must not
// get the packet.
func TestForwardedPacketCarriesServiceTag(t *testing.T) {
	other, balancer, endpoint := listenLoopback(t), listenLoopback(t), listenLoopback(t)
	agent := startBusyAgent(t, "orders", localAddr(endpoint))
	e := wire.Envelope{Delivery: flow.Delivery{Balancer: flow.AddressOf(localAddr(balancer)), Alternate: flow.AddressOf(localAddr(other))}}
	packet := append(make([]byte, wire.EnvelopeSize), 9)
	wire.PutEnvelope(packet, wire.Forward, e)
	_, err := balancer.WriteToUDPAddrPort(packet, agent)
	must.NoError(t, err)
	buffer := make([]byte, 100)
	n, _, err := other.ReadFromUDPAddrPort(buffer)
	must.NoError(t, err)
	forwarded, payload, err := wire.OpenEnvelope(buffer[:n])
	must.NoError(t, err)
	must.Eq(t, []byte{9}, payload)
	must.EqOp(t, flow.TagOf(xxhash.Sum64String("orders")), forwarded.Tag)
}

// A packet of another service is returned to its balancer.
func TestPacketOfAnotherServiceIsReturned(t *testing.T) {
	balancer, endpoint := listenLoopback(t), listenLoopback(t)
	agent := startBusyAgent(t, "drawings", localAddr(endpoint))
	e := wire.Envelope{StatedService: flow.StatedService{Tag: flow.TagOf(xxhash.Sum64String("orders"))}, Delivery: flow.Delivery{Balancer: flow.AddressOf(localAddr(balancer))}}
	packet := append(make([]byte, wire.EnvelopeSize), 9)
	wire.PutEnvelope(packet, wire.Forward, e)
	_, err := balancer.WriteToUDPAddrPort(packet, agent)
	must.NoError(t, err)
	buffer := make([]byte, 100)
	n, _, err := balancer.ReadFromUDPAddrPort(buffer)
	must.NoError(t, err)
	must.EqOp(t, wire.Return, wire.KindOf(buffer[:n]))
}

// newTestState returns the control state of an agent before which none ran.
func newTestState(f *forwarder, seeds []flow.Address) *state {
	s := newState(f.log, f, seeds)
	s.predecessor.isFirst = true
	return s
}
