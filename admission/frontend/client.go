package frontend

import (
	"net/http"
)

// maxIdle bounds the idle connections to the backend server.
const maxIdle = 64

// BackendClients holds the HTTP clients for the backend server.
type BackendClients struct {
	// pooled reuses connections. net/http's transport sends a request again if
	// a reused connection turns out to be closed, so only safe requests use it.
	pooled *http.Client
	// unpooled opens a connection for each request. net/http's transport treats
	// a request with an Idempotency-Key as replayable, but never sends it again
	// after a failure on a connection that was not reused.
	unpooled *http.Client
}

// NewBackendClients returns clients that send a request at most once unless it
// is safe, and that follow no redirects.
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

// clientFor returns the client to use for a request.
func (c BackendClients) clientFor(r *http.Request) *http.Client {
	if isSafe(r.Method) && r.Header.Get(KeyHeader) == "" {
		return c.pooled
	}
	return c.unpooled
}
