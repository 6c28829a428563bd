package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cactustray/settings"
	"cactustray/standin/fleet"
	"cactustray/standin/packets"

	"github.com/shoenig/test/must"
)

// packetFleet is a deployment of the packet roles: the daemons as real processes,
// the stand-ins inside the test. Each machine is a loopback address of its own, so
// that ports are the same on all of them.
type packetFleet struct {
	t         testing.TB
	dir       string
	binary    string
	net       [2]byte
	ports     map[string]uint16
	store     *packets.Store
	router    *packets.Router
	caller    *packets.Caller
	balancers []string
	endpoints []*packets.Endpoint
	daemons   map[string]*exec.Cmd
	version   int
}

var packetFleets atomic.Uint32

const (
	balancerHost = 10
	endpointHost = 50
	callerHost   = 200
	storeHost    = 250
	drawingsHost = endpointHost + 4
)

var (
	ordersAddress   = netip.MustParseAddrPort("198.18.0.1:8080")
	drawingsAddress = netip.MustParseAddrPort("198.18.0.2:443")
)

// newPacketFleet starts balancers, and four endpoints of orders and two of
// drawings with their agents.
func newPacketFleet(t testing.TB, balancers int) *packetFleet {
	pid := os.Getpid()
	f := &packetFleet{
		t: t, dir: t.TempDir(), binary: filepath.Join(t.TempDir(), "cactustrayd"),
		net:     [2]byte{128 | byte(pid)&0x7f, byte(packetFleets.Add(1))},
		daemons: make(map[string]*exec.Cmd), store: packets.NewStore(),
	}
	output, err := exec.Command("go", "build", "-o", f.binary, "cactustray/cmd/cactustrayd").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	f.pickPorts()
	f.startStore()
	var edges, health []netip.AddrPort
	for i := range balancers {
		f.balancers = append(f.balancers, f.ip(balancerHost+i))
		edges = append(edges, f.at(balancerHost+i, "edge"))
		health = append(health, f.at(balancerHost+i, "health"))
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
	f.caller, err = packets.NewCaller(f.at(callerHost, "edge"), f.router)
	must.NoError(t, err)
	t.Cleanup(f.caller.Close)
	f.await(func() bool { return f.tryRequest(ordersAddress) && f.tryRequest(drawingsAddress) })
	return f
}

func (f *packetFleet) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.net[0], f.net[1], host)
}

func (f *packetFleet) at(host int, port string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(f.ip(host)), f.ports[port])
}

// pickPorts lets the kernel pick ports, which are then free on every machine.
func (f *packetFleet) pickPorts() {
	f.ports = make(map[string]uint16)
	for _, name := range []string{"edge", "peer", "health", "control", "metrics", "endpoint", "outbound", "store"} {
		listener, err := net.Listen("tcp", f.ip(1)+":0")
		must.NoError(f.t, err)
		f.t.Cleanup(func() { _ = listener.Close() })
		f.ports[name] = listener.Addr().(*net.TCPAddr).AddrPort().Port()
	}
}

func (f *packetFleet) startStore() {
	server := &http.Server{Addr: f.at(storeHost, "store").String(), Handler: f.store}
	listener, err := net.Listen("tcp", server.Addr)
	must.NoError(f.t, err)
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
}

func (f *packetFleet) publishRoutes(routes map[netip.AddrPort]string) {
	f.version += 3
	var list []map[string]any
	for address, service := range routes {
		list = append(list, map[string]any{
			"name": "r-" + service, "host": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()), "service": service,
		})
	}
	f.store.Put("op/config", map[string]any{"version": f.version, "routes": list, "limits": map[string]any{"idle-timeout-ms": 15000}})
}

func serviceOf(host int) string {
	if host >= drawingsHost {
		return "drawings"
	}
	return "orders"
}

func (f *packetFleet) startEndpoint(host int) {
	name := fmt.Sprintf("i-%d", host)
	e, err := packets.NewEndpoint(name, serviceOf(host), f.at(host, "endpoint"), f.at(host, "outbound"))
	must.NoError(f.t, err)
	f.t.Cleanup(e.Close)
	f.endpoints = append(f.endpoints, e)
	f.register(host, "ready", 1)
	f.run(host)
}

func (f *packetFleet) register(host int, state string, born int) {
	f.store.Put(fmt.Sprintf("servers/i-%d", host), map[string]any{
		"service": serviceOf(host), "address": f.at(host, "endpoint").String(), "zone": "a", "version": "v1",
		"capacity": 2, "state": state, "cold-left-ms": 0, "seq": 1, "born": born,
	})
}

