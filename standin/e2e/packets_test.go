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

	"cactustray/standin/packets"

	"github.com/shoenig/test/must"
)

// Open flows survive every planned change: restarts of balancers and agents one after
// another, a new desired state, an endpoint that drains.
func TestPacketFlowsSurvivePlannedChanges(t *testing.T) {
	t.Parallel()
	f := newPacketCluster(t, 3)
	feeds := f.openFeeds(12)
	for i := range 3 {
		f.restart(balancerHost+i, syscall.SIGTERM)
		f.mustContinue(feeds)
		f.await(func() bool { return f.router.Check() == 3 })
		f.mustContinue(feeds)
	}
	for i := range 2 {
		f.restart(endpointHost+i, syscall.SIGTERM)
		f.mustContinue(feeds)
	}
	f.register(endpointHost+2, "draining", 1)
	f.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders"})
	f.mustContinue(feeds)
	f.mustUpholdInvariants()
}

// Open flows survive when balancers and agents are killed and restarted, one by one and
// then all of them, as long as their endpoint runs.
func TestPacketFlowsSurviveKilledBalancersAndAgents(t *testing.T) {
	t.Parallel()
	f := newPacketCluster(t, 2)
	feeds := f.openFeeds(8)
	f.restart(balancerHost, syscall.SIGKILL)
	f.mustContinue(feeds)
	f.restart(endpointHost, syscall.SIGKILL)
	f.mustContinue(feeds)
	for _, host := range []int{balancerHost, balancerHost + 1, endpointHost, endpointHost + 1, endpointHost + 2, endpointHost + 3} {
		f.restart(host, syscall.SIGKILL)
	}
	f.mustContinue(feeds)
	f.mustUpholdInvariants()
}

// A balancer that starts after an endpoint's registry entry has expired does not end the
// flows that the endpoint serves.
func TestPacketFlowsSurviveExpiredRegistryEntry(t *testing.T) {
	t.Parallel()
	f := newPacketCluster(t, 2)
	feeds := f.openFeeds(12)
	for i := range 4 {
		f.store.Delete("servers/" + packets.EndpointID(endpointHost+i))
		f.awaitBalancers("endpoints changed", fmt.Sprintf(`"ready":%d`, 5-i))
	}
	for i := range 2 {
		f.restart(balancerHost+i, syscall.SIGTERM)
		f.mustContinue(feeds)
		f.await(func() bool { return f.router.Check() == 2 })
		f.mustContinue(feeds)
	}
	f.mustUpholdInvariants()
}

// A flow that its endpoint has lost in a crash is reset at once; all other flows continue.
func TestPacketFlowsOfACrashedEndpointAreReset(t *testing.T) {
	t.Parallel()
	f := newPacketCluster(t, 2)
	feeds := f.openFeeds(16)
	crashed := f.endpoints[1]
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
	f.mustContinue(rest)
	must.True(t, f.tryRequest(ordersAddress))
	f.mustUpholdInvariants()
}

// New flows avoid endpoints that are full or unresponsive, although the registry lists
// them as ready.
func TestPacketFlowsAvoidBadEndpoints(t *testing.T) {
	t.Parallel()
	f := newPacketCluster(t, 2)
	f.endpoints[0].SetUnresponsive(true)
	f.endpoints[1].SetFull(true)
	began := time.Now()
	for range 20 {
		must.True(t, f.tryRequest(ordersAddress))
	}
	t.Logf("20 requests took %v", time.Since(began))
	f.endpoints[0].SetUnresponsive(false)
	f.endpoints[1].SetFull(false)
	before := f.endpoints[0].Counts().Opened
	f.await(func() bool { return f.tryRequest(ordersAddress) && f.endpoints[0].Counts().Opened > before })
	f.mustUpholdInvariants()
}

// A draining endpoint gets no new flows once the balancers have received its state, and
// an endpoint that is registered again with the same id and address does.
func TestPacketEndpointDrains(t *testing.T) {
	t.Parallel()
	f := newPacketCluster(t, 2)
	drained := f.endpoints[0]
	f.register(endpointHost, "draining", 1)
	f.awaitBalancers("endpoints changed", `"draining":1`)
	before := drained.Counts().Opened
	for range 20 {
		must.True(t, f.tryRequest(ordersAddress))
	}
	must.EqOp(t, before, drained.Counts().Opened)
	f.store.Delete("servers/i-50")
	f.register(endpointHost, "ready", 2)
	f.await(func() bool { return f.tryRequest(ordersAddress) && drained.Counts().Opened > before })
	f.mustUpholdInvariants()
}

