package e2e

import (
	"encoding/json"
	"math"
	"net/netip"
	"sync"
	"testing"
	"time"

	"cactustray/standin/packets"

	"github.com/shoenig/test/must"
)

// A cold endpoint gets no more new flows than its service states, although many callers try to open
// flows at once and it is the only one of its service; once it is warm, it gets all.
func TestPacketColdEndpointGetsLimitedFlows(t *testing.T) {
	t.Parallel()
	const (
		host, callers = endpointHost + 6, 60
		rate, excess  = 4, 1.25
		perSecond     = rate * excess
		coldTime      = 4 * time.Second
	)
	c := newPacketCluster(t, 2)
	address := netip.MustParseAddrPort("198.18.0.3:80")
	with := func(host int) []byte {
		s := c.Settings(host)
		s.Packets.ColdExcess = excess
		if host >= endpointHost {
			s.Packets.Service = "sketches"
		}
		raw, err := json.Marshal(s)
		must.NoError(t, err)
		return raw
	}
	for i := range 2 {
		c.signal(balancerHost+i, 9)
		_ = c.daemons[c.IP(balancerHost+i)].Wait()
		c.runWith(balancerHost+i, with(balancerHost+i))
	}
	c.await(func() bool { return c.router.Check() == 2 })
	endpoint, err := packets.NewEndpoint(packets.EndpointID(host), "sketches", c.Bound(host, "endpoint"), c.Bound(host, "outbound"))
	must.NoError(t, err)
	t.Cleanup(endpoint.Close)
	c.version += 3
	c.store.Put("op/config", map[string]any{
		"version": c.version, "limits": map[string]any{"idle-timeout-ms": 15000},
		"services": []any{map[string]any{"name": "sketches", "max-conns": 2000, "cold-start-s": coldTime.Seconds(), "cold-per-s": rate}},
		"routes":   []any{map[string]any{"name": "r", "host": "198.18.0.3", "prefix": "/80/", "service": "sketches"}},
	})
	began := time.Now()
	c.store.Put("servers/"+packets.EndpointID(host), map[string]any{
		"service": "sketches", "address": c.Address(host, "endpoint").String(), "zone": "a", "version": "v1",
		"capacity": 100, "state": "ready", "cold-left-ms": coldTime.Milliseconds(), "seq": c.store.NextSequence(), "born": began.UnixMilli(),
	})
	c.runWith(host, with(host))
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { c.await(func() bool { return c.tryRequest(address) }) })
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	cold := 0
	for isDone := false; !isDone; {
		select {
		case <-done:
			isDone = true
		case <-time.After(20 * time.Millisecond):
		}
		opened, elapsed := endpoint.Counts().Opened, time.Since(began)
		if elapsed < coldTime {
			cold = opened
			must.LessEq(t, int(perSecond*math.Ceil(elapsed.Seconds())), opened, must.Sprint(elapsed))
		}
	}
	t.Logf("%d flows while cold, %d in all after %v", cold, endpoint.Counts().Opened, time.Since(began))
	must.Positive(t, cold)
	must.GreaterEq(t, callers, endpoint.Counts().Opened)
}
