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

// rig is one balancer before agents, and a caller's QUIC transport that talks
// to it as through the fabric.
type rig struct {
	t         *testing.T
	sealer    *steering.Sealer
	forwarder *Forwarder
	offered   <-chan control.Message
	fabric    *net.UDPConn
	sockets   []*net.UDPConn
	ticket    *ticket.Ticket
	certs     *x509.CertPool
	tls       *tls.Config
}

// edgeConn is a caller's packet connection with the fabric's header on each
// datagram. It holds its socket apart, so that QUIC does not go around it.
type edgeConn struct {
	net.PacketConn
	socket   *net.UDPConn
	balancer netip.AddrPort
}

func (c edgeConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	header, err := FormatEdge(Edge{Source: addressOf(c.socket), Destination: serviceAddress})
	if err != nil {
		return 0, err
	}
	_, err = c.socket.WriteToUDPAddrPort(append(header, p...), c.balancer)
	return len(p), err
}

func (c edgeConn) ReadFrom(p []byte) (int, net.Addr, error) {
	buffer := make([]byte, MaxDatagram)
	n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return 0, nil, err
	}
	_, payload, _ := ParseEdge(buffer[:n])
	return copy(p, payload), net.UDPAddrFromAddrPort(serviceAddress), nil
}

func newRig(t *testing.T, agents int) *rig {
	r := &rig{t: t, sealer: newSealer(t, 1), fabric: bind(t)}
	var addresses []netip.AddrPort
	for range agents {
		r.sockets = append(r.sockets, bind(t))
		addresses = append(addresses, addressOf(r.sockets[len(r.sockets)-1]))
	}
	r.ticket = ordersTicket(1, addresses...)
	r.forwarder, r.offered = newForwarder(t, r.sealer, addressOf(r.fabric), tableOf(r.ticket))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.forwarder.Run(ctx, 1)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	r.makeCertificate()
	return r
}

func (r *rig) makeCertificate() {
	public, private, err := ed25519.GenerateKey(nil)
	must.NoError(r.t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"orders"}, NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(nil, template, template, public, private)
	must.NoError(r.t, err)
	cert, err := x509.ParseCertificate(raw)
	must.NoError(r.t, err)
	r.certs = x509.NewCertPool()
	r.certs.AddCert(cert)
	r.tls = &tls.Config{NextProtos: []string{protocol}, Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: private}}}
}

// agent serves endpoint i until the returned function kills it: nothing more
// leaves it, as when a process is killed. A killed agent's socket is free for
// the next incarnation.
func (r *rig) agent(i int, incarnation steering.Incarnation) (conn *Conn, kill func()) {
	// The duplicate lets the next incarnation read the same socket.
	file, err := r.sockets[i].File()
	must.NoError(r.t, err)
	duplicate, err := net.FilePacketConn(file)
	must.NoError(r.t, err)
	_ = file.Close()
	socket := duplicate.(*net.UDPConn)
	conn, _ = newAgent(r.t, r.sealer, socket, ownerOf(i, incarnation), r.ticket)
	conn.residence.Routes.Store(&Routes{Balancers: []netip.AddrPort{addressOf(r.forwarder.Agents)}})
	transport := &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: &TokenIDs{Sealer: r.sealer, Owner: ownerOf(i, incarnation)},
		StatelessResetKey:     &quic.StatelessResetKey{1},
		ConnContext:           LimitConnections(&conn.residence.Connections),
	}
	listener, err := transport.Listen(r.tls, &quic.Config{DisablePathMTUDiscovery: true, MaxIdleTimeout: time.Hour})
	must.NoError(r.t, err)
	kill = func() {
		conn.residence.Routes.Store(nil)
		_ = socket.Close()
		_ = listener.Close()
		_ = transport.Close()
	}
	r.t.Cleanup(kill)
	return conn, kill
}

func (r *rig) dial() (*quic.Conn, error) {
	socket := bind(r.t)
	transport := &quic.Transport{Conn: edgeConn{PacketConn: socket, socket: socket, balancer: addressOf(r.forwarder.Edge)}}
	r.t.Cleanup(func() { _ = transport.Close() })
	go r.deliver()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	r.t.Cleanup(cancel)
	config := &tls.Config{NextProtos: []string{protocol}, RootCAs: r.certs, ServerName: "orders"}
	return transport.Dial(ctx, net.UDPAddrFromAddrPort(serviceAddress), config, &quic.Config{
		DisablePathMTUDiscovery: true,
		MaxIdleTimeout:          time.Hour,
		KeepAlivePeriod:         keepAlive,
	})
}