// Every balancer gets the desired state: also one whose requests the store refuses, one
// that starts while the store doesn't answer, and after the store has dropped its history.
func TestPacketDesiredStateReachesAllBalancers(t *testing.T) {
	t.Parallel()
	f := newPacketCluster(t, 3)
	added := netip.MustParseAddrPort("198.18.0.9:99")
	f.store.SetMode(f.IP(balancerHost), packets.Refuse)
	f.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders", drawingsAddress: "drawings", added: "drawings"})
	f.awaitBalancers("desired state in force", `"version":6`)
	must.True(t, f.tryRequest(added))
	f.store.SetMode("", packets.Silent)
	f.restart(balancerHost+1, syscall.SIGKILL)
	f.await(func() bool { return f.router.Check() == 3 })
	must.True(t, f.tryRequest(added))
	f.store.SetMode("", packets.Serve)
	f.store.SetMode(f.IP(balancerHost), packets.Serve)
	f.store.Compact()
	f.store.PutBytes("servers/i-99", []byte("not JSON"))
	f.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders"})
	f.awaitBalancers("desired state in force", `"version":9`)
	_, err := f.caller.Open(added)
	must.Error(t, err)
	must.True(t, f.tryRequest(ordersAddress))
	f.mustUpholdInvariants()
}

// An address that is reused by another service gets no flow of its former service.
func TestPacketAddressReusedByAnotherService(t *testing.T) {
	t.Parallel()
	f := newPacketCluster(t, 2)
	moved := f.endpoints[0]
	f.store.Delete("servers/i-50")
	f.signal(endpointHost, syscall.SIGKILL)
	_ = f.daemons[f.IP(endpointHost)].Wait()
	s := f.Settings(endpointHost)
	s.Packets.Service = "drawings"
	raw, err := json.Marshal(s)
	must.NoError(t, err)
	before := moved.Counts()
	f.runWith(endpointHost, raw)
	for range 20 {
		must.True(t, f.tryRequest(ordersAddress))
	}
	must.EqOp(t, before.Opened, moved.Counts().Opened)
	f.mustUpholdInvariants()
}

// Changed settings take effect on SIGHUP and also without it; the process keeps running.
func TestPacketSettingsChange(t *testing.T) {
	t.Parallel()
	f := newPacketCluster(t, 1)
	for i, signals := range []bool{true, false} {
		s := f.Settings(balancerHost)
		s.Packets.FlowSeconds = 70 + i
		raw, err := json.Marshal(s)
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(filepath.Join(f.dir, "10.json"), raw, 0o600))
		if signals {
			f.signal(balancerHost, syscall.SIGHUP)
		}
		f.awaitBalancers("changed settings in force", `"flow_seconds":7`+string(rune('0'+i)))
	}
	must.True(t, f.tryRequest(ordersAddress))
}

// A request's log lines contain its id, and the balancer serves its metrics.
func TestPacketMetricsAndRequestLog(t *testing.T) {
	t.Parallel()
	f := newPacketCluster(t, 1)
	flow := f.openFeed(ordersAddress)
	_, err := flow.Request("request-to-explain", packetRequestTimeout)
	must.NoError(t, err)
	f.await(func() bool {
		logs, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
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
	response, err := http.Get("http://" + f.Address(balancerHost, "metrics").String() + "/metrics")
	must.NoError(t, err)
	defer response.Body.Close()
	var shown map[string]any
	must.NoError(t, json.NewDecoder(response.Body).Decode(&shown))
	must.MapContainsKey(t, shown, "packets.known")
	must.MapContainsKey(t, shown, "directory.age_ms")
}

// awaitBalancers waits until the log of every balancer has a line that contains the
// event's title and a text.
func (f *packetCluster) awaitBalancers(event, text string) {
	f.t.Helper()
	for i := range f.balancers {
		name := filepath.Join(f.dir, []string{"10", "11", "12"}[i]+".log")
		f.await(func() bool {
			raw, err := os.ReadFile(name)
			must.NoError(f.t, err)
			for line := range strings.Lines(string(raw)) {
				if strings.Contains(line, event) && strings.Contains(line, text) {
					return true
				}
			}
			return false
		})
	}
}
