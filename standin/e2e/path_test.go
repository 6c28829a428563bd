// Package e2e tests the system end to end with the real binaries as processes.
package e2e

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"cactustray/standin/backend"
	"cactustray/standin/layout"
	"cactustray/standin/testcluster"

	"github.com/shoenig/test/must"
)

// A confirmation and a feed work over the whole path: caller, fabric, balancer, agent
// and backend server.
func TestWholePath(t *testing.T) {
	cluster := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 2})
	ctx, cancel := context.WithTimeout(context.Background(), testcluster.WaitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, cluster.URL("orders", "/confirm"), strings.NewReader("panels"))
	must.NoError(t, err)
	request.Header.Set(backend.IdempotencyHeader, "truck-17")
	response, err := cluster.Caller().Do(request)
	must.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, response.StatusCode)
	must.EqOp(t, "confirmed truck-17\n", string(body))
	lines, err := cluster.Caller().Feed(ctx, cluster.URL("orders", "/feed?lines=5&interval=10"))
	must.NoError(t, err)
	must.EqOp(t, 5, lines)
}
