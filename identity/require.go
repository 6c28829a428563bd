package identity

import (
	"context"
	"net/http"
	"slices"
)

type peerKey struct{}

// PeerFrom returns the caller that Require stored in a request's context, and reports
// whether there is one.
func PeerFrom(ctx context.Context) (Peer, bool) {
	peer, ok := ctx.Value(peerKey{}).(Peer)
	return peer, ok
}

// Require passes requests to next if the caller's certificate has one of the given
// roles, and answers others with 403.
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
