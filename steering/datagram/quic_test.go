package datagram

import (
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"cactustray/control"
	"cactustray/placement"
	"cactustray/steering"
	"cactustray/ticket"

	"github.com/quic-go/quic-go"
	"github.com/shoenig/test/must"
)

const (
	protocol  = "test"
	keepAlive = 50 * time.Millisecond
)

// testCluster is one balancer with its agents, and callers that reach it
// through a simulated fabric.
type testCluster struct {
	t         *testing.T
	sealer    *steering.Sealer
	forwarder *Forwarder
	offered   <-chan control.Message
	fabric    *net.UDPConn
	sockets   []*net.UDPConn
	ticket    *ticket.Ticket
	rootCAs   *x509.CertPool
	tls       *tls.Config
}

// callerConn is a caller's packet connection; it adds and removes the PROXY
// header as the fabric does. The socket is a separate field, since the QUIC
// library would use its methods and bypass ReadFrom and WriteTo.
type callerConn struct {
	net.PacketConn
	socket   *net.UDPConn
	balancer netip.AddrPort
}

func (c callerConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	header, err := FormatProxyHeader(ProxyHeader{Source: addressOf(c.socket), Destination: serviceAddress})
	if err != nil {
		return 0, err
	}
	_, err = c.socket.WriteToUDPAddrPort(append(header, p...), c.balancer)
	return len(p), err
}

func (c callerConn) ReadFrom(p []byte) (int, net.Addr, error) {
	buffer := make([]byte, MaxDatagram)
	n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return 0, nil, err
	}
	_, payload, _ := ParseProxyHeader(buffer[:n])
	return copy(p, payload), net.UDPAddrFromAddrPort(serviceAddress), nil
}

func newTestCluster(t *testing.T, agents int) *testCluster {
	cluster := &testCluster{t: t, sealer: newSealer(t, 1), fabric: bind(t)}
	var addresses []netip.AddrPort
	for range agents {
		cluster.sockets = append(cluster.sockets, bind(t))
		addresses = append(addresses, addressOf(cluster.sockets[len(cluster.sockets)-1]))
	}
	cluster.ticket = ordersTicket(1, addresses...)
	cluster.forwarder, cluster.offered = newForwarder(t, cluster.sealer, addressOf(cluster.fabric), tableOf(cluster.ticket))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cluster.forwarder.Run(ctx, 1)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	cluster.makeCertificate()
	return cluster
}

func (cluster *testCluster) makeCertificate() {
	public, private, err := ed25519.GenerateKey(nil)
	must.NoError(cluster.t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"orders"}, NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(nil, template, template, public, private)
	must.NoError(cluster.t, err)
	cert, err := x509.ParseCertificate(raw)
	must.NoError(cluster.t, err)
	cluster.rootCAs = x509.NewCertPool()
	cluster.rootCAs.AddCert(cert)
	cluster.tls = &tls.Config{NextProtos: []string{protocol}, Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: private}}}
}

// startAgent serves endpoint i until the returned function kills it. Like a
// killed process, a killed agent sends nothing more. Its socket is free for the
// next incarnation.
func (cluster *testCluster) startAgent(i int, incarnation steering.Incarnation) (conn *Conn, kill func()) {
	// The duplicate lets the next incarnation read the same socket.
	file, err := cluster.sockets[i].File()
	must.NoError(cluster.t, err)
	duplicate, err := net.FilePacketConn(file)
	must.NoError(cluster.t, err)
	_ = file.Close()
	socket := duplicate.(*net.UDPConn)
	conn, _ = newAgent(cluster.t, cluster.sealer, socket, ownerOf(i, incarnation), cluster.ticket)
	conn.shared.Routes.Store(&Routes{Balancers: []netip.AddrPort{addressOf(cluster.forwarder.Agents)}})
	transport := &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: &TokenGenerator{Sealer: cluster.sealer, Owner: ownerOf(i, incarnation)},
		StatelessResetKey:     &quic.StatelessResetKey{1},
		ConnContext:           LimitConnections(&conn.shared.Connections),
	}
	listener, err := transport.Listen(cluster.tls, &quic.Config{DisablePathMTUDiscovery: true, MaxIdleTimeout: time.Hour})
	must.NoError(cluster.t, err)
	kill = func() {
		conn.shared.Routes.Store(nil)
		_ = socket.Close()
		_ = listener.Close()
		_ = transport.Close()
	}
	cluster.t.Cleanup(kill)
	return conn, kill
}

func (cluster *testCluster) dial() (*quic.Conn, error) {
	socket := bind(cluster.t)
	transport := &quic.Transport{Conn: callerConn{PacketConn: socket, socket: socket, balancer: addressOf(cluster.forwarder.Edge)}}
	cluster.t.Cleanup(func() { _ = transport.Close() })
	go cluster.relayReplies()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	cluster.t.Cleanup(cancel)
	config := &tls.Config{NextProtos: []string{protocol}, RootCAs: cluster.rootCAs, ServerName: "orders"}
	return transport.Dial(ctx, net.UDPAddrFromAddrPort(serviceAddress), config, &quic.Config{
		DisablePathMTUDiscovery: true,
		MaxIdleTimeout:          time.Hour,
		KeepAlivePeriod:         keepAlive,
	})
}

