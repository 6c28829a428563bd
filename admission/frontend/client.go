package frontend

import (
	"net/http"
)

// maxIdle is how many connections to the backend server wait for reuse.
const maxIdle = 64

// BackendClients send requests to the backend server.
type BackendClients struct {
	// pooled reuses connections. The standard transport sends a request again
	// when a reused connection was closed under it, so only safe requests use
	// it.
	pooled *http.Client
	// once dials for each request. The standard transport counts a request
	// with an Idempotency-Key as replayable, but never sends one again on a
	// connection that was not reused.
	unpooled *http.Client
}

// NewBackendClients returns clients that send a request exactly once unless it
// is safe, and follow no redirect.
func NewBackendClients() BackendClients {
	return BackendClients{
		pooled:   backendClient(&http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}),
		unpooled: backendClient(&http.Transport{DisableKeepAlives: true, DisableCompression: true}),
	}
}

func backendClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// of returns the client for a request.
func (c BackendClients) clientFor(r *http.Request) *http.Client {
	if isSafe(r.Method) && r.Header.Get(KeyHeader) == "" {
		return c.pooled
	}
	return c.unpooled
}
