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
	pid := os.Getpid()
	f := &packetCluster{
		t: t, dir: t.TempDir(), daemons: make(map[string]*process.Process), store: packets.NewStore(),
	}
	var err error
	f.binary, err = process.BuildDaemon(t.TempDir())
	must.NoError(t, err)
	var release func()
	f.Deployment, release, err = packets.NewDeployment([2]byte{128 | byte(pid)&0x7f, byte(packetClusters.Add(1))})
	must.NoError(t, err)
	t.Cleanup(release)
	f.startStore()
	var edges, health []netip.AddrPort
	for i := range balancers {
		f.balancers = append(f.balancers, f.IP(balancerHost+i))
		edges = append(edges, f.Address(balancerHost+i, "edge"))
		health = append(health, f.Address(balancerHost+i, "health"))
	}
	f.publishRoutes(map[netip.AddrPort]string{ordersAddress: "orders", drawingsAddress: "drawings"})
	for i := range 6 {
		f.startEndpoint(endpointHost + i)
	}
	for i := range balancers {
		f.run(balancerHost + i)
	}
	f.router = packets.NewRouter(edges, health)
	f.await(func() bool { return f.router.Check() == balancers })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.router.Run(ctx)
	f.caller, err = packets.NewCaller(netip.MustParseAddr(f.IP(packets.CallerHost)), f.Address(packets.CallerHost, "edge"), f.router)
	must.NoError(t, err)
	t.Cleanup(f.caller.Close)
	f.await(func() bool { return f.tryRequest(ordersAddress) && f.tryRequest(drawingsAddress) })
	return f
}

func (f *packetCluster) startStore() {
	server := &http.Server{Addr: f.Address(packets.StoreHost, "store").String(), Handler: f.store}
	listener, err := net.Listen("tcp", server.Addr)
	must.NoError(f.t, err)
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
}

func (f *packetCluster) publishRoutes(routes map[netip.AddrPort]string) {
	f.version += 3
	packets.PublishRoutes(f.store, f.version, routes)
}

func (f *packetCluster) startEndpoint(host int) {
	e, err := f.NewEndpointOn(host)
	must.NoError(f.t, err)
	f.t.Cleanup(e.Close)
	f.endpoints = append(f.endpoints, e)
	f.register(host, "ready", 1)
	f.run(host)
}

func (f *packetCluster) register(host int, state string, born int) {
	f.Register(f.store, host, state, born)
}

// run starts the daemon of a host with its settings from the deployment.
func (f *packetCluster) run(host int) {
	raw, err := json.Marshal(f.Settings(host))
	must.NoError(f.t, err)
	f.runWith(host, raw)
}

// runWith starts the daemon of a host with the given settings.
func (f *packetCluster) runWith(host int, raw []byte) {
	file := filepath.Join(f.dir, fmt.Sprint(host))
	must.NoError(f.t, os.WriteFile(file+".json", raw, 0o600))
	daemon, err := process.Start(f.binary, file+".json", file+".log")
	must.NoError(f.t, err)
	f.daemons[f.IP(host)] = daemon
	f.t.Cleanup(daemon.Kill)
}

func (f *packetCluster) signal(host int, signal syscall.Signal) {
	must.NoError(f.t, f.daemons[f.IP(host)].Signal(signal))
}

// restart sends a signal to a daemon, waits until it has exited and starts it again.
func (f *packetCluster) restart(host int, signal syscall.Signal) {
	f.signal(host, signal)
	_ = f.daemons[f.IP(host)].Wait()
	f.run(host)
}

func (f *packetCluster) await(condition func() bool) {
	f.t.Helper()
	end := time.Now().Add(testcluster.WaitTimeout)
	for !condition() {
		must.True(f.t, time.Now().Before(end), must.Sprint("condition not met within the timeout"))
		time.Sleep(10 * time.Millisecond)
	}
}

var requests atomic.Uint64

// packetRequestTimeout is a caller's timeout: long, since the machine may be busy.
const packetRequestTimeout = 10 * time.Second

func (f *packetCluster) tryRequest(service netip.AddrPort) bool {
	flow, err := f.caller.Open(service)
	if err != nil {
		return false
	}
	_, err = flow.Request(fmt.Sprint("r", requests.Add(1)), packetRequestTimeout)
	return err == nil
}

// openFeed opens a flow and sends its first request, repeatedly until one succeeds.
func (f *packetCluster) openFeed(service netip.AddrPort) *packetFeed {
	f.t.Helper()
	feed := new(packetFeed)
	f.await(func() bool {
		flow, err := f.caller.Open(service)
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

func (f *packetCluster) openFeeds(count int) []*packetFeed {
	var feeds []*packetFeed
	for range count {
		feeds = append(feeds, f.openFeed(ordersAddress))
	}
	return feeds
}

// mustContinue checks that each flow is still served by the same endpoint.
func (f *packetCluster) mustContinue(feeds []*packetFeed) {
	f.t.Helper()
	for i, feed := range feeds {
		endpoint, err := feed.Request(fmt.Sprint("r", requests.Add(1)), packetRequestTimeout)
		must.NoError(f.t, err, must.Sprintf("feed %d at %s", i, feed.endpoint))
		must.EqOp(f.t, feed.endpoint, endpoint)
	}
}

// mustUpholdInvariants checks what the endpoints recorded: no request ran twice, and no
// packet was corrupted.
func (f *packetCluster) mustUpholdInvariants() {
	f.t.Helper()
	ran := make(map[string]int)
	for _, e := range f.endpoints {
		counts := e.Counts()
		must.EqOp(f.t, 0, counts.Corrupted, must.Sprint(e.Name))
		for id, n := range counts.Runs {
			ran[id] += n
		}
	}
	for id, n := range ran {
		must.EqOp(f.t, 1, n, must.Sprintf("request %s ran more than once", id))
	}
}
