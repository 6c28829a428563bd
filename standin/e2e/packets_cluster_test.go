package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cactustray/standin/packets"
	"cactustray/standin/process"
	"cactustray/standin/testcluster"

	"github.com/shoenig/test/must"
)

// packetCluster is a deployment of the packet roles: the daemons run as real processes,
// the stand-ins in the test's process.
type packetCluster struct {
	*packets.Deployment

	t         testing.TB
	dir       string
	binary    string
	store     *packets.Store
	router    *packets.Router
	caller    *packets.Caller
	balancers []string
	endpoints []*packets.Endpoint
	daemons   map[string]*process.Process
	version   int
}

var packetClusters atomic.Uint32

const (
	balancerHost = packets.BalancerHost
	endpointHost = packets.EndpointHost
)

var ordersAddress, drawingsAddress = packets.OrdersAddress, packets.DrawingsAddress

// newPacketCluster starts the balancers, and four endpoints of the service orders and two
// of drawings, each with its agent.
func newPacketCluster(t testing.TB, balancers int) *packetCluster {
	return newZonedPacketCluster(t, balancers, nil)
}

// newZonedPacketCluster is newPacketCluster with the failure domains of some machines.
func newZonedPacketCluster(t testing.TB, balancers int, zones map[int]string) *packetCluster {
	pid := os.Getpid()
	c := &packetCluster{
		t: t, dir: t.TempDir(), daemons: make(map[string]*process.Process), store: packets.NewStore(),
	}
	var err error
	c.binary, err = process.BuildDaemon(t.TempDir())
	must.NoError(t, err)
	var release func()
	c.Deployment, release, err = packets.NewDeployment([2]byte{128 | byte(pid)&0x7f, byte(packetClusters.Add(1))})
	must.NoError(t, err)
	t.Cleanup(release)
	c.AllowEvacuations()
	for host, zone := range zones {
		c.SetZone(host, zone)
	}
	c.startStore()
	var edges, health []netip.AddrPort
	for i := range balancers {
		c.balancers = append(c.balancers, c.IP(balancerHost+i))
		edges = append(edges, c.Address(balancerHost+i, "edge"))
		health = append(health, c.Address(balancerHost+i, "health"))
	}
	c.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders", drawingsAddress: packets.DrawingsService})
	for i := range 6 {
		c.startEndpoint(endpointHost + i)
	}
	for i := range balancers {
		c.run(balancerHost + i)
	}
	c.router = packets.NewRouter(edges, health)
	c.await(func() bool { return c.router.Check() == balancers })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.router.Run(ctx)
	c.caller, err = packets.NewCaller(netip.MustParseAddr(c.IP(packets.CallerHost)), c.Address(packets.CallerHost, "edge"), c.router)
	must.NoError(t, err)
	t.Cleanup(c.caller.Close)
	c.await(func() bool { return c.tryRequest(ordersAddress) && c.tryRequest(drawingsAddress) })
	return c
}

func (c *packetCluster) startStore() {
	server := &http.Server{Addr: c.Address(packets.StoreHost, "store").String(), Handler: c.store}
	listener, err := net.Listen("tcp", server.Addr)
	must.NoError(c.t, err)
	go func() { _ = server.Serve(listener) }()
	c.t.Cleanup(func() { _ = server.Close() })
}

func (c *packetCluster) publishRoutes(routes map[netip.AddrPort]string) {
	c.version += 3
	packets.PublishRoutes(c.store, c.version, routes)
}

func (c *packetCluster) startEndpoint(host int) {
	e, err := c.NewEndpointOn(host)
	must.NoError(c.t, err)
	c.t.Cleanup(e.Close)
	c.endpoints = append(c.endpoints, e)
	c.register(host, "ready", 1)
	c.run(host)
}

func (c *packetCluster) register(host int, state string, incarnation int) {
	c.Register(c.store, host, state, incarnation)
}

// run starts the daemon of a host with its settings from the deployment.
func (c *packetCluster) run(host int) {
	raw, err := json.Marshal(c.Settings(host))
	must.NoError(c.t, err)
	c.runWith(host, raw)
}

// runWith starts the daemon of a host with the given settings.
func (c *packetCluster) runWith(host int, raw []byte) {
	file := filepath.Join(c.dir, fmt.Sprint(host))
	must.NoError(c.t, os.WriteFile(file+".json", raw, 0o600))
	daemon, err := process.Start(c.binary, file+".json", file+".log")
	must.NoError(c.t, err)
	c.daemons[c.IP(host)] = daemon
	c.t.Cleanup(daemon.Kill)
}

func (c *packetCluster) signal(host int, signal syscall.Signal) {
	must.NoError(c.t, c.daemons[c.IP(host)].Signal(signal))
}

// restart sends a signal to a daemon, waits until it has exited and starts it again.
func (c *packetCluster) restart(host int, signal syscall.Signal) {
	c.signal(host, signal)
	_ = c.daemons[c.IP(host)].Wait()
	c.run(host)
}

func (c *packetCluster) await(condition func() bool) {
	c.t.Helper()
	end := time.Now().Add(testcluster.WaitTimeout)
	for !condition() {
		must.True(c.t, time.Now().Before(end), must.Sprint("condition not met within the timeout"))
		time.Sleep(10 * time.Millisecond)
	}
}

var requests atomic.Uint64

// packetRequestTimeout is a caller's timeout: long, since the machine may be busy.
const packetRequestTimeout = 10 * time.Second

func (c *packetCluster) tryRequest(service netip.AddrPort) bool {
	flow, err := c.caller.Open(service)
	if err != nil {
		return false
	}
	_, err = flow.Request(fmt.Sprint("r", requests.Add(1)), packetRequestTimeout)
	return err == nil
}

// openFeed opens a flow and sends its first request, repeatedly until one succeeds.
func (c *packetCluster) openFeed(service netip.AddrPort) *packetFeed {
	c.t.Helper()
	feed := new(packetFeed)
	c.await(func() bool {
		flow, err := c.caller.Open(service)
		if err != nil {
			return false
		}
		feed.Flow = flow
		feed.endpoint, err = flow.Request(fmt.Sprint("r", requests.Add(1)), packetRequestTimeout)
		return err == nil
	})
	return feed
}

// packetFeed is an open flow and the endpoint that serves it.
type packetFeed struct {
	*packets.Flow
	endpoint string
}

func (c *packetCluster) openFeeds(count int) []*packetFeed {
	var feeds []*packetFeed
	for range count {
		feeds = append(feeds, c.openFeed(ordersAddress))
	}
	return feeds
}

// mustContinue checks that each flow is still served by the same endpoint.
func (c *packetCluster) mustContinue(feeds []*packetFeed) {
	c.t.Helper()
	for i, feed := range feeds {
		endpoint, err := feed.Request(fmt.Sprint("r", requests.Add(1)), packetRequestTimeout)
		must.NoError(c.t, err, must.Sprintf("feed %d at %s", i, feed.endpoint))
		must.EqOp(c.t, feed.endpoint, endpoint)
	}
}

// mustUpholdInvariants checks what the endpoints recorded: no request ran twice, and no
// packet was corrupted.
func (c *packetCluster) mustUpholdInvariants() {
	c.t.Helper()
	ran := make(map[string]int)
	for _, e := range c.endpoints {
		counts := e.Counts()
		must.EqOp(c.t, 0, counts.Corrupted, must.Sprint(e.Name))
		for id, n := range counts.Runs {
			ran[id] += n
		}
	}
	for id, n := range ran {
		must.EqOp(c.t, 1, n, must.Sprintf("request %s ran more than once", id))
	}
}
