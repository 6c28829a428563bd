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
	"cactustray/standin/fleet"
	"cactustray/standin/layout"
	"cactustray/ticket"
	"cactustray/ticket/platform"

	"github.com/shoenig/test/must"
)

// stateOf returns how a node says it stands, or nothing.
func stateOf(f *fleet.Fleet, control netip.AddrPort) string {
	response, err := f.Status(control)
	if err != nil {
		return ""
	}
	return response.State
}

// No planned change of balancers or backend servers breaks a feed, and every
// confirmation meanwhile is recorded as its caller was told.
func TestPlannedChangesBreakNothing(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 4})
	open := openFeeds(t, f, "orders", 24)
	sent := startConfirmations(t, f, "orders", "planned")
	t.Run("every balancer is replaced", func(t *testing.T) {
		for _, b := range f.Balancers {
			f.Signal(b.Node, syscall.SIGTERM)
			must.EqOp(t, 0, f.AwaitExit(b.Node))
			f.Run(b.Node)
			f.AwaitTicket("orders", 1)
			open.mustFlow(t, f)
		}
	})
	t.Run("a ticket drains a backend server and takes it back", func(t *testing.T) {
		drained := f.Backends[0]
		held := callerOn(t, f, drained.Name)
		next := draining(f.Tickets["orders"], 2, drained.Name)
		f.Publish(next)
		f.Await(func() bool { return held.draw(t, f) != drained.Name })
		sent.awaitMore(f, 100)
		back := draining(f.Tickets["orders"], 3, "")
		f.Publish(back)
		f.Await(func() bool { return stateOf(f, drained.Settings.Control) == "ready" })
		f.Await(func() bool {
			fd := openFeed(t, f, "orders")
			defer feeds{fd}.stop()
			return fd.endpoint == drained.Name
		})
		open.mustFlow(t, f)
	})
	t.Run("the list of VMs names a leaving backend server for a while", func(t *testing.T) {
		named := f.Backends[2]
		vm := platform.VM{Name: named.Name, Role: "agent", Zone: named.Settings.Zone, Leaving: true}
		f.PublishVMs(append(f.VMs(), vm))
		f.Await(func() bool { return stateOf(f, named.Settings.Control) == "leaving" })
		open.mustFlow(t, f)
		f.PublishVMs(f.VMs())
		f.Await(func() bool { return stateOf(f, named.Settings.Control) == "ready" })
		open.mustFlow(t, f)
	})
	counts := sent.finish(t, f)
	must.EqOp(t, 0, counts[unknown])
	t.Logf("confirmations: %d confirmed, %d not run", counts[confirmed], counts[notRun])
	t.Run("a backend server's agent stops", func(t *testing.T) {
		stopped := f.Backends[1]
		on, other := open.split(stopped.Name)
		f.Signal(stopped.Name, syscall.SIGTERM)
		f.Await(func() bool { return stateOf(f, stopped.Settings.Control) == "leaving" })
		on.mustFlow(t, f)
		on.stop()
		must.EqOp(t, 0, f.AwaitExit(stopped.Name))
		other.mustFlow(t, f)
	})
}

// An agent's planned stop under load leaves no caller without knowledge of
// whether its confirmation was recorded.
func TestStoppedAgentLeavesNothingUnknown(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 4})
	sent := startConfirmations(t, f, "orders", "stop")
	sent.awaitMore(f, 50)
	f.Signal("orders-2", syscall.SIGTERM)
	must.EqOp(t, 0, f.AwaitExit("orders-2"))
	sent.awaitMore(f, 100)
	counts := sent.finish(t, f)
	must.EqOp(t, 0, counts[unknown])
}

// heldCaller keeps one connection as long as the other end lets it.
type heldCaller struct{ *caller.Caller }

// callerOn returns a caller whose connection is with the named endpoint.
func callerOn(t *testing.T, f *fleet.Fleet, endpoint string) heldCaller {
	t.Helper()
	var held heldCaller
	f.Await(func() bool {
		held = heldCaller{f.Caller()}
		return held.draw(t, f) == endpoint
	})
	return held
}

// draw asks for a drawing and returns which endpoint answered.
func (c heldCaller) draw(t *testing.T, f *fleet.Fleet) string {
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

// A stop with a request in progress waits for it.
func TestStopWaitsForRequestsInProgress(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 1})
	const work, timeout = 5000, 30_000
	told := make(chan outcome, 1)
	go func() { told <- confirm(context.Background(), f, "orders", "slow", work, timeout) }()
	agent := f.Backends[0].Name
	f.Await(func() bool { return f.Servers[agent].Records()["slow"] == 1 })
	f.Signal(agent, syscall.SIGTERM)
	must.EqOp(t, 0, f.AwaitExit(agent))
	must.EqOp(t, confirmed, <-told)
}

// draining returns a ticket's next version in which one endpoint drains.
func draining(t *ticket.Ticket, number ticket.Number, endpoint string) *ticket.Ticket {
	next := *t
	next.Number = number
	next.Endpoints = append([]ticket.Endpoint(nil), t.Endpoints...)
	for i := range next.Endpoints {
		next.Endpoints[i].Draining = next.Endpoints[i].Name == endpoint
	}
	return &next
}
