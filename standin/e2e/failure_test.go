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
	"cactustray/standin/fleet"
	"cactustray/standin/layout"
	"cactustray/standin/platform"

	"github.com/quic-go/quic-go"
	"github.com/shoenig/test/must"
)

// Killed and frozen processes break no feed but those of the agent that died,
// and callers are told the truth of every confirmation.
func TestKilledAndFrozen(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 4})
	open := openFeeds(t, f, "orders", 24)
	sent := startConfirmations(t, f, "orders", "failures")
	t.Run("a balancer is killed and started anew", func(t *testing.T) {
		f.Signal("entry-1", syscall.SIGKILL)
		f.AwaitExit("entry-1")
		open.mustFlow(t, f)
		sent.awaitMore(f, 100)
		f.Run("entry-1")
		f.AwaitTicket("orders", 1)
		open.mustFlow(t, f)
	})
	t.Run("a balancer is frozen across a ticket", func(t *testing.T) {
		f.Signal("entry-2", syscall.SIGSTOP)
		open.mustFlow(t, f)
		f.Publish(draining(f.Tickets["orders"], 2, ""))
		f.Await(func() bool { return f.InForce(f.Balancers[2].Control, "orders") == 2 })
		sent.awaitMore(f, 100)
		f.Signal("entry-2", syscall.SIGCONT)
		f.AwaitTicket("orders", 2)
		open.mustFlow(t, f)
	})
	t.Run("an agent is frozen for a while", func(t *testing.T) {
		frozen := f.Backends[3].Name
		_, other := open.split(frozen)
		f.Signal(frozen, syscall.SIGSTOP)
		other.mustFlow(t, f)
		f.Signal(frozen, syscall.SIGCONT)
		open.mustFlow(t, f)
	})
	t.Run("an agent is killed and started anew", func(t *testing.T) {
		killed := f.Backends[0].Name
		on, other := open.split(killed)
		f.Signal(killed, syscall.SIGKILL)
		f.AwaitExit(killed)
		f.Run(killed)
		for _, fd := range on {
			<-fd.done
			must.False(t, errors.Is(fd.broken, &quic.IdleTimeoutError{}), must.Sprint(fd.broken))
		}
		other.mustFlow(t, f)
		open = other
	})
	t.Run("an agent is killed for good", func(t *testing.T) {
		killed := f.Backends[1].Name
		_, other := open.split(killed)
		f.Signal(killed, syscall.SIGKILL)
		f.AwaitExit(killed)
		other.mustFlow(t, f)
		f.Await(func() bool {
			return slices.ContainsFunc(f.Balancers, func(b *settings.Settings) bool {
				return f.Logged(b.Node, balancer.EventEndpointSuspected)
			})
		})
		sent.awaitMore(f, 100)
		other.mustFlow(t, f)
		open = other
	})
	counts := sent.finish(t, f)
	must.Positive(t, counts[confirmed])
	t.Logf("confirmations: %d confirmed, %d not run, %d unknown", counts[confirmed], counts[notRun], counts[unknown])
	open.stop()
}

// Work that was queued when its agent froze, and whose deadline passed
// meanwhile, never runs.
func TestFrozenAcrossADeadline(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 1})
	agent := f.Backends[0].Name
	// The queue is as patient as the caller, so that the wait can be seen on
	// a busy machine.
	const busyWork, busyTimeout, timeout, frozenFor = 4000, 60_000, 5000, 7 * time.Second
	patient := *f.Tickets["orders"]
	patient.Number, patient.Limits.QueueMillis = 2, busyTimeout
	f.Publish(&patient)
	f.AwaitTicket("orders", 2)
	// A cold backend server has fewer slots than its ticket says; these fill
	// them all and the queue's head.
	busy := make(chan outcome, 2*layout.Slots)
	for i := range cap(busy) {
		key := string(rune('a' + i))
		go func() { busy <- confirm(context.Background(), f, "orders", key, busyWork, busyTimeout) }()
	}
	arrived := func(count int64) {
		f.Await(func() bool { return f.Work(f.Backends[0].Settings.Control) == count })
	}
	arrived(int64(cap(busy)))
	queued := make(chan outcome, 1)
	go func() { queued <- confirm(context.Background(), f, "orders", "late", 1, timeout) }()
	arrived(int64(cap(busy)) + 1)
	f.Signal(agent, syscall.SIGSTOP)
	time.Sleep(frozenFor) // the length of the fault
	f.Signal(agent, syscall.SIGCONT)
	must.EqOp(t, notRun, <-queued)
	must.EqOp(t, 0, f.Servers[agent].Records()["late"])
	for range cap(busy) {
		must.EqOp(t, confirmed, <-busy)
	}
}

