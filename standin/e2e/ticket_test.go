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
	cluster := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 1})
	pairs, index := cluster.Platform.Snapshot()
	cluster.Publish(withNumber(cluster.Tickets["orders"], 2, 60))
	cluster.AwaitTicket("orders", 2)
	cluster.Platform.Restore(pairs, index)
	cluster.Signal("entry-1", syscall.SIGKILL)
	cluster.AwaitExit("entry-1")
	cluster.Run("entry-1")
	cluster.Await(func() bool { return ready(cluster, 0) })
	must.EqOp(t, 2, cluster.TicketNumber(cluster.Balancers[0].Control, "orders"))

	cluster.Platform.SetMode(platform.Down)
	cluster.Signal("entry-2", syscall.SIGKILL)
	cluster.AwaitExit("entry-2")
	cluster.Run("entry-2")
	cluster.Await(func() bool { return ready(cluster, 1) })
	must.EqOp(t, 2, cluster.TicketNumber(cluster.Balancers[1].Control, "orders"))
}

// Two operators publish different contents under one ticket number: all nodes converge
// on one content, and every balancer reports the conflict.
func TestConflictingTicketIsReported(t *testing.T) {
	cluster := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 2})
	cluster.Publish(withNumber(cluster.Tickets["orders"], 2, 60))
	cluster.AwaitTicket("orders", 2)
	cluster.Publish(withNumber(cluster.Tickets["orders"], 2, 90))
	contents := make(map[uint64]bool)
	for i, b := range cluster.Balancers {
		cluster.Await(func() bool {
			r, err := cluster.Status(b.Control)
			return err == nil && len(r.Tickets) == 1 && r.Tickets[0].Conflicts == 1 && r.Tickets[0].Sealed
		})
		r, err := cluster.Status(cluster.Balancers[i].Control)
		must.NoError(t, err)
		contents[r.Tickets[0].Content] = true
	}
	for _, b := range cluster.Backends {
		cluster.Await(func() bool {
			r, err := cluster.Status(b.Settings.Control)
			return err == nil && len(r.Tickets) == 1 && r.Tickets[0].Sealed && contents[r.Tickets[0].Content]
		})
	}
	must.MapLen(t, 1, contents)
}

func ready(cluster *testcluster.Cluster, balancer int) bool {
	r, err := cluster.Status(cluster.Balancers[balancer].Control)
	return err == nil && r.State == "ready"
}