// run starts the daemon of a machine.
func (f *packetFleet) run(host int) {
	raw, err := json.Marshal(f.settingsOf(host))
	must.NoError(f.t, err)
	f.runWith(host, raw)
}

// runWith starts the daemon of a machine with other settings.
func (f *packetFleet) runWith(host int, raw []byte) {
	file := filepath.Join(f.dir, fmt.Sprint(host)+".json")
	must.NoError(f.t, os.WriteFile(file, raw, 0o600))
	log, err := os.OpenFile(filepath.Join(f.dir, fmt.Sprint(host)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(f.t, err)
	command := exec.Command(f.binary, file)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must.NoError(f.t, command.Start())
	f.daemons[f.ip(host)] = command
	f.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = log.Close()
	})
}

func (f *packetFleet) settingsOf(host int) *settings.Settings {
	p := &settings.PacketSettings{
		Edge: f.at(host, "edge"), Peer: f.at(host, "peer"), Health: f.at(host, "health"),
		FlowSeconds: 60, StopMillis: 4000, LinkMbps: 1000,
	}
	s := &settings.Settings{Node: f.ip(host), Zone: "a", Packets: p, Metrics: f.at(host, "metrics")}
	if host >= endpointHost {
		s.Role, p.Service = settings.PacketAgent, serviceOf(host)
		p.Endpoint, p.Outbound = f.at(host, "endpoint"), f.at(host, "outbound")
		return s
	}
	s.Role, p.Registry, p.Control = settings.PacketBalancer, f.at(storeHost, "store"), f.at(host, "control")
	for i := range 3 {
		p.Seeds = append(p.Seeds, f.at(balancerHost+i, "control").String())
	}
	return s
}

func (f *packetFleet) signal(host int, signal syscall.Signal) {
	must.NoError(f.t, f.daemons[f.ip(host)].Process.Signal(signal))
}

// restart ends a daemon by a signal and starts it anew.
func (f *packetFleet) restart(host int, signal syscall.Signal) {
	f.signal(host, signal)
	_ = f.daemons[f.ip(host)].Wait()
	f.run(host)
}

func (f *packetFleet) await(condition func() bool) {
	f.t.Helper()
	end := time.Now().Add(fleet.Patience)
	for !condition() {
		must.True(f.t, time.Now().Before(end), must.Sprint("condition not met in time"))
		time.Sleep(10 * time.Millisecond)
	}
}

var requests atomic.Uint64

// packetPatience is a caller's time limit: long, since the machine may be busy.
const packetPatience = 10 * time.Second

func (f *packetFleet) tryRequest(service netip.AddrPort) bool {
	flow, err := f.caller.Open(service)
	if err != nil {
		return false
	}
	_, err = flow.Request(fmt.Sprint("r", requests.Add(1)), packetPatience)
	return err == nil
}

// openFeed opens a flow and makes its first request.
func (f *packetFleet) openFeed(service netip.AddrPort) *packetFeed {
	f.t.Helper()
	feed := new(packetFeed)
	f.await(func() bool {
		flow, err := f.caller.Open(service)
		if err != nil {
			return false
		}
		feed.Flow = flow
		feed.endpoint, err = flow.Request(fmt.Sprint("r", requests.Add(1)), packetPatience)
		return err == nil
	})
	return feed
}

type packetFeed struct {
	*packets.Flow
	endpoint string
}

func (f *packetFleet) openFeeds(count int) []*packetFeed {
	var feeds []*packetFeed
	for range count {
		feeds = append(feeds, f.openFeed(ordersAddress))
	}
	return feeds
}

// mustGoOn checks that a flow is still served by its endpoint.
func (f *packetFleet) mustGoOn(feeds []*packetFeed) {
	f.t.Helper()
	for i, feed := range feeds {
		endpoint, err := feed.Request(fmt.Sprint("r", requests.Add(1)), packetPatience)
		must.NoError(f.t, err, must.Sprintf("feed %d at %s", i, feed.endpoint))
		must.EqOp(f.t, feed.endpoint, endpoint)
	}
}

// mustHaveKeptThePromises checks what the endpoints saw: no request ran twice,
// none at another service, no packet was changed.
func (f *packetFleet) mustHaveKeptThePromises() {
	f.t.Helper()
	ran := make(map[string]int)
	for _, e := range f.endpoints {
		counts := e.Counts()
		must.EqOp(f.t, 0, counts.Forged, must.Sprint(e.Name))
		for id, n := range counts.Runs {
			ran[id] += n
		}
	}
	for id, n := range ran {
		must.EqOp(f.t, 1, n, must.Sprintf("request %s ran more than once", id))
	}
}