// relayReplies delivers replies to the callers, as the fabric does.
func (cluster *testCluster) relayReplies() {
	buffer := make([]byte, MaxDatagram)
	for {
		n, _, err := cluster.fabric.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		proxyHeader, _, _ := ParseProxyHeader(buffer[:n])
		_, _ = cluster.fabric.WriteToUDPAddrPort(buffer[:n], proxyHeader.Destination)
	}
}

// awaitReset waits until a connection ends and checks that a stateless reset
// ended it. The connection sends only keep-alives, the smallest datagrams there
// are.
func awaitReset(t *testing.T, c *quic.Conn) {
	<-c.Context().Done()
	var reset *quic.StatelessResetError
	must.True(t, errors.As(context.Cause(c.Context()), &reset))
}

// A flow of a killed process ends as soon as the next incarnation runs. The
// idle timeout of an hour can't end it.
func TestFlowOfStaleIncarnationIsReset(t *testing.T) {
	cluster := newTestCluster(t, 1)
	_, kill := cluster.startAgent(0, 1)
	c, err := cluster.dial()
	must.NoError(t, err)
	kill()
	next, _ := cluster.startAgent(0, 2)
	awaitReset(t, c)
	must.Positive(t, next.shared.Counters.Of(steering.StaleIncarnation))
}

// A flow whose owner is known to have stopped is reset by another endpoint of
// the service. The flow of that endpoint continues.
func TestFlowOfStoppedOwnerIsReset(t *testing.T) {
	cluster := newTestCluster(t, 2)
	first, killFirst := cluster.startAgent(0, 1)
	second, _ := cluster.startAgent(1, 1)
	flows := make(map[*Conn]*quic.Conn)
	for len(flows) < 2 {
		before := first.shared.Connections.Open()
		c, err := cluster.dial()
		must.NoError(t, err)
		owner := second
		if first.shared.Connections.Open() > before {
			owner = first
		}
		flows[owner] = c
	}
	killFirst()
	availability := stoppedAvailability{stopped: map[ticket.EndpointKey]steering.Incarnation{ownerOf(0, 1).Endpoint: 1}}
	next := *cluster.ticket
	next.Number, next.Endpoints = 2, cluster.ticket.Endpoints[1:]
	cluster.forwarder.Table.Store(tableWithAvailability(availability, cluster.ticket, &next))
	awaitReset(t, flows[first])
	must.Positive(t, second.shared.Counters.Of(steering.OwnerGone))
	stream, err := flows[second].OpenUniStream()
	must.NoError(t, err)
	must.NoError(t, stream.Close())
	must.NoError(t, flows[second].Context().Err())
}

// A home with a queue forwards a new flow to its alternate. All datagrams that
// open the flow go there, so the handshake completes.
func TestNewFlowIsForwardedToAlternate(t *testing.T) {
	cluster := newTestCluster(t, 2)
	conns := make([]*Conn, 2)
	for i := range conns {
		conns[i], _ = cluster.startAgent(i, 1)
		busy := placement.NewState(ownerOf(i, 1).Endpoint)
		busy.SetPeers(placement.PeersOf(cluster.ticket))
		if i == 0 {
			busy.SetOwn(placement.Load{Slots: 2, Queued: 9})
			busy.ReceiveLoad(time.Now(), placement.LoadReceived{Load: placement.Load{Endpoint: ownerOf(1, 1).Endpoint, Slots: 2, Sequence: 1}})
		}
		conns[i].shared.View.Store(busy.View(time.Now()))
	}
	for conns[0].shared.Counters.Of(steering.HandedOn) == 0 {
		_, err := cluster.dial()
		must.NoError(t, err)
	}
	must.EqOp(t, 0, conns[0].shared.Counters.Of(steering.Forwarded))
}

// A connection beyond the limit is refused at once. When an open one has ended,
// the next may open.
func TestConnectionLimit(t *testing.T) {
	cluster := newTestCluster(t, 1)
	conn, _ := cluster.startAgent(0, 1)
	conn.shared.Connections.SetLimit(1)
	first, err := cluster.dial()
	must.NoError(t, err)
	_, err = cluster.dial()
	var refused *quic.TransportError
	must.True(t, errors.As(err, &refused))
	must.EqOp(t, quic.ConnectionRefused, refused.ErrorCode)
	must.EqOp(t, 1, conn.shared.Connections.Open())
	must.NoError(t, first.CloseWithError(0, ""))
	for err != nil {
		_, err = cluster.dial()
	}
	must.EqOp(t, 1, conn.shared.Connections.Open())
}

// An agent notifies a balancer that routes by an older ticket, and accepts the
// flow nevertheless.
func TestAgentNotifiesBalancerOfNewerTicket(t *testing.T) {
	cluster := newTestCluster(t, 1)
	conn, _ := cluster.startAgent(0, 1)
	newer := *cluster.ticket
	newer.Number = 2
	conn.shared.Steering.Store(conn.shared.Steering.Load().WithTicket(&newer))
	_, err := cluster.dial()
	must.NoError(t, err)
	must.Eq(t, any(steering.NewerTicket{Service: cluster.ticket.Key(), Ticket: 2}), <-cluster.offered)
}
