package e2e

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A service with many endpoints in three failure domains: each balancer is in touch with few
// agents of the others, flows are served, and they survive the loss of all balancers wherever
// their endpoint is, although most agents do not report to the balancer that searches.
func TestPacketFlowsInThreeFailureDomains(t *testing.T) {
	t.Parallel()
	const balancers, added = 3, 24
	c := newPacketCluster(t, balancers)
	c.Zones = []string{"a", "b", "c"}
	for i := range added {
		c.startEndpoint(endpointHost + 6 + i)
	}
	for i := range balancers {
		c.restart(balancerHost+i, syscall.SIGTERM)
	}
	c.await(func() bool { return c.router.Check() == balancers })
	var feeds []*packetFeed
	used := make(map[string]bool)
	for range 60 {
		feeds = append(feeds, c.openFeed(drawingsAddress))
		used[feeds[len(feeds)-1].endpoint] = true
	}
	must.Greater(t, added/2, len(used), must.Sprint("flows are spread over the endpoints of all domains"))
	c.mustContinue(feeds)
	for i := range balancers {
		c.restart(balancerHost+i, syscall.SIGKILL)
	}
	c.mustContinue(feeds)

	// The balancer whose domain has the agents of the other services: 16 agents of the large
	// service are in other domains, and would get 32 hello messages a second.
	const host, seconds = balancerHost + 2, 4
	sent := func() int {
		response, err := http.Get("http://" + c.Address(host, "metrics").String() + "/metrics")
		must.NoError(t, err)
		defer response.Body.Close()
		var shown map[string]struct{ Value int }
		must.NoError(t, json.NewDecoder(response.Body).Decode(&shown))
		return shown["traffic.hello.remote.datagrams"].Value
	}
	c.await(func() bool {
		before := sent()
		time.Sleep(seconds * time.Second)
		rate := float64(sent()-before) / seconds
		t.Logf("hello messages to other failure domains: %.1f a second", rate)
		return rate >= 4 && rate <= 12
	})
	c.mustContinue(feeds)
	c.mustUpholdInvariants()
}
