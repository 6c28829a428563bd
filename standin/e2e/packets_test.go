package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cactustray/flow"
	"cactustray/packetagent"
	"cactustray/standin/packets"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
)

// Open flows survive every planned change: restarts of balancers and agents one after
// another, a new desired state, an endpoint that drains.
func TestPacketFlowsSurvivePlannedChanges(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 3)
	feeds := c.openFeeds(12)
	for i := range 3 {
		c.restart(balancerHost+i, syscall.SIGTERM)
		c.mustContinue(feeds)
		c.await(func() bool { return c.router.Check() == 3 })
		c.mustContinue(feeds)
	}
	for i := range 2 {
		c.restart(endpointHost+i, syscall.SIGTERM)
		c.mustContinue(feeds)
	}
	c.register(endpointHost+2, "draining", 1)
	c.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders"})
	c.mustContinue(feeds)
	c.mustUpholdInvariants()
}

// Open flows survive when balancers and agents are killed and restarted, one by one and
// then all of them, as long as their endpoint runs.
func TestPacketFlowsSurviveKilledBalancersAndAgents(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 2)
	feeds := c.openFeeds(8)
	c.restart(balancerHost, syscall.SIGKILL)
	c.mustContinue(feeds)
	c.restart(endpointHost, syscall.SIGKILL)
	c.mustContinue(feeds)
	for _, host := range []int{balancerHost, balancerHost + 1, endpointHost, endpointHost + 1, endpointHost + 2, endpointHost + 3} {
		c.restart(host, syscall.SIGKILL)
	}
	c.mustContinue(feeds)
	c.mustUpholdInvariants()
}

// A balancer that starts after an endpoint's registry entry has expired does not end the
// flows that the endpoint serves.
func TestPacketFlowsSurviveExpiredRegistryEntry(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 2)
	feeds := c.openFeeds(12)
	for i := range 4 {
		c.store.Delete("servers/" + packets.EndpointID(endpointHost+i))
		c.awaitBalancers("endpoints changed", fmt.Sprintf(`"ready":%d`, 5-i))
	}
	for i := range 2 {
		c.restart(balancerHost+i, syscall.SIGTERM)
		c.mustContinue(feeds)
		c.await(func() bool { return c.router.Check() == 2 })
		c.mustContinue(feeds)
	}
	c.mustUpholdInvariants()
}

// A flow that its endpoint has lost in a crash is reset at once; all other flows continue.
func TestPacketFlowsOfACrashedEndpointAreReset(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 2)
	feeds := c.openFeeds(16)
	crashed := c.endpoints[1]
	crashed.Crash()
	var rest []*packetFeed
	for _, feed := range feeds {
		if feed.endpoint != crashed.Name {
			rest = append(rest, feed)
			continue
		}
		_, err := feed.Request("lost-"+feed.endpoint, packetRequestTimeout)
		var reset *packets.ResetError
		must.True(t, errors.As(err, &reset), must.Sprint(err))
	}
	must.Less(t, len(feeds), len(rest))
	c.mustContinue(rest)
	must.True(t, c.tryRequest(ordersAddress))
	c.mustUpholdInvariants()
}

// New flows avoid endpoints that are full or unresponsive, although the registry lists
// them as ready.
func TestPacketFlowsAvoidBadEndpoints(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 2)
	c.endpoints[0].SetUnresponsive(true)
	c.endpoints[1].SetFull(true)
	began := time.Now()
	for range 20 {
		must.True(t, c.tryRequest(ordersAddress))
	}
	t.Logf("20 requests took %v", time.Since(began))
	c.endpoints[0].SetUnresponsive(false)
	c.endpoints[1].SetFull(false)
	before := c.endpoints[0].Counts().Opened
	c.await(func() bool { return c.tryRequest(ordersAddress) && c.endpoints[0].Counts().Opened > before })
	c.mustUpholdInvariants()
}

// A draining endpoint gets no new flows once the balancers have received its state, and
// an endpoint that is registered again with the same id and address does.
func TestPacketEndpointDrains(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 2)
	drained := c.endpoints[0]
	c.register(endpointHost, "draining", 1)
	c.awaitBalancers("endpoints changed", `"draining":1`)
	before := drained.Counts().Opened
	for range 20 {
		must.True(t, c.tryRequest(ordersAddress))
	}
	must.EqOp(t, before, drained.Counts().Opened)
	c.store.Delete("servers/i-50")
	c.register(endpointHost, "ready", 2)
	c.await(func() bool { return c.tryRequest(ordersAddress) && drained.Counts().Opened > before })
	c.mustUpholdInvariants()
}

