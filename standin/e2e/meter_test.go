package e2e

import (
	"flag"
	"net/netip"
	"testing"
	"time"

	"cactustray/standin/layout"
	"cactustray/standin/testcluster"
)

var (
	meterBalancers = flag.Int("meter.balancers", 3, "number of balancers in TestControlIsMetered")
	meterFor       = flag.Duration("meter.for", 0, "how long the daemons run before TestControlIsMetered reads their status")
)

// Every daemon reports the bytes per second of its control traffic and the CPU share of
// its control goroutine.
func TestControlIsMetered(t *testing.T) {
	cluster := testcluster.Start(t, layout.Size{Balancers: *meterBalancers, Services: []string{"orders"}, Backends: 4})
	time.Sleep(*meterFor)
	for _, b := range cluster.Balancers {
		cluster.Await(func() bool { return metered(t, cluster, b.Node, b.Control) })
	}
	for _, b := range cluster.Backends {
		cluster.Await(func() bool { return metered(t, cluster, b.Name, b.Settings.Control) })
	}
}

// metered reports whether a daemon's status has both figures, and logs them.
func metered(t *testing.T, cluster *testcluster.Cluster, name string, address netip.AddrPort) bool {
	r, err := cluster.Status(address)
	if err != nil || r.ControlBytesPerSecond <= 0 || r.ControlCoreShare <= 0 {
		return false
	}
	uptime := time.Duration(r.UptimeMillis) * time.Millisecond
	t.Logf("%s: %.0f bytes/s, control goroutine %.4f%% of a core, up %v", name, r.ControlBytesPerSecond, 100*r.ControlCoreShare, uptime)
	return true
}
