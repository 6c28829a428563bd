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
func stateOf(f *testcluster.Cluster, control netip.AddrPort) string {
	response, err := f.Status(control)
	if err != nil {
		return ""
	}
	return response.State
}

// No planned change of balancers or backend servers breaks a feed, and the outcome of
// every confirmation during it agrees with the backend servers' records.
func TestPlannedChangesBreakNoFeed(t *testing.T) {
	t.Parallel()
	f := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 4})
	open := openFeeds(t, f, "orders", 24)
	sent := startConfirmations(t, f, "orders", "planned")
	t.Run("every balancer is replaced", func(t *testing.T) {
		for _, b := range f.Balancers {
			f.Signal(b.Node, syscall.SIGTERM)
			must.EqOp(t, 0, f.AwaitExit(b.Node))
			f.Run(b.Node)
			f.AwaitTicket("orders", 1)
			open.mustProgress(t, f)
		}
	})
	counts := sent.finish(t, f)
	must.EqOp(t, 0, counts[unknown])
	t.Logf("confirmations: %d confirmed, %d not run", counts[confirmed], counts[notRun])
	sent = startConfirmations(t, f, "orders", "drained")
	t.Run("a ticket drains a backend server and the next one ends the drain", func(t *testing.T) {
		drained := f.Backends[0]
		pinned := callerOn(t, f, drained.Name)
		next := draining(f.Tickets["orders"], 2, drained.Name)
		f.Publish(next)
		f.Await(func() bool { return pinned.fetchDrawing(t, f) != drained.Name })
		sent.awaitMore(f, 100)
		back := draining(f.Tickets["orders"], 3, "")
		f.Publish(back)
		f.Await(func() bool { return stateOf(f, drained.Settings.Control) == "ready" })
		f.Await(func() bool {
			fd := openFeed(t, f, "orders")
			defer feeds{fd}.stop()
			return fd.endpoint == drained.Name
		})
		open.mustProgress(t, f)
	})
	t.Run("the list of VMs names a backend server as leaving for a while", func(t *testing.T) {
		named := f.Backends[2]
		vm := platform.VM{Name: named.Name, Role: "agent", Zone: named.Settings.Zone, Leaving: true}
		f.PublishVMs(append(f.VMs(), vm))
		f.Await(func() bool { return stateOf(f, named.Settings.Control) == "leaving" })
		open.mustProgress(t, f)
		f.PublishVMs(f.VMs())
		f.Await(func() bool { return stateOf(f, named.Settings.Control) == "ready" })
		open.mustProgress(t, f)
	})
	sent.finish(t, f)
	t.Run("a backend server's agent stops", func(t *testing.T) {
		stopped := f.Backends[1]
		on, other := open.split(stopped.Name)
		f.Signal(stopped.Name, syscall.SIGTERM)
		f.Await(func() bool { return stateOf(f, stopped.Settings.Control) == "leaving" })
		on.mustProgress(t, f)
		on.stop()
		must.EqOp(t, 0, f.AwaitExit(stopped.Name))
		other.mustProgress(t, f)
	})
}

// When tickets come into force under load, no confirmation has an unknown outcome.
func TestTicketsLeaveNothingUnknown(t *testing.T) {
	t.Parallel()
	const tickets = 12
	f := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 4})
	sent := startConfirmations(t, f, "orders", "tickets")
	for number := ticket.Number(2); number < tickets; number++ {
		f.Publish(draining(f.Tickets["orders"], number, f.Backends[number%2].Name))
		f.AwaitTicket("orders", number)
	}
	counts := sent.finish(t, f)
	must.EqOp(t, 0, counts[unknown])
}

// When an agent stops as planned under load, no confirmation has an unknown outcome.
func TestStoppedAgentLeavesNothingUnknown(t *testing.T) {
	t.Parallel()
	f := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 4})
	sent := startConfirmations(t, f, "orders", "stop")
	sent.awaitMore(f, 50)
	f.Signal("orders-2", syscall.SIGTERM)
	must.EqOp(t, 0, f.AwaitExit("orders-2"))
	sent.awaitMore(f, 100)
	counts := sent.finish(t, f)
	must.EqOp(t, 0, counts[unknown])
}

// pinnedCaller uses one connection until the other end closes it.
type pinnedCaller struct{ *caller.Caller }

// callerOn returns a caller whose connection is to the named endpoint.
func callerOn(t *testing.T, f *testcluster.Cluster, endpoint string) pinnedCaller {
	t.Helper()
	var pinned pinnedCaller
	f.Await(func() bool {
		pinned = pinnedCaller{f.Caller()}
		return pinned.fetchDrawing(t, f) == endpoint
	})
	return pinned
}

// fetchDrawing requests a drawing and returns the name of the endpoint that answered.
func (c pinnedCaller) fetchDrawing(t *testing.T, f *testcluster.Cluster) string {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, f.URL("orders", "/drawing?work=1"), nil)
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
	f := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 1})
	const work, timeout = 5000, 30_000
	result := make(chan outcome, 1)
	go func() { result <- confirm(context.Background(), f, "orders", "slow", work, timeout) }()
	agent := f.Backends[0].Name
	f.Await(func() bool { return f.Servers[agent].Records()["slow"] == 1 })
	f.Signal(agent, syscall.SIGTERM)
	must.EqOp(t, 0, f.AwaitExit(agent))
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
