package frontend

import (
	"net/http"
)

// NewBackendClient returns the client for requests to the backend server. It opens a
// connection for each request: on a kept one, a late second copy of an answer would be taken
// for the answer to the next request, and net/http's transport would send a request again if
// the connection turned out to be closed. It follows no redirects.
func NewBackendClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
