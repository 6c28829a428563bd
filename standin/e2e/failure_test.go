package e2e

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"cactustray/balancer"
	"cactustray/settings"
	"cactustray/standin/fabric"
	"cactustray/standin/layout"
	"cactustray/standin/platform"
	"cactustray/standin/testcluster"

	"github.com/quic-go/quic-go"
	"github.com/shoenig/test/must"
)

// Killing and freezing processes breaks no feed except those of a killed agent, and
// the outcome that each caller receives agrees with the backend servers' records.
func TestKilledAndFrozenProcesses(t *testing.T) {
	t.Parallel()
	cluster := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 4})
	open := openFeeds(t, cluster, "orders", 24)
	sent := startConfirmations(t, cluster, "orders", "failures")
	t.Run("a balancer is killed and restarted", func(t *testing.T) {
		cluster.Signal("entry-1", syscall.SIGKILL)
		cluster.AwaitExit("entry-1")
		open.mustProgress(t, cluster)
		sent.awaitMore(cluster, 100)
		cluster.Run("entry-1")
		cluster.AwaitTicket("orders", 1)
		open.mustProgress(t, cluster)
	})
	t.Run("a balancer is frozen while a ticket is published", func(t *testing.T) {
		cluster.Signal("entry-2", syscall.SIGSTOP)
		open.mustProgress(t, cluster)
		cluster.Publish(draining(cluster.Tickets["orders"], 2, ""))
		cluster.Await(func() bool { return cluster.TicketNumber(cluster.Balancers[2].Control, "orders") == 2 })
		sent.awaitMore(cluster, 100)
		cluster.Signal("entry-2", syscall.SIGCONT)
		cluster.AwaitTicket("orders", 2)
		open.mustProgress(t, cluster)
	})
	t.Run("an agent is frozen for a while", func(t *testing.T) {
		frozen := cluster.Backends[3].Name
		_, other := open.split(frozen)
		cluster.Signal(frozen, syscall.SIGSTOP)
		other.mustProgress(t, cluster)
		cluster.Signal(frozen, syscall.SIGCONT)
		open.mustProgress(t, cluster)
	})
	t.Run("an agent is killed and restarted", func(t *testing.T) {
		killed := cluster.Backends[0].Name
		on, other := open.split(killed)
		cluster.Signal(killed, syscall.SIGKILL)
		cluster.AwaitExit(killed)
		cluster.Run(killed)
		for _, f := range on {
			<-f.done
			must.False(t, errors.Is(f.broken, &quic.IdleTimeoutError{}), must.Sprint(f.broken))
		}
		other.mustProgress(t, cluster)
		open = other
	})
	t.Run("an agent is killed and not restarted", func(t *testing.T) {
		killed := cluster.Backends[1].Name
		_, other := open.split(killed)
		cluster.Signal(killed, syscall.SIGKILL)
		cluster.AwaitExit(killed)
		other.mustProgress(t, cluster)
		cluster.Await(func() bool {
			return slices.ContainsFunc(cluster.Balancers, func(b *settings.Settings) bool {
				return cluster.HasLogged(b.Node, balancer.EventEndpointSuspected)
			})
		})
		sent.awaitMore(cluster, 100)
		other.mustProgress(t, cluster)
		open = other
	})
	counts := sent.finish(t, cluster)
	must.Positive(t, counts[confirmed])
	t.Logf("confirmations: %d confirmed, %d not run, %d unknown", counts[confirmed], counts[notRun], counts[unknown])
	open.stop()
}

// A request that is queued when its agent freezes, and whose deadline passes during
// the freeze, never runs.
func TestRequestExpiredDuringFreezeNeverRuns(t *testing.T) {
	t.Parallel()
	cluster := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 1})
	agent := cluster.Backends[0].Name
	// The queue timeout is as long as the callers' own, so that requests stay queued
	// for long enough on a busy machine too.
	const busyWork, busyTimeout, timeout, frozenFor = 4000, 60_000, 5000, 7 * time.Second
	next := *cluster.Tickets["orders"]
	next.Number, next.Limits.QueueMillis = 2, busyTimeout
	cluster.Publish(&next)
	cluster.AwaitTicket("orders", 2)
	// A backend server that has just started is given fewer slots than its ticket
	// allows; these requests fill all slots and the front of the queue.
	busy := make(chan outcome, 2*layout.Slots)
	for i := range cap(busy) {
		key := string(rune('a' + i))
		go func() { busy <- confirm(context.Background(), cluster, "orders", key, busyWork, busyTimeout) }()
	}
	awaitOpenRequests := func(count int64) {
		cluster.Await(func() bool { return cluster.OpenRequests(cluster.Backends[0].Settings.Control) == count })
	}
	awaitOpenRequests(int64(cap(busy)))
	queued := make(chan outcome, 1)
	go func() { queued <- confirm(context.Background(), cluster, "orders", "late", 1, timeout) }()
	awaitOpenRequests(int64(cap(busy)) + 1)
	cluster.Signal(agent, syscall.SIGSTOP)
	time.Sleep(frozenFor) // duration of the fault
	cluster.Signal(agent, syscall.SIGCONT)
	must.EqOp(t, notRun, <-queued)
	must.EqOp(t, 0, cluster.Servers[agent].Records()["late"])
	for range cap(busy) {
		must.EqOp(t, confirmed, <-busy)
	}
}

