package agent

import (
	"encoding/hex"
	"net/http"
	"time"

	"cactustray/control"
	"cactustray/control/rpc"
	"cactustray/event"
	"cactustray/identity"
	"cactustray/settings"
	"cactustray/steering"
	"cactustray/steering/datagram"
	"cactustray/ticket"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	// idleTimeout closes connections whose caller has stopped sending.
	idleTimeout = 30 * time.Second
	// keepAlive is the interval of keep-alive packets, which keep idle feeds open.
	keepAlive = 10 * time.Second
	// maxStreams bounds the requests in progress on one connection.
	maxStreams = 1000
)

// callerServer terminates callers' QUIC connections and serves HTTP/3 on them.
type callerServer struct {
	identity  *identity.Identity
	conn      *datagram.Conn
	transport *quic.Transport
	listener  *quic.EarlyListener
	handler   http.Handler
}

func newCallerServer(s *settings.Settings, sealer *steering.Sealer, owner steering.Owner, loop *control.Loop, p *published, log *event.Log, handler http.Handler) (*callerServer, error) {
	id, err := identity.Load(identity.Files(s.Agent.CallerTLS))
	if err != nil {
		return nil, err
	}
	socket, err := datagram.Listen(s.Datagram)
	if err != nil {
		return nil, err
	}
	p.shared.Steering.Store(&steering.AgentSnapshot{Owner: owner, Service: ticket.ServiceKeyOf(s.Agent.Service)})
	p.shared.Failures = datagram.Failures{
		SocketFailed: func(socket string, err error) {
			log.Emit(EventSocketFailed, event.Fields{"socket": socket, "cause": err.Error()})
		},
		Contain: log.Contain,
	}
	conn := datagram.NewConn(socket, sealer, &p.shared, loop.Offer)
	transport := &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: &datagram.TokenGenerator{Sealer: sealer, Owner: owner},
		StatelessResetKey:     resetKey(s),
		ConnContext:           traceFlows(p.tracer, datagram.LimitConnections(&p.shared.Connections)),
	}
	listener, err := transport.ListenEarly(id.CallerTLS(http3.NextProtoH3), quicConfig())
	if err != nil {
		return nil, &rpc.ListenError{Address: s.Datagram, Cause: err}
	}
	return &callerServer{identity: id, conn: conn, transport: transport, listener: listener, handler: p.tracer.Requests(handler)}, nil
}

// quicConfig returns the QUIC settings. 0-RTT is off, since an attacker could have
// a request run twice by replaying it.
func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlive,
		MaxIncomingStreams:      maxStreams,
		DisablePathMTUDiscovery: true,
		Allow0RTT:               false,
	}
}

// resetKey returns the key of stateless resets, or nil if the setting is invalid.
// It is the same on every agent, so that any of them can reset a flow whose owner
// has lost its state.
func resetKey(s *settings.Settings) *quic.StatelessResetKey {
	raw, err := hex.DecodeString(s.ResetKey)
	if err != nil {
		return nil // cannot happen: the settings are validated
	}
	key := new(quic.StatelessResetKey)
	copy(key[:], raw)
	return key
}
