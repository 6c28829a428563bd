package packetbalancer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"cactustray/control"
	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/settings"
	"cactustray/steering/datagram"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// portCodec decodes packets whose first two bytes are the caller's port; it replaces
// the fabric's codec.
type portCodec struct{ flow.Codec }

func (portCodec) Decode(b []byte) (flow.Packet, error) {
	if len(b) < 2 {
		return flow.Packet{}, &flow.MalformedError{Length: len(b), Why: "short"}
	}
	caller := flow.Address{IP: [4]byte{100, 64, 0, 1}, Port: uint16(b[0])<<8 | uint16(b[1])}
	if string(b[2:]) == poison {
		panic("a fault in the code")
	}
	return flow.Packet{Flow: flow.Key{Caller: caller, Service: flow.AddressOf(routeTo(80, "").Address)}, Data: len(b)}, nil
}

// poison is the content of a packet whose decoding panics.
const poison = "poison"

func listenLoopback(t testing.TB, ip string) *net.UDPConn {
	socket, err := datagram.Listen(netip.MustParseAddrPort(ip + ":0"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func localAddr(socket *net.UDPConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startForwarder starts a forwarder with the given number of known flows, all
// assigned to one agent, and returns its address for callers.
func startForwarder(t testing.TB, agent netip.AddrPort, flows int) netip.AddrPort {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	edge, peer := localAddr(closedSocket(t)), localAddr(closedSocket(t))
	s := &settings.Settings{Packets: &settings.PacketSettings{Edge: edge, Peer: peer, FlowSeconds: 60, LinkMbps: 1000}}
	f, err := newForwarder(s, portCodec{}, control.NewLoop(time.Second), event.NewLog(logger, "test"))
	must.NoError(t, err)
	f.earlyQueue.release()
	withRoute := stateWith(directory.Change{Revision: 1, Snapshot: true, Desired: &directory.Desired{Routes: []directory.Route{routeTo(80, "orders")}}})
	f.table.Store(newTableBuilder(clock.Now(), withRoute).build())
	for i := range flows {
		packet, _ := portCodec{}.Decode([]byte{byte(i >> 8), byte(i)})
		f.assignments.Found(clock.Now(), packet.Flow, flow.AddressOf(agent), nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.serveEdge(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = f.peers.Close()
	})
	return edge
}

// closedSocket returns a closed socket, whose port was free.
func closedSocket(t testing.TB) *net.UDPConn {
	socket := listenLoopback(t, "127.0.0.1")
	_ = socket.Close()
	return socket
}

// startRelay starts a relay that only copies each datagram, as a baseline.
func startRelay(t testing.TB, to netip.AddrPort) netip.AddrPort {
	in, out := listenLoopback(t, "127.0.0.1"), listenLoopback(t, "127.0.0.1")
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, _, err := in.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = out.WriteToUDPAddrPort(buffer[:n], to)
		}
	}()
	return localAddr(in)
}

func TestForwarderPrependsEnvelope(t *testing.T) {
	sink := listenLoopback(t, "127.0.0.1")
	edge := startForwarder(t, localAddr(sink), 10)
	source := listenLoopback(t, "127.0.0.1")
	_, err := source.WriteToUDPAddrPort([]byte{0, 7, 'x'}, edge)
	must.NoError(t, err)
	buffer := make([]byte, 2048)
	n, _, err := sink.ReadFromUDPAddrPort(buffer)
	must.NoError(t, err)
	must.EqOp(t, wire.Forward, wire.KindOf(buffer[:n]))
	_, payload, err := wire.OpenEnvelope(buffer[:n])
	must.NoError(t, err)
	must.Eq(t, []byte{0, 7, 'x'}, payload)
}

// benchmarkRelay measures packets of 300 bytes through a relay, with up to 64 in
// flight.
func benchmarkRelay(b *testing.B, start func(sink netip.AddrPort) netip.AddrPort) {
	const inFlight, size, flows = 64, 300, 10000
	sink, source := listenLoopback(b, "127.0.0.1"), listenLoopback(b, "127.0.0.1")
	through := start(localAddr(sink))
	packet, buffer := make([]byte, size), make([]byte, 2048)
	send := func(i int) {
		packet[0], packet[1] = byte(i%flows>>8), byte(i%flows)
		_, err := source.WriteToUDPAddrPort(packet, through)
		must.NoError(b, err)
	}
	for i := range inFlight {
		send(i)
	}
	i := inFlight
	for b.Loop() {
		_ = sink.SetReadDeadline(time.Now().Add(time.Second))
		_, _, err := sink.ReadFromUDPAddrPort(buffer)
		must.NoError(b, err)
		send(i)
		i++
	}
}

func BenchmarkForwarder(b *testing.B) {
	benchmarkRelay(b, func(sink netip.AddrPort) netip.AddrPort { return startForwarder(b, sink, 10000) })
}

func BenchmarkBareRelay(b *testing.B) {
	benchmarkRelay(b, func(sink netip.AddrPort) netip.AddrPort { return startRelay(b, sink) })
}

// A packet whose handling panics is given up; the balancer goes on.
func TestPanicOnAPacketEndsNothing(t *testing.T) {
	sink := listenLoopback(t, "127.0.0.1")
	edge := startForwarder(t, localAddr(sink), 10)
	source := listenLoopback(t, "127.0.0.1")
	for _, content := range []string{poison, poison, "x"} {
		_, err := source.WriteToUDPAddrPort(append([]byte{0, 7}, content...), edge)
		must.NoError(t, err)
	}
	buffer := make([]byte, 2048)
	n, _, err := sink.ReadFromUDPAddrPort(buffer)
	must.NoError(t, err)
	must.EqOp(t, 'x', rune(buffer[n-1]))
}
