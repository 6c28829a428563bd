package packetnode

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cactustray/metrics"

	"github.com/shoenig/test/must"
)

// serve starts an HTTP server for a test and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newRegistry returns a registry with gauges of the given values.
func newRegistry(values map[string]int64) *metrics.Registry {
	r := metrics.New()
	for name, value := range values {
		r.GaugeFunc(name, func() int64 { return value })
	}
	return r
}

// Nodes that answer without metrics or not at all are in the result with a failure.
func TestQueryReportsStatusAndFailures(t *testing.T) {
	balancer := serve(t, newRegistry(map[string]int64{
		"directory.age_ms": 120, "directory.version": 7, "endpoints.ready": 5, "endpoints.slow": 1, "endpoints.gone": 2,
		"flows": 40, "resets": 3, "packets.no-endpoint": 2, "packets.unknown-address": 4,
	}))
	agent := serve(t, newRegistry(map[string]int64{"flows": 9, "requests": 2, "resets": 1}))
	other := serve(t, http.NotFoundHandler())
	garbage := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("no metrics")) }))
	nodes := QueryNodes(t.Context(), http.DefaultClient, []string{balancer, agent, other, garbage, "127.0.0.1:1"})
	must.Eq(t, Node{
		Address: balancer, Role: Balancer, Version: 7, Age: 120 * time.Millisecond, Ready: 5, Slow: 1, Gone: 2,
		Flows: 40, Resets: 3, Unplaced: 6,
	}, nodes[0])
	must.Eq(t, Node{Address: agent, Role: Agent, Flows: 9, Requests: 2, Resets: 1}, nodes[1])
	must.EqOp(t, (&StatusError{Code: http.StatusNotFound}).Error(), nodes[2].Failure)
	for _, failed := range nodes[3:] {
		must.NotEqOp(t, "", failed.Failure)
		must.EqOp(t, "", failed.Role)
	}
}
