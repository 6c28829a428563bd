package e2e

import (
	"syscall"
	"testing"

	"cactustray/standin/layout"
	"cactustray/standin/platform"
	"cactustray/standin/testcluster"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

// withNumber returns a copy of the ticket with another number and drain time.
func withNumber(tk *ticket.Ticket, number ticket.Number, drainSeconds uint32) *ticket.Ticket {
	changed := *tk
	changed.Number = number
	changed.Limits.DrainSeconds = drainSeconds
	return &changed
}

// A balancer that starts after the platform was restored from an older backup, and one
// that starts while the platform is down, get the ticket in force from their peers.
func TestRestartNeverRevertsTicket(t *testing.T) {
	f := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 1})
	pairs, index := f.Platform.Snapshot()
	f.Publish(withNumber(f.Tickets["orders"], 2, 60))
	f.AwaitTicket("orders", 2)
	f.Platform.Restore(pairs, index)
	f.Signal("entry-1", syscall.SIGKILL)
	f.AwaitExit("entry-1")
	f.Run("entry-1")
	f.Await(func() bool { return ready(f, 0) })
	must.EqOp(t, 2, f.TicketNumber(f.Balancers[0].Control, "orders"))

	f.Platform.SetMode(platform.Down)
	f.Signal("entry-2", syscall.SIGKILL)
	f.AwaitExit("entry-2")
	f.Run("entry-2")
	f.Await(func() bool { return ready(f, 1) })
	must.EqOp(t, 2, f.TicketNumber(f.Balancers[1].Control, "orders"))
}

// Two operators publish different contents under one ticket number: all nodes converge
// on one content, and every balancer reports the conflict.
func TestConflictingTicketIsReported(t *testing.T) {
	f := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 2})
	f.Publish(withNumber(f.Tickets["orders"], 2, 60))
	f.AwaitTicket("orders", 2)
	f.Publish(withNumber(f.Tickets["orders"], 2, 90))
	contents := make(map[uint64]bool)
	for i, b := range f.Balancers {
		f.Await(func() bool {
			r, err := f.Status(b.Control)
			return err == nil && len(r.Tickets) == 1 && r.Tickets[0].Conflicts == 1 && r.Tickets[0].Sealed
		})
		r, err := f.Status(f.Balancers[i].Control)
		must.NoError(t, err)
		contents[r.Tickets[0].Content] = true
	}
	for _, b := range f.Backends {
		f.Await(func() bool {
			r, err := f.Status(b.Settings.Control)
			return err == nil && len(r.Tickets) == 1 && r.Tickets[0].Sealed && contents[r.Tickets[0].Content]
		})
	}
	must.MapLen(t, 1, contents)
}

func ready(f *testcluster.Cluster, balancer int) bool {
	r, err := f.Status(f.Balancers[balancer].Control)
	return err == nil && r.State == "ready"
}
