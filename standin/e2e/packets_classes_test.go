package e2e

import (
	"fmt"
	"net/netip"
	"syscall"
	"testing"

	"cactustray/standin/packets"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// publishClasses publishes a desired state whose routes state the class of their requests; the
// first is split over two services.
func (c *packetCluster) publishClasses() {
	c.version += 3
	route := func(name string, address netip.AddrPort, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()),
			"type": "idempotent", "timeout-ms": 1500, "goal-ms": 300, "priority": priority,
		}
	}
	split, single := route("r-orders", ordersAddress, 2), route("r-drawings", drawingsAddress, 1)
	split["split"] = []map[string]any{{"service": "orders", "weight": 90}, {"service": packets.DrawingsService, "weight": 10}}
	single["service"] = packets.DrawingsService
	c.store.Put("op/config", map[string]any{"version": c.version, "routes": []map[string]any{split, single}, "limits": map[string]any{"idle-timeout-ms": 60000}})
}

// Opening packets that carry a class must reach the endpoints unchanged, also while many of
// them wait, and flows of a split route must survive restarts like any other.
func TestPacketFlowsOfClasses(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 2)
	c.publishClasses()
	c.awaitBalancers("desired state in force", fmt.Sprintf(`"version":%d`, c.version))
	feeds := c.openFeeds(12)
	var group errgroup.Group
	failed := make([]bool, 200)
	for i := range failed {
		group.Go(func() error {
			address := ordersAddress
			if i%2 == 0 {
				address = drawingsAddress
			}
			failed[i] = !c.tryRequest(address)
			return nil
		})
	}
	must.NoError(t, group.Wait())
	for i := range failed {
		must.False(t, failed[i], must.Sprintf("request %d", i))
	}
	c.mustContinue(feeds)
	for _, host := range []int{balancerHost, endpointHost, endpointHost + 4, balancerHost + 1} {
		c.restart(host, syscall.SIGKILL)
		c.mustContinue(feeds)
	}
	served := make(map[string]bool)
	for _, e := range c.endpoints {
		if e.Counts().Opened > 0 {
			served[e.Service] = true
		}
	}
	must.Eq(t, map[string]bool{"orders": true, packets.DrawingsService: true}, served)
	c.mustUpholdInvariants()
}
