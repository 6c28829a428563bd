package e2e

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"cactustray/standin/layout"
	"cactustray/standin/testcluster"

	"github.com/shoenig/test/must"
)

// When one backend server becomes slow, a caller whose flow is there gets its answer from
// another one. Guards the path of a second copy through real processes: HTTP/3 requests have
// no known length, and peers are called over mutual TLS.
func TestSlowEndpointsRequestsAreAnsweredElsewhere(t *testing.T) {
	t.Parallel()
	const slowness = 5 * time.Second
	cluster := testcluster.New(t, layout.Size{Balancers: 2, Services: []string{"drawings"}, Backends: 2})
	for _, b := range cluster.Backends {
		b.Settings.Agent.HedgePercent = 20
		raw, err := json.Marshal(b.Settings)
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(b.File, raw, 0o600))
	}
	for _, name := range cluster.Names() {
		cluster.Run(name)
	}
	cluster.AwaitTicket("drawings", 1)
	ctx := testContext(t)
	from := cluster.Caller() // one connection: all its requests reach one agent
	url := cluster.URL("drawings", "/drawing?work=10")
	get := func() answer {
		got, err := sendRequest(ctx, from, http.MethodGet, url, "", "")
		must.NoError(t, err)
		must.EqOp(t, http.StatusOK, got.status, must.Sprint(got.body))
		return got
	}
	first := strings.TrimSpace(get().body)
	// Requests of callers whose flows are at the other agent pay for the copies.
	paid := make(map[string]int)
	for caller := cluster.Caller(); min(paid["drawings-1"], paid["drawings-2"]) < 100; {
		for range 20 {
			got, err := sendRequest(ctx, caller, http.MethodGet, url, "", "")
			must.NoError(t, err)
			paid[strings.TrimSpace(got.body)]++
		}
		caller = cluster.Caller()
	}
	cluster.Servers[first].SetSlowness(slowness)
	// A copy may be held back, as when the other agent's budget is empty or its requests have
	// become slow too, on a loaded machine.
	cluster.Await(func() bool {
		began := time.Now()
		return strings.TrimSpace(get().body) != first && time.Since(began) < slowness
	})
}