// Every balancer gets the desired state: also one whose requests the store refuses, one
// that starts while the store doesn't answer, and after the store has dropped its history.
func TestPacketDesiredStateReachesAllBalancers(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 3)
	added := netip.MustParseAddrPort("198.18.0.9:99")
	c.store.SetMode(c.IP(balancerHost), packets.Refuse)
	c.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders", drawingsAddress: packets.DrawingsService, added: packets.DrawingsService})
	c.awaitBalancers("desired state in force", `"version":6`)
	must.True(t, c.tryRequest(added))
	c.store.SetMode("", packets.Silent)
	c.restart(balancerHost+1, syscall.SIGKILL)
	c.await(func() bool { return c.router.Check() == 3 })
	must.True(t, c.tryRequest(added))
	c.store.SetMode("", packets.Serve)
	c.store.SetMode(c.IP(balancerHost), packets.Serve)
	c.store.Compact()
	c.store.PutBytes("servers/i-99", []byte("not JSON"))
	c.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders"})
	c.awaitBalancers("desired state in force", `"version":9`)
	_, err := c.caller.Open(added)
	must.Error(t, err)
	must.True(t, c.tryRequest(ordersAddress))
	c.mustUpholdInvariants()
}

// A registry that is restored from a copy assigns its revisions again. Changes made since, at
// revisions that the balancers know with other content, are in force on all of them, and
// no desired state older than one in force comes back.
func TestPacketRestoredRegistryIsFollowed(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 3)
	kept, added := netip.MustParseAddrPort("198.18.0.8:98"), netip.MustParseAddrPort("198.18.0.9:99")
	copied := c.store.Copy()
	c.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders", kept: packets.DrawingsService})
	c.awaitBalancers("desired state in force", `"version":6`)
	c.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders", kept: packets.DrawingsService})
	c.awaitBalancers("desired state in force", `"version":9`)
	c.store.Restore(copied)
	c.awaitBalancers("registry was restored", `"era":2`)
	must.True(t, c.tryRequest(kept), must.Sprint("a desired state that the registry lost stays in force"))
	c.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders", added: packets.DrawingsService})
	c.awaitBalancers("desired state in force", `"version":12`)
	must.True(t, c.tryRequest(added))
	_, err := c.caller.Open(kept)
	must.Error(t, err)
	c.mustUpholdInvariants()
}

// A balancer that starts after the registry was restored reads a desired state that is older
// than the one in force, and gets that one from the others.
func TestPacketRestartNeverRevertsDesiredState(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 3)
	added := netip.MustParseAddrPort("198.18.0.9:99")
	copied := c.store.Copy()
	c.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders", drawingsAddress: packets.DrawingsService, added: packets.DrawingsService})
	c.awaitBalancers("desired state in force", `"version":6`)
	c.store.Restore(copied)
	c.restart(balancerHost+1, syscall.SIGKILL)
	c.await(func() bool { return c.router.Check() == 3 })
	for range 30 {
		must.True(t, c.tryRequest(added))
	}
	c.mustUpholdInvariants()
}

// An address that is reused by another service gets no flow of its former service.
func TestPacketAddressReusedByAnotherService(t *testing.T) {
	t.Parallel()
	mustReuseAddress(t, "drawings")
}

// Guards against flows that open at a service whose tag equals that of their own.
func TestPacketAddressReusedByServiceWithEqualTag(t *testing.T) {
	t.Parallel()
	must.EqOp(t, flow.TagOf(xxhash.Sum64String(packets.OrdersService)), flow.TagOf(xxhash.Sum64String(packets.DrawingsService)))
	mustReuseAddress(t, packets.DrawingsService)
}

// mustReuseAddress replaces an agent of the service orders by one of another service, while the
// registry still lists the endpoint of orders, and checks that no flow of orders opens there.
func mustReuseAddress(t *testing.T, other string) {
	c := newPacketCluster(t, 2)
	moved := c.endpoints[0]
	c.store.Delete("servers/i-50")
	c.signal(endpointHost, syscall.SIGKILL)
	_ = c.daemons[c.IP(endpointHost)].Wait()
	s := c.Settings(endpointHost)
	s.Packets.Service = other
	raw, err := json.Marshal(s)
	must.NoError(t, err)
	before := moved.Counts()
	c.runWith(endpointHost, raw)
	for range 20 {
		must.True(t, c.tryRequest(ordersAddress))
	}
	must.EqOp(t, before.Opened, moved.Counts().Opened)
	c.mustUpholdInvariants()
}

