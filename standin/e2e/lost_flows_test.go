package e2e

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"cactustray/event"
	"cactustray/packetagent"
	"cactustray/packetbalancer"
	"cactustray/standin/packets"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// lostFlowLimit is how long after the start of all processes the last flow that no endpoint
// holds may take to end: a caller of a latency target of 1 s has given up by then.
const lostFlowLimit = 3 * time.Second

// After a loss of power no balancer knows which services routes have left, and no endpoint has
// its flows. Callers get resets soon, also if a machine of another service does not return, or
// returns without its endpoint. If a machine keeps its power, entries that have expired are
// awaited first.
func TestPacketLostFlowsEndPromptly(t *testing.T) {
	const otherService = endpointHost + 4
	scenarios := map[string]struct {
		prepare func(c *packetCluster)
		// absent machines do not return, spared ones do not lose power.
		absent, spared []int
	}{
		"all machines return":       {},
		"a machine does not return": {absent: []int{otherService}},
		"a machine has lost its endpoint": {
			prepare: func(c *packetCluster) { c.endpoints[4].SetUnresponsive(true) },
		},
		"a machine of another service keeps its power": {
			spared: []int{otherService},
			// Its agent counts as older than the next balancers only by a margin.
			prepare: func(*packetCluster) { time.Sleep(2 * time.Second) },
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newPacketCluster(t, 2)
			feeds := c.openFeeds(12)
			for _, e := range c.endpoints {
				e.Crash()
			}
			if scenario.prepare != nil {
				scenario.prepare(c)
			}
			var hosts []int
			for i := range c.balancers {
				hosts = append(hosts, balancerHost+i)
			}
			for i := range c.endpoints {
				if host := endpointHost + i; !slices.Contains(scenario.spared, host) {
					hosts = append(hosts, host)
				}
			}
			for _, host := range hosts {
				c.signal(host, syscall.SIGKILL)
			}
			for _, host := range hosts {
				_ = c.daemons[c.IP(host)].Wait()
			}
			began := time.Now()
			for _, host := range hosts {
				if !slices.Contains(scenario.absent, host) {
					c.run(host)
				}
			}
			took := requireResets(t, feeds, began)
			t.Logf("reset after %v to %v, median %v", took[0], took[len(took)-1], took[len(took)/2])
			must.Less(t, lostFlowLimit, took[len(took)-1])
		})
	}
}

// Callers of one service must not wait for a frozen machine of another: 6 s after the loss of all
// balancers, lost flows got no reset for as long as it was frozen, since their route might have
// used that service earlier. Its agent had stated before that it holds no flow of the route.
func TestPacketLostFlowsDoNotAwaitFrozenAgentOfOtherService(t *testing.T) {
	t.Parallel()
	const (
		frozen       = endpointHost + 4
		freezeTime   = 3 * time.Second
		resetLimit   = 1500 * time.Millisecond
		afterTheKill = 5 * time.Second
	)
	c := newPacketCluster(t, 2)
	feeds := c.openFeeds(12)
	var balancers, agents []int
	for i := range c.balancers {
		balancers = append(balancers, balancerHost+i)
	}
	for i := range 4 {
		agents = append(agents, endpointHost+i) // of the service that the flows use
	}
	// The endpoint starts anew beside its agent, which then knows all flows, as in a system that
	// has not lost that agent since its start.
	c.endpoints[frozen-endpointHost].Crash()
	c.register(frozen, "ready", int(time.Now().UnixMilli()))
	c.await(func() bool { return c.hasLogged(frozen, packetagent.EventFlowsKnown) })
	c.restartAll(balancers)
	time.Sleep(afterTheKill)
	for i := range agents {
		c.endpoints[i].Crash()
	}
	c.restartAll(agents)
	time.Sleep(time.Second) // the balancers know these agents again
	c.signal(frozen, syscall.SIGSTOP)
	thaw := time.AfterFunc(freezeTime, func() { c.signal(frozen, syscall.SIGCONT) })
	defer thaw.Stop()
	took := requireResets(t, feeds, time.Now())
	t.Logf("reset after %v to %v, median %v", took[0], took[len(took)-1], took[len(took)/2])
	must.Less(t, resetLimit, took[len(took)-1])
}

