package e2e

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"cactustray/standin/packets"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// startLimit is how long after the start of all processes 90% of callers may wait for their first
// answer.
const startLimit = 2 * time.Second

// After a loss of power all VMs start together, and callers open flows all the time. Whatever
// delays the first answers delays every caller: a directory that is read late, packets dropped
// before balancers know the endpoints, or agents that are not known to run.
func TestPacketCallersAreServedSoonAfterAllStart(t *testing.T) {
	const (
		callers        = 40
		callerInterval = 10 * time.Millisecond
	)
	c := newPacketCluster(t, 3)
	hosts := c.hosts()
	for _, e := range c.endpoints {
		e.Crash()
	}
	for _, host := range hosts {
		c.signal(host, syscall.SIGKILL)
	}
	for _, host := range hosts {
		_ = c.daemons[c.IP(host)].Wait()
	}
	c.router.Check()
	// The fabric finds balancers that are ready faster than this test could measure.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			c.router.Check()
			time.Sleep(10 * time.Millisecond)
		}
	}()
	began := time.Now()
	for _, host := range hosts {
		c.run(host)
	}
	started := time.Since(began)
	answered := make([]time.Duration, callers)
	var group errgroup.Group
	for i := range callers {
		group.Go(func() error {
			// A caller whose opening packet finds no balancer repeats it after 200 ms: only callers that
			// begin later show when the first answer was possible.
			time.Sleep(time.Duration(i) * callerInterval)
			for time.Since(began) < packetRequestTimeout {
				flow, err := c.caller.Open(ordersAddress)
				if err != nil {
					continue // the caller gave up, or was refused, and opens a new flow
				}
				if _, err := flow.Request(fmt.Sprint("r", requests.Add(1)), packetRequestTimeout); err == nil {
					answered[i] = time.Since(began)
					return nil
				}
			}
			return &notServedError{caller: i}
		})
	}
	must.NoError(t, group.Wait())
	slices.Sort(answered)
	t.Logf("all processes started after %v; first answer after %v, 90%% of callers after %v, all after %v",
		started, answered[0], answered[callers*9/10-1], answered[callers-1])
	must.Less(t, startLimit, answered[callers*9/10-1])
	c.mustUpholdInvariants()
}

// hosts returns the hosts of all daemons.
func (c *packetCluster) hosts() []int {
	var hosts []int
	for i := range c.balancers {
		hosts = append(hosts, packets.BalancerHost+i)
	}
	for i := range c.endpoints {
		hosts = append(hosts, packets.EndpointHost+i)
	}
	return hosts
}

// notServedError reports that a caller got no answer.
type notServedError struct{ caller int }

func (e *notServedError) Error() string { return fmt.Sprint("no answer for caller ", e.caller) }
