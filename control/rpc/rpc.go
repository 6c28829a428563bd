// Package rpc provides clients and servers for calls between the system's processes:
// HTTP/2 over mutual TLS, addressed by IP address.
package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"cactustray/control/meter"
	"cactustray/identity"
)

const (
	// CallTimeout bounds one call between processes.
	CallTimeout = 2 * time.Second
	// shutdownTimeout bounds how long a planned stop waits for calls in progress.
	shutdownTimeout = 5 * time.Second
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 5 * time.Second
	// plainTimeout bounds the time to write a response of ServePlain; all of its
	// responses are short.
	plainTimeout = 10 * time.Second
	// idlePing is how long nothing may arrive on a connection before it is
	// pinged.
	idlePing = 5 * time.Second
	// pingTimeout is how long to wait for the answer to a ping before the
	// connection is closed.
	pingTimeout = 2 * time.Second
)

// ListenError reports an address that could not be bound.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *ListenError) Error() string {
	return "listen on " + e.Address.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// NewClient returns a client for calls to the system's processes. It detects
// unresponsive peers by pings on idle connections.
func NewClient(id *identity.Identity) *http.Client {
	return NewMeteredClient(id, new(meter.Meter))
}

// NewMeteredClient returns a client as NewClient does, and counts its traffic with m.
func NewMeteredClient(id *identity.Identity, m *meter.Meter) *http.Client {
	transport := &http.Transport{
		DialContext:       m.Dialer(),
		TLSClientConfig:   id.ClientTLS(),
		ForceAttemptHTTP2: true,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: idlePing, PingTimeout: pingTimeout},
	}
	return &http.Client{Transport: transport}
}

// BaseURL returns the base URL of the process at an address.
func BaseURL(address string) string { return "https://" + address }

// ServePlain serves HTTP without TLS on an address until the context ends: health
// checks, metrics, and calls on a trusted network. The error is a *ListenError or the
// server's error.
func ServePlain(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &ListenError{Address: address, Cause: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, WriteTimeout: plainTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Serve serves calls over mutual TLS on an address until the context ends, and counts
// their traffic with m. The error is a *ListenError or the server's error.
func Serve(ctx context.Context, address netip.AddrPort, id *identity.Identity, m *meter.Meter, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &ListenError{Address: address, Cause: err}
	}
	server := &http.Server{Handler: handler, TLSConfig: id.ServerTLS(), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		limited, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(limited)
	})
	defer stop()
	server.TLSConfig.NextProtos = []string{"h2"}
	err = server.Serve(tls.NewListener(m.Listener(listener), server.TLSConfig))
	if ctx.Err() != nil {
		return nil
	}
	return err
}
