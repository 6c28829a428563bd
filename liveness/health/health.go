// Package health serves the health check by which the fabric decides whether to
// send datagrams to this process.
package health

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"

	"cactustray/control/rpc"
)

// Path is the URL path of the health check.
const Path = "/healthz"

// Serve answers health checks until the context ends: with status 200 while healthy
// is true, and 503 otherwise. It returns the errors of rpc.ServePlain.
func Serve(ctx context.Context, address netip.AddrPort, healthy *atomic.Bool) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		if !healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return rpc.ServePlain(ctx, address, mux)
}
