package e2e

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"cactustray/standin/packets"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// lostFlowLimit is how long after the start of all processes the last flow that no endpoint
// holds may take to end: a caller of a latency target of 1 s has given up by then.
const lostFlowLimit = 3 * time.Second

// After a loss of power no balancer knows which services routes have left, and no endpoint has
// its flows. Callers get resets soon, also if a machine of another service does not return, or
// returns without its endpoint.
func TestPacketLostFlowsEndPromptly(t *testing.T) {
	const otherService = endpointHost + 4
	scenarios := map[string]func(c *packetCluster) (absent []int){
		"all machines return":       func(*packetCluster) []int { return nil },
		"a machine does not return": func(*packetCluster) []int { return []int{otherService} },
		"a machine has lost its endpoint": func(c *packetCluster) []int {
			c.endpoints[4].SetUnresponsive(true)
			return nil
		},
	}
	for name, prepare := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newPacketCluster(t, 2)
			feeds := c.openFeeds(12)
			for _, e := range c.endpoints {
				e.Crash()
			}
			absent := prepare(c)
			var hosts []int
			for i := range c.balancers {
				hosts = append(hosts, balancerHost+i)
			}
			for i := range c.endpoints {
				hosts = append(hosts, endpointHost+i)
			}
			for _, host := range hosts {
				c.signal(host, syscall.SIGKILL)
			}
			for _, host := range hosts {
				_ = c.daemons[c.IP(host)].Wait()
			}
			began := time.Now()
			for _, host := range hosts {
				if !slices.Contains(absent, host) {
					c.run(host)
				}
			}
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
			t.Logf("reset after %v to %v, median %v", took[0], took[len(took)-1], took[len(took)/2])
			must.Less(t, lostFlowLimit, took[len(took)-1])
		})
	}
}

// notResetError reports that a request on a lost flow ended without a reset.
type notResetError struct{ cause error }

func (e *notResetError) Error() string { return fmt.Sprint("the flow was not reset: ", e.cause) }