// Feeds and confirmations continue while links between the fabric and balancers are
// cut, and while datagrams are lost, duplicated and reordered.
func TestCutAndImpairedLinks(t *testing.T) {
	t.Parallel()
	cluster := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 2})
	open := openFeeds(t, cluster, "orders", 8)
	sent := startConfirmations(t, cluster, "orders", "cuts")
	faults := cluster.Fabric.Faults()
	edge := cluster.Balancers[0].Balancer.Edge
	cut := func(directions ...fabric.Direction) func(bool) {
		return func(on bool) {
			for _, direction := range directions {
				faults.Cut(direction, edge, on)
			}
		}
	}
	impair := func(impairment fabric.Impairment) func(bool) {
		return func(on bool) {
			if !on {
				impairment = fabric.Impairment{}
			}
			faults.SetImpairment(impairment)
		}
	}
	for name, set := range map[string]func(bool){
		"cut to a balancer":     cut(fabric.ToBalancer),
		"cut from a balancer":   cut(fabric.FromBalancer),
		"cut both ways":         cut(fabric.ToBalancer, fabric.FromBalancer),
		"lost":                  impair(fabric.Impairment{Lost: 0.05}),
		"duplicated":            impair(fabric.Impairment{Duplicated: 0.3}),
		"delayed and reordered": impair(fabric.Impairment{Delayed: 0.3, Delay: 20 * time.Millisecond}),
	} {
		t.Run(name, func(t *testing.T) {
			set(true)
			open.mustProgress(t, cluster)
			sent.awaitMore(cluster, 20)
			set(false)
			open.mustProgress(t, cluster)
		})
	}
	counts := sent.finish(t, cluster)
	t.Logf("confirmations: %d confirmed, %d not run, %d unknown", counts[confirmed], counts[notRun], counts[unknown])
	open.stop()
}

// While the platform is down, traffic continues, and a balancer that starts gets the
// tickets from its peers.
func TestTrafficContinuesWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	cluster := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 2})
	open := openFeeds(t, cluster, "orders", 8)
	cluster.Platform.SetMode(platform.Down)
	cluster.Signal("entry-2", syscall.SIGKILL)
	cluster.AwaitExit("entry-2")
	cluster.Run("entry-2")
	open.mustProgress(t, cluster)
	cluster.Await(func() bool { return cluster.TicketNumber(cluster.Balancers[1].Control, "orders") == 1 })
	response := retryUntilOK(t, cluster, context.Background(), cluster.URL("orders", "/drawing?work=1"))
	must.EqOp(t, http.StatusOK, response.StatusCode)
	cluster.Platform.SetMode(platform.Healthy)
	open.mustProgress(t, cluster)
}

// Two operators publish different contents under one ticket number at the same time,
// and late readers of the platform see only the second one. All nodes converge on one
// content, including a node that starts afterwards.
func TestConflictingTicketsConvergeAcrossRestart(t *testing.T) {
	t.Parallel()
	cluster := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 2})
	cluster.Publish(draining(cluster.Tickets["orders"], 2, "orders-1"))
	cluster.Publish(draining(cluster.Tickets["orders"], 2, "orders-2"))
	cluster.AwaitTicket("orders", 2)
	cluster.Await(func() bool { return sameSealedContent(cluster) })
	cluster.Signal("entry-2", syscall.SIGKILL)
	cluster.AwaitExit("entry-2")
	cluster.Run("entry-2")
	cluster.AwaitTicket("orders", 2)
	cluster.Await(func() bool { return sameSealedContent(cluster) })
}

// sameSealedContent reports whether all nodes have the same content in force and have it
// sealed, so that no unsealed ticket with the same number can replace it.
func sameSealedContent(cluster *testcluster.Cluster) bool {
	contents := make(map[uint64]bool)
	for _, control := range cluster.Controls() {
		response, err := cluster.Status(control)
		if err != nil || len(response.Tickets) != 1 || !response.Tickets[0].Sealed {
			return false
		}
		contents[response.Tickets[0].Content] = true
	}
	return len(contents) == 1
}
