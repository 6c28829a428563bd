package identity

import (
	"context"
	"net/http"
	"slices"
)

type peerKey struct{}

// PeerFrom returns who made the call; ok is false outside of Require.
func PeerFrom(ctx context.Context) (Peer, bool) {
	peer, ok := ctx.Value(peerKey{}).(Peer)
	return peer, ok
}

// Require lets only holders of the given roles through to next.
func Require(next http.Handler, roles ...Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer, err := peerOf(r.TLS.PeerCertificates[0])
		if err != nil || !slices.Contains(roles, peer.Role) {
			http.Error(w, "role not allowed", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), peerKey{}, peer)))
	})
}