// deliver hands replies to the callers, as the fabric does.
func (r *rig) deliver() {
	buffer := make([]byte, MaxDatagram)
	for {
		n, _, err := r.fabric.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		edge, _, _ := ParseEdge(buffer[:n])
		_, _ = r.fabric.WriteToUDPAddrPort(buffer[:n], edge.Destination)
	}
}

// mustReset waits for the end of a connection that sends nothing of its own:
// its keep-alive is the smallest datagram there is.
func mustReset(t *testing.T, c *quic.Conn) {
	<-c.Context().Done()
	var reset *quic.StatelessResetError
	must.True(t, errors.As(context.Cause(c.Context()), &reset))
}

// A flow of a process that was killed ends at once when the next incarnation
// has taken its place. The idle timeout is an hour.
func TestStaleIncarnationIsReset(t *testing.T) {
	r := newRig(t, 1)
	_, kill := r.agent(0, 1)
	c, err := r.dial()
	must.NoError(t, err)
	kill()
	next, _ := r.agent(0, 2)
	mustReset(t, c)
	must.Positive(t, next.residence.Counters.Of(steering.StaleIncarnation))
}

// A flow of an endpoint that is known to have ended is reset by the service's
// home; the flow of the other endpoint goes on.
func TestOwnerGoneIsReset(t *testing.T) {
	r := newRig(t, 2)
	first, killFirst := r.agent(0, 1)
	second, _ := r.agent(1, 1)
	flows := make(map[*Conn]*quic.Conn)
	for len(flows) < 2 {
		before := first.residence.Connections.Open()
		c, err := r.dial()
		must.NoError(t, err)
		owner := second
		if first.residence.Connections.Open() > before {
			owner = first
		}
		flows[owner] = c
	}
	killFirst()
	gone := ended{through: map[ticket.EndpointKey]steering.Incarnation{ownerOf(0, 1).Endpoint: 1}}
	left := *r.ticket
	left.Number, left.Endpoints = 2, r.ticket.Endpoints[1:]
	r.forwarder.Table.Store(tableSeen(gone, r.ticket, &left))
	mustReset(t, flows[first])
	must.Positive(t, second.residence.Counters.Of(steering.OwnerGone))
	stream, err := flows[second].OpenUniStream()
	must.NoError(t, err)
	must.NoError(t, stream.Close())
	must.NoError(t, flows[second].Context().Err())
}

// A home with a queue hands a new flow on to its alternate; all datagrams that
// open the flow go there, and the handshake completes.
func TestNewFlowIsHandedOn(t *testing.T) {
	r := newRig(t, 2)
	conns := make([]*Conn, 2)
	for i := range conns {
		conns[i], _ = r.agent(i, 1)
		busy := placement.NewState(ownerOf(i, 1).Endpoint)
		busy.SetPeers(placement.PeersOf(r.ticket))
		if i == 0 {
			busy.SetOwn(placement.Load{Slots: 2, Queued: 9})
			busy.Hear(time.Now(), placement.Heard{Load: placement.Load{Endpoint: ownerOf(1, 1).Endpoint, Slots: 2, Sequence: 1}})
		}
		conns[i].residence.View.Store(busy.View(time.Now()))
	}
	for conns[0].residence.Counters.Of(steering.HandedOn) == 0 {
		_, err := r.dial()
		must.NoError(t, err)
	}
	must.EqOp(t, 0, conns[0].residence.Counters.Of(steering.Forwarded))
}

// A connection beyond the limit is refused at once; when one has ended, the
// next may open.
func TestConnectionLimit(t *testing.T) {
	r := newRig(t, 1)
	conn, _ := r.agent(0, 1)
	conn.residence.Connections.SetLimit(1)
	first, err := r.dial()
	must.NoError(t, err)
	_, err = r.dial()
	var refused *quic.TransportError
	must.True(t, errors.As(err, &refused))
	must.EqOp(t, quic.ConnectionRefused, refused.ErrorCode)
	must.EqOp(t, 1, conn.residence.Connections.Open())
	must.NoError(t, first.CloseWithError(0, ""))
	for err != nil {
		_, err = r.dial()
	}
	must.EqOp(t, 1, conn.residence.Connections.Open())
}

// An agent tells the balancer that routes by an older ticket, and places the
// flow all the same.
func TestBalancerIsToldThatItIsBehind(t *testing.T) {
	r := newRig(t, 1)
	conn, _ := r.agent(0, 1)
	newer := *r.ticket
	newer.Number = 2
	conn.residence.Steering.Store(conn.residence.Steering.Load().Next(&newer))
	_, err := r.dial()
	must.NoError(t, err)
	must.Eq(t, any(steering.Behind{Service: r.ticket.Key(), Ticket: 2}), <-r.offered)
}
