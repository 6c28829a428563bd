package agent

import (
	"context"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"time"

	"cactustray/control"
	"cactustray/control/rpc"
	"cactustray/identity"
	"cactustray/settings"
	"cactustray/steering"
	"cactustray/steering/datagram"
	"cactustray/ticket"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	// socketBuffer is the receive buffer of the socket, in bytes.
	socketBuffer = 4 << 20
	// idleTimeout ends connections whose caller has gone silent.
	idleTimeout = 30 * time.Second
	// keepAlive keeps feeds open that say nothing for long.
	keepAlive = 10 * time.Second
	// noticeTime is how long balancers have to stop sending new flows before
	// the agent closes its connections gracefully.
	noticeTime = 2 * time.Second
	// stopTimeout bounds a planned stop.
	stopTimeout = 30 * time.Second
	// maxStreams bounds the requests in progress on one connection.
	maxStreams = 1000
)

// callerServer ends callers' QUIC connections and serves HTTP/3 on them.
type callerServer struct {
	conn      *datagram.Conn
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
}

func newCallerServer(s *settings.Settings, sealer *steering.Sealer, owner steering.Owner, loop *control.Loop, p *published, handler http.Handler) (*callerServer, error) {
	id, err := identity.Load(identity.Files(s.Agent.CallerTLS))
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Datagram))
	if err != nil {
		return nil, &rpc.ListenError{Address: s.Datagram, Cause: err}
	}
	_ = socket.SetReadBuffer(socketBuffer)
	p.residence.Steering.Store(&steering.Residence{Owner: owner, Service: ticket.ServiceKeyOf(s.Agent.Service)})
	conn := datagram.NewConn(socket, sealer, &p.residence, loop.Offer)
	transport := &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: &datagram.TokenIDs{Sealer: sealer, Owner: owner},
		StatelessResetKey:     resetKey(s),
		ConnContext:           limitConnections(&p.residence.Connections),
	}
	listener, err := transport.ListenEarly(id.CallerTLS(http3.NextProtoH3), quicConfig())
	if err != nil {
		return nil, &rpc.ListenError{Address: s.Datagram, Cause: err}
	}
	return &callerServer{conn: conn, transport: transport, listener: listener, server: &http3.Server{Handler: handler}}, nil
}

// quicConfig never accepts 0-RTT: an attacker could run a request twice by
// repeating it.
func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlive,
		MaxIncomingStreams:      maxStreams,
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false,
	}
}

// resetKey is the same on every agent, so that any of them can end a flow that
// its owner has lost track of.
func resetKey(s *settings.Settings) *quic.StatelessResetKey {
	raw, err := hex.DecodeString(s.ResetKey)
	if err != nil {
		return nil // the settings' check lets no other text pass
	}
	key := new(quic.StatelessResetKey)
	copy(key[:], raw)
	return key
}

func (c *callerServer) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.close() })
	defer stop()
	err := c.server.ServeListener(c.listener)
	if ctx.Err() != nil {
		return nil
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, quic.ErrServerClosed) {
		return nil
	}
	return err
}

// drain waits until new flows go elsewhere, then asks callers to go elsewhere
// and lets requests in progress finish.
func (c *callerServer) drain(ctx context.Context) {
	notice := time.NewTimer(noticeTime)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
		return
	}
	limited, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	_ = c.server.Shutdown(limited)
}

func (c *callerServer) close() error {
	_ = c.server.Close()
	_ = c.listener.Close()
	return c.transport.Close()
}
