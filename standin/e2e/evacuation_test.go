package e2e

import (
	"encoding/json"
	"errors"
	"net/netip"
	"syscall"
	"testing"

	"cactustray/standin/packets"

	"github.com/shoenig/test/must"
)

// evacuatedZone is a failure domain with two of the four endpoints of orders and all of drawings.
var evacuatedZone = map[int]string{
	endpointHost + 2: "b", endpointHost + 3: "b", endpointHost + 4: "b", endpointHost + 5: "b",
}

// opened returns how many flows have opened at the endpoints of the evacuated failure domain.
func (c *packetCluster) openedInZone() (opened int) {
	for _, e := range c.endpoints[2:] {
		opened += e.Counts().Opened
	}
	return opened
}

func (c *packetCluster) refusesAtOnce(service netip.AddrPort) bool {
	_, err := c.caller.Open(service)
	var reset *packets.ResetError
	return errors.As(err, &reset)
}

// From an order on, no new flow reaches the evacuated failure domain: not through a balancer that
// the registry does not answer, or one that starts, not while the registry does not answer, not after the registry was restored from a copy
// without the order, and not through an agent that starts. Open flows continue, and callers of a
// service without an endpoint elsewhere are refused at once. After the order is withdrawn, all is
// as before.
func TestPacketEvacuation(t *testing.T) {
	t.Parallel()
	c := newZonedPacketCluster(t, 2, evacuatedZone)
	var feeds []*packetFeed
	c.await(func() bool {
		feeds = append(feeds, c.openFeed(ordersAddress))
		return c.openedInZone() > 4
	})
	feeds = append(feeds, c.openFeed(drawingsAddress))
	// The second balancer reaches no registry, and learns of the order from the first.
	cutOff := c.Settings(balancerHost + 1)
	cutOff.Packets.Registry = c.Address(packets.StoreHost+1, "store")
	raw, err := json.Marshal(cutOff)
	must.NoError(t, err)
	c.signal(balancerHost+1, syscall.SIGKILL)
	_ = c.daemons[c.IP(balancerHost+1)].Wait()
	c.runWith(balancerHost+1, raw)
	c.await(func() bool { return c.router.Check() == 2 })
	copied := c.store.Copy()
	packets.Evacuate(c.store, "b", true)
	c.awaitBalancers("failure domain evacuated", `"zone":"b"`)
	c.await(func() bool { return c.refusesAtOnce(drawingsAddress) })
	opened := c.openedInZone()
	nothingOpens := func() {
		t.Helper()
		for range 20 {
			must.True(t, c.tryRequest(ordersAddress))
			must.True(t, c.refusesAtOnce(drawingsAddress))
		}
		must.EqOp(t, opened, c.openedInZone())
		c.mustContinue(feeds)
	}
	nothingOpens()
	c.store.SetMode("", packets.Refuse)
	c.restart(balancerHost, syscall.SIGKILL)
	c.await(func() bool { return c.router.Check() == 2 })
	nothingOpens()
	c.store.SetMode("", packets.Serve)
	c.restart(endpointHost+2, syscall.SIGKILL)
	nothingOpens()
	c.store.Restore(copied)
	c.awaitBalancers("registry was restored from a copy", "")
	c.restart(balancerHost+1, syscall.SIGKILL)
	c.await(func() bool { return c.router.Check() == 2 })
	nothingOpens()
	packets.Evacuate(c.store, "b", false)
	c.awaitBalancers("failure domain back in service", `"zone":"b"`)
	c.await(func() bool { return c.tryRequest(drawingsAddress) })
	c.await(func() bool { return c.tryRequest(ordersAddress) && c.openedInZone() > opened+1 })
	c.mustContinue(feeds)
	c.mustUpholdInvariants()
}
