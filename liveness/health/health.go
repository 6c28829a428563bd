// Package health answers the fabric's question whether to send datagrams here.
package health

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"

	"cactustray/control/rpc"
)

// Path is where the fabric asks whether to send datagrams.
const Path = "/healthz"

// Serve answers health checks until the context ends: 200 while healthy. It
// fails as rpc.ServePlain does.
func Serve(ctx context.Context, address netip.AddrPort, healthy *atomic.Bool) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		if !healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return rpc.ServePlain(ctx, address, mux)
}
