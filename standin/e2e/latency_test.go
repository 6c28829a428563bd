package e2e

import (
	"context"
	"io"
	"net/http"
	"testing"

	"cactustray/admission/frontend"
	"cactustray/control/rpc"
	"cactustray/identity"
	"cactustray/standin/layout"
	"cactustray/standin/testcluster"

	"github.com/shoenig/test/must"
)

// BenchmarkRequest compares the time of a request over the whole path (HTTP/3, fabric,
// balancer, agent) with that of a direct call to the agent (HTTP/2), both on an open
// connection and in the same run.
func BenchmarkRequest(b *testing.B) {
	const path = "/drawing?work=0"
	cluster := testcluster.Start(b, layout.Size{Balancers: 3, Services: []string{"drawings"}, Backends: 2})
	id, err := identity.Load(identity.Files(cluster.Backends[1].Settings.TLS))
	must.NoError(b, err)
	agent := rpc.BaseURL(cluster.Backends[0].Settings.Control.String()) + frontend.PeerPrefix + path
	b.Run("whole path", func(b *testing.B) { repeat(b, cluster.Caller().Do, cluster.URL("drawings", path)) })
	b.Run("direct to the agent", func(b *testing.B) { repeat(b, rpc.NewClient(id).Do, agent) })
}

// repeat sends the request once to open the connection, then measures it.
func repeat(b *testing.B, do func(*http.Request) (*http.Response, error), url string) {
	send := func() {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
		must.NoError(b, err)
		response, err := do(request)
		must.NoError(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		must.EqOp(b, http.StatusOK, response.StatusCode)
	}
	send()
	for b.Loop() {
		send()
	}
}