// Changed settings take effect on SIGHUP and also without it; the process keeps running.
func TestPacketSettingsChange(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 1)
	for i, signals := range []bool{true, false} {
		s := c.Settings(balancerHost)
		s.Packets.FlowSeconds = 70 + float64(i)
		raw, err := json.Marshal(s)
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(filepath.Join(c.dir, "10.json"), raw, 0o600))
		if signals {
			c.signal(balancerHost, syscall.SIGHUP)
		}
		c.awaitBalancers("changed settings in force", `"flow_seconds":7`+string(rune('0'+i)))
	}
	must.True(t, c.tryRequest(ordersAddress))
}

// A request's log lines contain its id, and the balancer serves its metrics.
func TestPacketMetricsAndRequestLog(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 1)
	flow := c.openFeed(ordersAddress)
	_, err := flow.Request("request-to-explain", packetRequestTimeout)
	must.NoError(t, err)
	c.await(func() bool {
		logs, err := filepath.Glob(filepath.Join(c.dir, "*.log"))
		must.NoError(t, err)
		for _, name := range logs {
			raw, err := os.ReadFile(name)
			must.NoError(t, err)
			if strings.Contains(string(raw), "request-to-explain") {
				return true
			}
		}
		return false
	})
	response, err := http.Get("http://" + c.Address(balancerHost, "metrics").String() + "/metrics")
	must.NoError(t, err)
	defer response.Body.Close()
	var shown map[string]any
	must.NoError(t, json.NewDecoder(response.Body).Decode(&shown))
	must.MapContainsKey(t, shown, "packets.known")
	must.MapContainsKey(t, shown, "directory.age_ms")
	must.MapContainsKey(t, shown, "directory.era")
}

// awaitBalancers waits until the log of every balancer has a line that contains the
// event's title and a text.
func (c *packetCluster) awaitBalancers(event, text string) {
	c.t.Helper()
	for i := range c.balancers {
		name := filepath.Join(c.dir, []string{"10", "11", "12"}[i]+".log")
		c.await(func() bool {
			raw, err := os.ReadFile(name)
			must.NoError(c.t, err)
			for line := range strings.Lines(string(raw)) {
				if strings.Contains(line, event) && strings.Contains(line, text) {
					return true
				}
			}
			return false
		})
	}
}

// Guards against resets of open flows after the clock of their endpoint's machine was set back: the
// endpoint seems to have started after its agent, which was killed meanwhile.
func TestPacketFlowsSurviveClockStepAndKilledAgent(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 2)
	const ahead = 5 * time.Second
	c.register(endpointHost, "ready", int(time.Now().Add(ahead).UnixMilli()))
	c.await(func() bool { return c.hasLogged(endpointHost, packetagent.EventFlowsKnown) }) // balancers know that start
	feeds := c.openFeeds(12)
	for began := time.Now(); time.Since(began) < time.Second; { // longer than an agent takes to start
		c.mustContinue(feeds)
	}
	must.NoError(t, os.Remove(filepath.Join(c.dir, fmt.Sprint(endpointHost)+".log")))
	c.restart(endpointHost, syscall.SIGKILL)
	c.await(func() bool { return c.hasLogged(endpointHost, packetagent.EventBalancerFound) })
	for range 3 {
		c.mustContinue(feeds)
	}
	c.mustUpholdInvariants()
}

// Guards against packets of open flows that are tried at many endpoints after planned restarts
// alone: an agent that starts knows the flows of the one before, so that balancers, which have
// been restarted too, find them by their keys.
func TestPacketFlowsAreKnownAfterPlannedRestarts(t *testing.T) {
	t.Parallel()
	c := newPacketCluster(t, 2)
	for i := range 6 { // agents that know all flows of their endpoints
		c.signal(endpointHost+i, syscall.SIGKILL)
		_ = c.daemons[c.IP(endpointHost+i)].Wait()
		must.NoError(t, os.Remove(filepath.Join(c.dir, fmt.Sprint(endpointHost+i)+".log")))
		s := c.Settings(endpointHost + i)
		s.Packets.FirstStart = true
		raw, err := json.Marshal(s)
		must.NoError(t, err)
		c.runWith(endpointHost+i, raw)
		c.await(func() bool { return c.hasLogged(endpointHost+i, packetagent.EventBalancerFound) })
	}
	feeds := c.openFeeds(12)
	c.mustContinue(feeds)
	for i := range 6 {
		c.restart(endpointHost+i, syscall.SIGTERM)
		c.await(func() bool { return c.hasLogged(endpointHost+i, packetagent.EventFlowsTakenOver) })
	}
	for i := range 2 {
		c.restart(balancerHost+i, syscall.SIGTERM)
		c.await(func() bool { return c.router.Check() == 2 })
		c.mustContinue(feeds)
	}
	for i := range 6 {
		must.False(t, c.hasLogged(endpointHost+i, packetagent.EventFlowTried), must.Sprint(endpointHost+i))
	}
	c.mustUpholdInvariants()
}
