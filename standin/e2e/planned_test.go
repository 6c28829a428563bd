package e2e

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"syscall"
	"testing"

	"cactustray/admission/frontend"
	"cactustray/standin/caller"
	"cactustray/standin/layout"
	"cactustray/standin/testcluster"
	"cactustray/ticket"
	"cactustray/ticket/platform"

	"github.com/shoenig/test/must"
)

// stateOf returns the state that a node reports, or "" if it doesn't answer.
func stateOf(cluster *testcluster.Cluster, control netip.AddrPort) string {
	response, err := cluster.Status(control)
	if err != nil {
		return ""
	}
	return response.State
}

// No planned change of balancers or backend servers breaks a feed, and the outcome of
// every confirmation during it agrees with the backend servers' records.
func TestPlannedChangesBreakNoFeed(t *testing.T) {
	t.Parallel()
	cluster := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 4})
	open := openFeeds(t, cluster, "orders", 24)
	sent := startConfirmations(t, cluster, "orders", "planned")
	t.Run("every balancer is replaced", func(t *testing.T) {
		for _, b := range cluster.Balancers {
			cluster.Signal(b.Node, syscall.SIGTERM)
			must.EqOp(t, 0, cluster.AwaitExit(b.Node))
			cluster.Run(b.Node)
			cluster.AwaitTicket("orders", 1)
			open.mustProgress(t, cluster)
		}
	})
	counts := sent.finish(t, cluster)
	must.EqOp(t, 0, counts[unknown])
	t.Logf("confirmations: %d confirmed, %d not run", counts[confirmed], counts[notRun])
	sent = startConfirmations(t, cluster, "orders", "drained")
	t.Run("a ticket drains a backend server and the next one ends the drain", func(t *testing.T) {
		drained := cluster.Backends[0]
		pinned := callerOn(t, cluster, drained.Name)
		next := draining(cluster.Tickets["orders"], 2, drained.Name)
		cluster.Publish(next)
		cluster.Await(func() bool { return pinned.fetchDrawing(t, cluster) != drained.Name })
		sent.awaitMore(cluster, 100)
		back := draining(cluster.Tickets["orders"], 3, "")
		cluster.Publish(back)
		cluster.Await(func() bool { return stateOf(cluster, drained.Settings.Control) == "ready" })
		cluster.Await(func() bool {
			f := openFeed(t, cluster, "orders")
			defer feeds{f}.stop()
			return f.endpoint == drained.Name
		})
		open.mustProgress(t, cluster)
	})
	t.Run("the list of VMs names a backend server as leaving for a while", func(t *testing.T) {
		named := cluster.Backends[2]
		vm := platform.VM{Name: named.Name, Role: "agent", Zone: named.Settings.Zone, Leaving: true}
		cluster.PublishVMs(append(cluster.VMs(), vm))
		cluster.Await(func() bool { return stateOf(cluster, named.Settings.Control) == "leaving" })
		open.mustProgress(t, cluster)
		cluster.PublishVMs(cluster.VMs())
		cluster.Await(func() bool { return stateOf(cluster, named.Settings.Control) == "ready" })
		open.mustProgress(t, cluster)
	})
	sent.finish(t, cluster)
	t.Run("a backend server's agent stops", func(t *testing.T) {
		stopped := cluster.Backends[1]
		on, other := open.split(stopped.Name)
		cluster.Signal(stopped.Name, syscall.SIGTERM)
		cluster.Await(func() bool { return stateOf(cluster, stopped.Settings.Control) == "leaving" })
		on.mustProgress(t, cluster)
		on.stop()
		must.EqOp(t, 0, cluster.AwaitExit(stopped.Name))
		other.mustProgress(t, cluster)
	})
}

// When tickets come into force under load, no confirmation has an unknown outcome.
func TestTicketsLeaveNothingUnknown(t *testing.T) {
	t.Parallel()
	const tickets = 12
	cluster := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 4})
	sent := startConfirmations(t, cluster, "orders", "tickets")
	for number := ticket.Number(2); number < tickets; number++ {
		cluster.Publish(draining(cluster.Tickets["orders"], number, cluster.Backends[number%2].Name))
		cluster.AwaitTicket("orders", number)
	}
	counts := sent.finish(t, cluster)
	must.EqOp(t, 0, counts[unknown])
}

// When an agent stops as planned under load, no confirmation has an unknown outcome.
func TestStoppedAgentLeavesNothingUnknown(t *testing.T) {
	t.Parallel()
	cluster := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 4})
	sent := startConfirmations(t, cluster, "orders", "stop")
	sent.awaitMore(cluster, 50)
	cluster.Signal("orders-2", syscall.SIGTERM)
	must.EqOp(t, 0, cluster.AwaitExit("orders-2"))
	sent.awaitMore(cluster, 100)
	counts := sent.finish(t, cluster)
	must.EqOp(t, 0, counts[unknown])
}

// pinnedCaller uses one connection until the other end closes it.
type pinnedCaller struct{ *caller.Caller }

// callerOn returns a caller whose connection is to the named endpoint.
func callerOn(t *testing.T, cluster *testcluster.Cluster, endpoint string) pinnedCaller {
	t.Helper()
	var pinned pinnedCaller
	cluster.Await(func() bool {
		pinned = pinnedCaller{cluster.Caller()}
		return pinned.fetchDrawing(t, cluster) == endpoint
	})
	return pinned
}

// fetchDrawing requests a drawing and returns the name of the endpoint that answered.
func (c pinnedCaller) fetchDrawing(t *testing.T, cluster *testcluster.Cluster) string {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, cluster.URL("orders", "/drawing?work=1"), nil)
	must.NoError(t, err)
	response, err := c.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	return response.Header.Get(frontend.EndpointHeader)
}

// An agent that stops waits for its request in progress.
func TestStopWaitsForRequestsInProgress(t *testing.T) {
	t.Parallel()
	cluster := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 1})
	const work, timeout = 5000, 30_000
	result := make(chan outcome, 1)
	go func() { result <- confirm(context.Background(), cluster, "orders", "slow", work, timeout) }()
	agent := cluster.Backends[0].Name
	cluster.Await(func() bool { return cluster.Servers[agent].Records()["slow"] == 1 })
	cluster.Signal(agent, syscall.SIGTERM)
	must.EqOp(t, 0, cluster.AwaitExit(agent))
	must.EqOp(t, confirmed, <-result)
}

// draining returns a copy of a ticket with another number in which only the named
// endpoint drains, or none if the name is empty.
func draining(t *ticket.Ticket, number ticket.Number, endpoint string) *ticket.Ticket {
	next := *t
	next.Number = number
	next.Endpoints = append([]ticket.Endpoint(nil), t.Endpoints...)
	for i := range next.Endpoints {
		next.Endpoints[i].Draining = next.Endpoints[i].Name == endpoint
	}
	return &next
}
