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

// Feeds outlive every planned change: balancers and agents that are restarted one
// after another, a new desired state, an endpoint that drains.
func TestPacketFlowsOutlivePlannedChange(t *testing.T) {
	t.Parallel()
	f := newPacketFleet(t, 3)
	feeds := f.openFeeds(12)
	for i := range 3 {
		f.restart(balancerHost+i, syscall.SIGTERM)
		f.mustGoOn(feeds)
		f.await(func() bool { return f.router.Check() == 3 })
		f.mustGoOn(feeds)
	}
	for i := range 2 {
		f.restart(endpointHost+i, syscall.SIGTERM)
		f.mustGoOn(feeds)
	}
	f.register(endpointHost+2, "draining", 1)
	f.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders"})
	f.mustGoOn(feeds)
	f.mustHaveKeptThePromises()
}

// Feeds whose endpoint lives outlive the loss of balancers and agents, also of all
// at once.
func TestPacketFlowsAreFoundAgain(t *testing.T) {
	t.Parallel()
	f := newPacketFleet(t, 2)
	feeds := f.openFeeds(8)
	f.restart(balancerHost, syscall.SIGKILL)
	f.mustGoOn(feeds)
	f.restart(endpointHost, syscall.SIGKILL)
	f.mustGoOn(feeds)
	for _, host := range []int{balancerHost, balancerHost + 1, endpointHost, endpointHost + 1, endpointHost + 2, endpointHost + 3} {
		f.restart(host, syscall.SIGKILL)
	}
	f.mustGoOn(feeds)
	f.mustHaveKeptThePromises()
}

// A balancer that starts while an endpoint's entry has lapsed does not end the flows
// which that endpoint holds.
func TestPacketFlowsOutliveALapsedEntry(t *testing.T) {
	t.Parallel()
	f := newPacketFleet(t, 2)
	feeds := f.openFeeds(12)
	for i := range 4 {
		f.store.Delete("servers/" + packets.EndpointID(endpointHost+i))
		f.awaitBalancers("endpoints changed", fmt.Sprintf(`"ready":%d`, 5-i))
	}
	for i := range 2 {
		f.restart(balancerHost+i, syscall.SIGTERM)
		f.mustGoOn(feeds)
		f.await(func() bool { return f.router.Check() == 2 })
		f.mustGoOn(feeds)
	}
	f.mustHaveKeptThePromises()
}

// A flow that its endpoint has lost is ended at once, and no other.
func TestPacketFlowsOfACrashedEndpointAreReset(t *testing.T) {
	t.Parallel()
	f := newPacketFleet(t, 2)
	feeds := f.openFeeds(16)
	crashed := f.endpoints[1]
	crashed.Crash()
	var rest []*packetFeed
	for _, feed := range feeds {
		if feed.endpoint != crashed.Name {
			rest = append(rest, feed)
			continue
		}
		_, err := feed.Request("lost-"+feed.endpoint, packetPatience)
		var reset *packets.ResetError
		must.True(t, errors.As(err, &reset), must.Sprint(err))
	}
	must.Less(t, len(feeds), len(rest))
	f.mustGoOn(rest)
	must.True(t, f.tryRequest(ordersAddress))
	f.mustHaveKeptThePromises()
}

// New flows avoid endpoints that are full or silent, whatever the registry says.
func TestPacketFlowsAvoidBadEndpoints(t *testing.T) {
	t.Parallel()
	f := newPacketFleet(t, 2)
	f.endpoints[0].SetDark(true)
	f.endpoints[1].SetFull(true)
	began := time.Now()
	for range 20 {
		must.True(t, f.tryRequest(ordersAddress))
	}
	t.Logf("20 requests took %v", time.Since(began))
	f.endpoints[0].SetDark(false)
	f.endpoints[1].SetFull(false)
	before := f.endpoints[0].Counts().Opened
	f.await(func() bool { return f.tryRequest(ordersAddress) && f.endpoints[0].Counts().Opened > before })
	f.mustHaveKeptThePromises()
}

// A draining endpoint takes no new flows once the balancers know, and one that is
// back under the same id and address does.
func TestPacketEndpointDrains(t *testing.T) {
	t.Parallel()
	f := newPacketFleet(t, 2)
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
	f.mustHaveKeptThePromises()
}

// A desired state is in force on every balancer, also on one that the store turns
// away, one that starts while the store is silent, and after a lost history.
func TestPacketDesiredStateReachesAll(t *testing.T) {
	t.Parallel()
	f := newPacketFleet(t, 3)
	added := netip.MustParseAddrPort("198.18.0.9:99")
	f.store.Treat(f.IP(balancerHost), packets.Refuse)
	f.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders", drawingsAddress: "drawings", added: "drawings"})
	f.awaitBalancers("desired state in force", `"version":6`)
	must.True(t, f.tryRequest(added))
	f.store.Treat("", packets.Silent)
	f.restart(balancerHost+1, syscall.SIGKILL)
	f.await(func() bool { return f.router.Check() == 3 })
	must.True(t, f.tryRequest(added))
	f.store.Treat("", packets.Serve)
	f.store.Treat(f.IP(balancerHost), packets.Serve)
	f.store.Forget()
	f.store.PutBytes("servers/i-99", []byte("not JSON"))
	f.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders"})
	f.awaitBalancers("desired state in force", `"version":9`)
	_, err := f.caller.Open(added)
	must.Error(t, err)
	must.True(t, f.tryRequest(ordersAddress))
	f.mustHaveKeptThePromises()
}

// An address that comes back under another service gets no flow of the old one.
func TestPacketAddressChangesItsService(t *testing.T) {
	t.Parallel()
	f := newPacketFleet(t, 2)
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
	f.mustHaveKeptThePromises()
}

// Settings that change take effect on SIGHUP and without it; the process goes on.
func TestPacketSettingsChange(t *testing.T) {
	t.Parallel()
	f := newPacketFleet(t, 1)
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

// Metrics and the lines of a request tell how it went.
func TestPacketObservation(t *testing.T) {
	t.Parallel()
	f := newPacketFleet(t, 1)
	flow := f.openFeed(ordersAddress)
	_, err := flow.Request("request-to-explain", packetPatience)
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
	response, err := http.Get("http://" + f.At(balancerHost, "metrics").String() + "/metrics")
	must.NoError(t, err)
	defer response.Body.Close()
	var shown map[string]any
	must.NoError(t, json.NewDecoder(response.Body).Decode(&shown))
	must.MapContainsKey(t, shown, "packets.known")
	must.MapContainsKey(t, shown, "directory.age_ms")
}

// awaitBalancers waits until the log of every balancer has a line of an event with
// a text in it.
func (f *packetFleet) awaitBalancers(event, text string) {
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
