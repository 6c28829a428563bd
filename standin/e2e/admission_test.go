package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"cactustray/admission"
	"cactustray/admission/frontend"
	"cactustray/standin/caller"
	"cactustray/standin/layout"
	"cactustray/standin/testcluster"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

// answer is the response that a caller received.
type answer struct {
	status  int
	body    string
	outcome string
	header  http.Header
}

// sendRequest sends one request, with an idempotency key unless key is empty.
func sendRequest(ctx context.Context, from *caller.Caller, method, url, key, body string) (answer, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if key != "" {
		r.Header.Set(frontend.KeyHeader, key)
	}
	response, err := from.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{
		status:  response.StatusCode,
		body:    string(text),
		outcome: response.Header.Get(frontend.OutcomeHeader),
		header:  response.Header,
	}, err
}

// testContext returns a context that expires after testcluster.WaitTimeout.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testcluster.WaitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// recordCount returns how often the backend servers recorded a key, summed over all
// of them.
func recordCount(cluster *testcluster.Cluster, key string) int {
	sum := 0
	for _, server := range cluster.Servers {
		sum += server.Records()[key]
	}
	return sum
}

// Requests that all reach one agent also run on the slots of its peers: the agent
// transfers queued requests to them.
func TestQueuedRequestsAreTransferredToPeers(t *testing.T) {
	cluster := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"drawings"}, Backends: 3})
	ctx := testContext(t)
	from := cluster.Caller() // one connection: all its requests reach one agent
	var mu sync.Mutex
	served := make(map[string]int)
	var group sync.WaitGroup
	for range 4 * layout.Slots {
		group.Go(func() {
			got, err := sendRequest(ctx, from, http.MethodGet, cluster.URL("drawings", "/drawing?work=200"), "", "")
			must.NoError(t, err)
			must.EqOp(t, http.StatusOK, got.status)
			mu.Lock()
			defer mu.Unlock()
			served[strings.TrimSpace(got.body)]++
			must.EqOp(t, strings.TrimSpace(got.body), got.header.Get(frontend.EndpointHeader))
		})
	}
	group.Wait()
	must.Greater(t, 1, len(served), must.Sprint(served))
}

// Requests with the same key, sent concurrently or later and through any agent, get
// the outcome of the first one; a different request with that key is refused.
func TestKeyedRequestRunsOnce(t *testing.T) {
	cluster := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 3})
	ctx := testContext(t)
	for i := range 6 {
		key := fmt.Sprint("truck-", i)
		var group sync.WaitGroup
		for range 4 {
			from := cluster.Caller()
			group.Go(func() {
				got, err := sendRequest(ctx, from, http.MethodPost, cluster.URL("orders", "/confirm?work=50"), key, "panels")
				must.NoError(t, err)
				must.EqOp(t, http.StatusOK, got.status, must.Sprint(got.body))
				must.EqOp(t, "confirmed "+key+"\n", got.body)
			})
		}
		group.Wait()
		must.EqOp(t, 1, recordCount(cluster, key))
	}
	got, err := sendRequest(ctx, cluster.Caller(), http.MethodPost, cluster.URL("orders", "/confirm?work=50"), "truck-1", "windows")
	must.NoError(t, err)
	must.EqOp(t, http.StatusUnprocessableEntity, got.status)
	must.EqOp(t, 1, recordCount(cluster, "truck-1"))
}

// A key's owner that is killed and restarted has lost its record. It does not run the
// key a second time, but answers that the outcome is unknown.
func TestRestartedKeyOwnerDoesNotRunKeyAgain(t *testing.T) {
	cluster := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 3})
	ctx := testContext(t)
	url := cluster.URL("orders", "/confirm?work=1")
	got, err := sendRequest(ctx, cluster.Caller(), http.MethodPost, url, "truck-7", "panels")
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, got.status, must.Sprint(got.body))
	owner := got.header.Get(frontend.KeyOwnerHeader)
	cluster.Signal(owner, syscall.SIGKILL)
	cluster.AwaitExit(owner)
	cluster.Run(owner)
	cluster.AwaitTicket("orders", 1)
	cluster.Await(func() bool {
		attempt, cancel := context.WithTimeout(ctx, testcluster.WaitTimeout/10)
		defer cancel()
		got, err = sendRequest(attempt, cluster.Caller(), http.MethodPost, url, "truck-7", "panels")
		return err == nil && got.outcome == frontend.OutcomeUnknown
	})
	must.EqOp(t, 1, recordCount(cluster, "truck-7"))
}

// When the owner of a key has stopped as planned, the key's next owner replays its answer,
// and the agent that starts again does not run the key.
func TestAnswerOfStoppedKeyOwnerIsReplayed(t *testing.T) {
	t.Parallel()
	cluster := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 3})
	ctx := testContext(t)
	url := cluster.URL("orders", "/confirm?work=1")
	got, err := sendRequest(ctx, cluster.Caller(), http.MethodPost, url, "truck-8", "panels")
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, got.status, must.Sprint(got.body))
	owner := got.header.Get(frontend.KeyOwnerHeader)
	cluster.Signal(owner, syscall.SIGTERM)
	must.EqOp(t, 0, cluster.AwaitExit(owner))
	got, err = sendRequest(ctx, cluster.Caller(), http.MethodPost, url, "truck-8", "panels")
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, got.status, must.Sprint(got.body))
	must.EqOp(t, "true", got.header.Get(frontend.ReplayedHeader))
	must.NotEq(t, owner, got.header.Get(frontend.KeyOwnerHeader))
	got, err = sendRequest(ctx, cluster.Caller(), http.MethodPost, url, "truck-8", "windows")
	must.NoError(t, err)
	must.EqOp(t, http.StatusUnprocessableEntity, got.status)
	cluster.Run(owner)
	cluster.AwaitTicket("orders", 1)
	for range 10 {
		_, err = sendRequest(ctx, cluster.Caller(), http.MethodPost, url, "truck-8", "panels")
		must.NoError(t, err)
	}
	must.EqOp(t, 1, recordCount(cluster, "truck-8"))
}

// When a ticket changes a key's owner, the new owner queries the former one and does
// not run the key again.
func TestKeyMovedByTicketRunsOnce(t *testing.T) {
	cluster := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 3})
	ctx := testContext(t)
	url := cluster.URL("orders", "/confirm?work=1")
	got, err := sendRequest(ctx, cluster.Caller(), http.MethodPost, url, "truck-9", "panels")
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, got.status, must.Sprint(got.body))
	owner := got.header.Get(frontend.KeyOwnerHeader)
	next := *cluster.Tickets["orders"]
	next.Number = 2
	next.Endpoints = append([]ticket.Endpoint(nil), next.Endpoints...)
	for i := range next.Endpoints {
		next.Endpoints[i].Draining = next.Endpoints[i].Name == owner
	}
	moved, ok := admission.KeyOwner("truck-9", frontend.MembersOf(&next).Owners)
	must.True(t, ok)
	must.NotEq(t, ticket.EndpointKeyOf("orders", owner), moved)
	cluster.Publish(&next)
	cluster.AwaitTicket("orders", 2)
	got, err = sendRequest(ctx, cluster.Caller(), http.MethodPost, url, "truck-9", "panels")
	must.NoError(t, err)
	must.EqOp(t, frontend.OutcomeUnknown, got.outcome, must.Sprint(got.body))
	must.EqOp(t, 1, recordCount(cluster, "truck-9"))
}