// Many lost flows are searched for in bulk, by balancers that know none of the flows. They are reset, and
// flows that endpoints hold, which move to the same balancers meanwhile, continue.
func TestPacketManyLostFlowsAreResetAndOthersContinue(t *testing.T) {
	t.Parallel()
	const (
		lost       = 60
		resetLimit = 2 * time.Second
	)
	c := newPacketCluster(t, 2)
	feeds := c.openFeeds(lost)
	var held []*packetFeed
	for range 8 {
		held = append(held, c.openFeed(drawingsAddress))
	}
	var balancers, agents []int
	for i := range c.balancers {
		balancers = append(balancers, balancerHost+i)
	}
	for i := range 4 {
		agents = append(agents, endpointHost+i)
		c.endpoints[i].Crash()
	}
	c.restartAll(agents)
	for _, host := range agents {
		c.register(host, "ready", int(time.Now().UnixMilli())) // the endpoint started after its agent
	}
	for _, host := range agents {
		c.await(func() bool { return c.hasLogged(host, packetagent.EventFlowsKnown) })
	}
	c.restartAll(balancers)
	c.await(func() bool { return c.router.Check() == len(balancers) })
	time.Sleep(3 * time.Second) // flows end only once lapsed entries are registered again
	var group errgroup.Group
	group.Go(func() error {
		for _, feed := range held {
			if _, err := feed.Request(fmt.Sprint("r", requests.Add(1)), packetRequestTimeout); err != nil {
				return err
			}
		}
		return nil
	})
	// A search that finds its flow ends a row of lost ones, and searches that begin before a row has
	// ended are not in bulk.
	requireResets(t, feeds[:lost/3], time.Now())
	must.NoError(t, group.Wait())
	requireResets(t, feeds[lost/3:2*lost/3], time.Now())
	took := requireResets(t, feeds[2*lost/3:], time.Now())
	t.Logf("reset after %v to %v, median %v", took[0], took[len(took)-1], took[len(took)/2])
	must.Less(t, resetLimit, took[len(took)-1])
	must.True(t, slices.ContainsFunc(balancers, func(host int) bool { return c.hasLogged(host, packetbalancer.EventManyLost) }))
	c.mustContinue(held)
	c.mustUpholdInvariants()
}

// restartAll kills the daemons of all hosts before it starts any of them.
func (c *packetCluster) restartAll(hosts []int) {
	for _, host := range hosts {
		c.signal(host, syscall.SIGKILL)
	}
	for _, host := range hosts {
		_ = c.daemons[c.IP(host)].Wait()
	}
	for _, host := range hosts {
		c.run(host)
	}
}

// hasLogged reports whether the daemon of a host has logged an event.
func (c *packetCluster) hasLogged(host int, e event.Event) bool {
	raw, err := os.ReadFile(filepath.Join(c.dir, fmt.Sprint(host)+".log"))
	must.NoError(c.t, err)
	return strings.Contains(string(raw), fmt.Sprintf(`"event":%d,`, e.Number))
}

// requireResets sends a request on each flow and returns, in order, how long after began the
// flows were reset.
func requireResets(t *testing.T, feeds []*packetFeed, began time.Time) []time.Duration {
	t.Helper()
	took := make([]time.Duration, len(feeds))
	var group errgroup.Group
	for i, feed := range feeds {
		group.Go(func() error {
			_, err := feed.Request(fmt.Sprint("r", requests.Add(1)), packetRequestTimeout)
			took[i] = time.Since(began)
			var reset *packets.ResetError
			if !errors.As(err, &reset) {
				return &notResetError{cause: err}
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	slices.Sort(took)
	return took
}

// notResetError reports that a request on a lost flow ended without a reset.
type notResetError struct{ cause error }

func (e *notResetError) Error() string { return fmt.Sprint("the flow was not reset: ", e.cause) }
