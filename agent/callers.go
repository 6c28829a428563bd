package agent

import (
	"encoding/hex"
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
	// idleTimeout ends connections whose caller has gone silent.
	idleTimeout = 30 * time.Second
	// keepAlive keeps feeds open that say nothing for long.
	keepAlive = 10 * time.Second
	// maxStreams bounds the requests in progress on one connection.
	maxStreams = 1000
)

// callerServer ends callers' QUIC connections and serves HTTP/3 on them.
type callerServer struct {
	identity  *identity.Identity
	conn      *datagram.Conn
	transport *quic.Transport
	listener  *quic.EarlyListener
	handler   http.Handler
}

func newCallerServer(s *settings.Settings, sealer *steering.Sealer, owner steering.Owner, loop *control.Loop, p *published, handler http.Handler) (*callerServer, error) {
	id, err := identity.Load(identity.Files(s.Agent.CallerTLS))
	if err != nil {
		return nil, err
	}
	socket, err := datagram.Listen(s.Datagram)
	if err != nil {
		return nil, err
	}
	p.residence.Steering.Store(&steering.Residence{Owner: owner, Service: ticket.ServiceKeyOf(s.Agent.Service)})
	conn := datagram.NewConn(socket, sealer, &p.residence, loop.Offer)
	transport := &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: &datagram.TokenIDs{Sealer: sealer, Owner: owner},
		StatelessResetKey:     resetKey(s),
		ConnContext:           traceFlows(p.tracer, datagram.LimitConnections(&p.residence.Connections)),
	}
	listener, err := transport.ListenEarly(id.CallerTLS(http3.NextProtoH3), quicConfig())
	if err != nil {
		return nil, &rpc.ListenError{Address: s.Datagram, Cause: err}
	}
	return &callerServer{identity: id, conn: conn, transport: transport, listener: listener, handler: p.tracer.Requests(handler)}, nil
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
