package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"cactustray/standin/fabric"
	"cactustray/standin/layout"
	"cactustray/standin/platform"
	"cactustray/standin/testcluster"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

// seedsVariable is the environment variable for long runs: a range of seeds as
// FIRST-LAST.
const seedsVariable = "CACTUSTRAY_SOAK_SEEDS"

const (
	randomFaults = 8
	// longestFault is far below the idle timeout of connections, 30 s.
	longestFault = 2500 * time.Millisecond
	// faultPause is the mean time between the starts of two faults.
	faultPause = 700 * time.Millisecond
	retries    = 2
)

// soakSeeds returns the range of seeds from the environment, by default seed 1 only.
func soakSeeds(t *testing.T) (first, last uint64) {
	first, last = 1, 1
	if text := os.Getenv(seedsVariable); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		must.NoError(t, err, must.Sprint("want FIRST-LAST"))
	}
	return first, last
}

// Overlapping random faults, determined by a seed: confirmations are recorded at most
// once even if callers retry, their outcomes agree with the backend servers' records,
// feeds break only with their agent, and the system works again afterwards.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	first, last := soakSeeds(t)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newRandomRun(t, seed).run(t) })
	}
}

// randomRun is one run with one seed. Its faults restart one agent at most, since
// at-most-once execution is guaranteed for the loss of one agent only.
type randomRun struct {
	cluster *testcluster.Cluster
	random  *rand.Rand
	// victim is the one agent that faults may restart.
	victim          string
	victimRestarted bool
	// number is the number of the last published ticket.
	number ticket.Number
	group  sync.WaitGroup
	// locks holds a mutex for each daemon, which serializes its faults.
	locks map[string]*sync.Mutex
}

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	cluster := testcluster.Start(t, layout.Size{Balancers: 3, Services: []string{"orders"}, Backends: 4})
	r := &randomRun{cluster: cluster, random: rand.New(rand.NewPCG(seed, seed)), number: 1, locks: make(map[string]*sync.Mutex)}
	for _, name := range cluster.Names() {
		r.locks[name] = new(sync.Mutex)
	}
	r.victim = cluster.Backends[r.random.IntN(len(cluster.Backends))].Name
	return r
}

func (r *randomRun) run(t *testing.T) {
	cluster := r.cluster
	open := openFeeds(t, cluster, "orders", 12)
	sent := startRetriedConfirmations(t, cluster)
	faults := []func(time.Duration) string{r.kill, r.stop, r.pause, r.cut, r.cut, r.impair, r.platform, r.platform, r.publishTicket}
	for range randomFaults {
		length := time.Duration(r.random.Int64N(int64(longestFault)))
		t.Log(faults[r.random.IntN(len(faults))](length))
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(faultPause))) // time between two faults
	}
	r.group.Wait()
	sent.awaitMore(cluster, 100)
	counts := sent.finish(t, cluster)
	must.Positive(t, counts[confirmed])
	t.Logf("confirmations: %d confirmed, %d not run, %d unknown", counts[confirmed], counts[notRun], counts[unknown])
	on, other := open.split(r.victim)
	if !r.victimRestarted {
		other = append(other, on...)
	}
	other.mustProgress(t, cluster)
	open.stop()
}

// startRetriedConfirmations sends confirmations, and retries with the same key while the
// outcome is unknown.
func startRetriedConfirmations(t *testing.T, cluster *testcluster.Cluster) *confirmations {
	return startConfirmationsWith(t, "random", func(key string) outcome {
		o := confirm(context.Background(), cluster, "orders", key, confirmWork, confirmTimeout)
		for again := 0; o == unknown && again < retries; again++ {
			o = confirm(context.Background(), cluster, "orders", key, confirmWork, confirmTimeout)
			if o == notRun {
				o = unknown // this attempt did not run, but an earlier one may have
			}
		}
		return o
	})
}

// inject runs a fault on a daemon in the background. Faults on the same daemon run one
// after another.
func (r *randomRun) inject(name string, fault func()) {
	r.group.Go(func() {
		r.locks[name].Lock()
		defer r.locks[name].Unlock()
		fault()
	})
}

// randomDaemon draws a balancer or the one agent that faults may restart.
func (r *randomRun) randomDaemon() string {
	if r.random.IntN(3) == 0 {
		r.victimRestarted = true
		return r.victim
	}
	return r.randomBalancer()
}

func (r *randomRun) randomBalancer() string {
	return r.cluster.Balancers[r.random.IntN(len(r.cluster.Balancers))].Node
}

func (r *randomRun) kill(length time.Duration) string { return r.restart(syscall.SIGKILL, length) }

func (r *randomRun) stop(time.Duration) string { return r.restart(syscall.SIGTERM, 0) }

func (r *randomRun) restart(signal syscall.Signal, after time.Duration) string {
	name := r.randomDaemon()
	r.inject(name, func() {
		r.cluster.Signal(name, signal)
		r.cluster.AwaitExit(name)
		time.Sleep(after) // duration of the fault
		r.cluster.Run(name)
	})
	return fmt.Sprintf("%v sent to %s, restarted after %v", signal, name, after)
}

func (r *randomRun) pause(length time.Duration) string {
	name := r.randomBalancer()
	r.inject(name, func() {
		r.cluster.Signal(name, syscall.SIGSTOP)
		time.Sleep(length) // duration of the fault
		r.cluster.Signal(name, syscall.SIGCONT)
	})
	return fmt.Sprintf("%s paused for %v", name, length)
}

func (r *randomRun) cut(length time.Duration) string {
	b := r.cluster.Balancers[r.random.IntN(len(r.cluster.Balancers))]
	direction, address := fabric.ToBalancer, b.Balancer.Edge
	if r.random.IntN(2) == 0 {
		direction = fabric.FromBalancer
	}
	r.group.Go(func() {
		r.cluster.Fabric.Faults().Cut(direction, address, true)
		time.Sleep(length) // duration of the fault
		r.cluster.Fabric.Faults().Cut(direction, address, false)
	})
	return fmt.Sprintf("%s cut, direction %d, for %v", b.Node, direction, length)
}

func (r *randomRun) impair(length time.Duration) string {
	r.group.Go(func() {
		r.cluster.Fabric.Faults().SetImpairment(fabric.Impairment{Lost: 0.05, Duplicated: 0.05, Delayed: 0.2, Delay: 30 * time.Millisecond})
		time.Sleep(length) // duration of the fault
		r.cluster.Fabric.Faults().SetImpairment(fabric.Impairment{})
	})
	return fmt.Sprintf("datagrams lost, duplicated and delayed for %v", length)
}

func (r *randomRun) platform(length time.Duration) string {
	modes := []platform.Mode{platform.Down, platform.Stale}
	mode := modes[r.random.IntN(len(modes))]
	r.group.Go(func() {
		r.cluster.Platform.SetMode(mode)
		time.Sleep(length) // duration of the fault
		r.cluster.Platform.SetMode(platform.Healthy)
	})
	return fmt.Sprintf("platform %s for %v", mode, length)
}

// publishTicket publishes a ticket that changes a limit.
func (r *randomRun) publishTicket(time.Duration) string {
	next := *r.cluster.Tickets["orders"]
	r.number++
	next.Number = r.number
	next.Limits.QueueMillis += uint32(r.number)
	r.cluster.Publish(&next)
	return fmt.Sprintf("ticket %d", r.number)
}