// Ways between the fabric and balancers are cut, and datagrams are lost,
// doubled and overtaken: feeds and confirmations go on.
func TestCutsAndNoise(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 2})
	open := openFeeds(t, f, "orders", 8)
	sent := startConfirmations(t, f, "orders", "cuts")
	faults := f.Fabric.Faults()
	edge := f.Balancers[0].Balancer.Edge
	cut := func(ways ...fabric.Direction) func(bool) {
		return func(on bool) {
			for _, way := range ways {
				faults.Cut(way, edge, on)
			}
		}
	}
	noise := func(n fabric.Noise) func(bool) {
		return func(on bool) {
			if !on {
				n = fabric.Noise{}
			}
			faults.SetNoise(n)
		}
	}
	for name, set := range map[string]func(bool){
		"cut towards a balancer": cut(fabric.To),
		"cut from a balancer":    cut(fabric.From),
		"cut both ways":          cut(fabric.To, fabric.From),
		"lost":                   noise(fabric.Noise{Lost: 0.05}),
		"doubled":                noise(fabric.Noise{Doubled: 0.3}),
		"delayed and reordered":  noise(fabric.Noise{Delayed: 0.3, Delay: 20 * time.Millisecond}),
	} {
		t.Run(name, func(t *testing.T) {
			set(true)
			open.mustFlow(t, f)
			sent.awaitMore(f, 20)
			set(false)
			open.mustFlow(t, f)
		})
	}
	counts := sent.finish(t, f)
	t.Logf("confirmations: %d confirmed, %d not run, %d unknown", counts[confirmed], counts[notRun], counts[unknown])
	open.stop()
}

// With the platform down, traffic goes on, and a balancer that starts takes
// the tickets from its peers.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 2})
	open := openFeeds(t, f, "orders", 8)
	f.Platform.SetMode(platform.Down)
	f.Signal("entry-2", syscall.SIGKILL)
	f.AwaitExit("entry-2")
	f.Run("entry-2")
	open.mustFlow(t, f)
	f.Await(func() bool { return f.InForce(f.Balancers[1].Control, "orders") == 1 })
	response := askUntilAnswered(t, f, context.Background(), f.URL("orders", "/drawing?work=1"))
	must.EqOp(t, http.StatusOK, response.StatusCode)
	f.Platform.SetMode(platform.Healthy)
	open.mustFlow(t, f)
}

// Two operators use one number in the same moment, and the platform shows only
// the later content to whoever reads late: all nodes end on one content, also
// one that starts afterwards.
func TestTwoOperatorsOneNumber(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 2})
	f.Publish(draining(f.Tickets["orders"], 2, "orders-1"))
	f.Publish(draining(f.Tickets["orders"], 2, "orders-2"))
	f.AwaitTicket("orders", 2)
	f.Await(func() bool { return agree(f) })
	f.Signal("entry-2", syscall.SIGKILL)
	f.AwaitExit("entry-2")
	f.Run("entry-2")
	f.AwaitTicket("orders", 2)
	f.Await(func() bool { return agree(f) })
}

// agree tells whether all nodes have one accepted content in force.
func agree(f *fleet.Fleet) bool {
	contents := make(map[uint64]bool)
	for _, control := range f.Controls() {
		response, err := f.Status(control)
		if err != nil || len(response.Tickets) != 1 || !response.Tickets[0].Sealed {
			return false
		}
		contents[response.Tickets[0].Content] = true
	}
	return len(contents) == 1
}
