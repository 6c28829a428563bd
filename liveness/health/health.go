// Package health answers the fabric's question whether to send datagrams here.
package health

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"cactustray/control/rpc"
)

const (
	// Path is where the fabric asks whether to send datagrams.
	Path = "/healthz"
	// timeout bounds one health check.
	timeout = 2 * time.Second
)

// Serve answers health checks until the context ends: 200 while healthy. It
// fails with *rpc.ListenError, or with the server's error.
func Serve(ctx context.Context, address netip.AddrPort, healthy *atomic.Bool) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &rpc.ListenError{Address: address, Cause: err}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		if !healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadTimeout: timeout, WriteTimeout: timeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
