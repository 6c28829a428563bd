package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cactustray/standin/packets"
	"cactustray/standin/process"
)

// storeProxyHostOffset is added to a balancer's host and gives the host of the proxy through
// which that balancer reaches the store.
const storeProxyHostOffset = 100

// deploymentCount numbers the deployments of this process, so that each has its own network.
var deploymentCount atomic.Uint32

// machine is a machine with a daemon. mu is held while a fault acts on the daemon or the
// endpoint, so that overlapping faults of a machine are carried out one after another.
type machine struct {
	host int

	mu     sync.Mutex
	daemon *daemon
	// endpoint is the machine's current endpoint and service its service; a balancer's machine
	// has neither. boots counts the endpoints started here. state is the state in the
	// endpoint's registry entry, ready or draining.
	service  string
	endpoint *packets.Endpoint
	boots    int
	state    string
}

// daemon is a process of cactustrayd on a machine.
type daemon struct {
	*process.Process
	// stopRequested is true once a fault or close has signalled the process to end.
	stopRequested atomic.Bool
}

// end ends the process by a signal.
func (d *daemon) end(signal syscall.Signal) error {
	d.stopRequested.Store(true)
	return d.Signal(signal)
}

// cluster is a running deployment whose machines reach each other through links and proxies.
type cluster struct {
	*packets.Deployment
	plan   Plan
	dir    string
	binary string
	store  *packets.Store
	router *packets.Router
	caller *packets.Caller
	links  *links
	// storeProxy and controlProxy hold, by balancer host, the proxies from that balancer to
	// the store and from others to its control address.
	storeProxy   map[int]*proxy
	controlProxy map[int]*proxy
	machines     map[int]*machine
	history      *history
	closers      []func()

	mu      sync.Mutex
	version int
	routes  map[netip.AddrPort]string
	// endpointCounts counts the machines that each service had at the start and that no
	// fault has moved to the other service.
	endpointCounts map[string]int
}

// newCluster starts a deployment and waits until all balancers are ready.
func newCluster(plan Plan, dir, binary string) (*cluster, error) {
	number := byte(deploymentCount.Add(1))
	// Machines have addresses in 127.64 to 127.95, and their daemons bind those in 127.96 to
	// 127.127. The process id keeps apart test processes that run at the same time.
	network := [2]byte{64 | byte(os.Getpid())&0x1f, number}
	d, release, err := packets.NewDeployment(network)
	if err != nil {
		return nil, err
	}
	d.Translate([2]byte{network[0] | 0x20, number})
	d.AllowEvacuations()
	c := &cluster{
		Deployment: d, plan: plan, dir: dir, binary: binary, store: packets.NewStore(),
		storeProxy: make(map[int]*proxy), controlProxy: make(map[int]*proxy), machines: make(map[int]*machine),
		history: newHistory(), closers: []func(){release}, endpointCounts: make(map[string]int),
		routes: map[netip.AddrPort]string{packets.OrdersAddress: "orders", packets.DrawingsAddress: packets.DrawingsService},
	}
	if plan.has(EvacuateZone) {
		for _, host := range remoteHosts {
			c.SetZone(host, remoteZone)
		}
	}
	if plan.moves() {
		c.routes[movingAddress] = "orders"
	}
	if err := c.start(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) balancerHosts() []int { return hosts(packets.BalancerHost, c.plan.Balancers) }
func (c *cluster) endpointHosts() []int { return hosts(packets.EndpointHost, c.plan.Endpoints) }

func hosts(first, count int) []int {
	list := make([]int, count)
	for i := range list {
		list[i] = first + i
	}
	return list
}

func (c *cluster) start() error {
	if err := c.startStore(); err != nil {
		return err
	}
	var err error
	if c.links, err = newLinks(c.Deployment, c.balancerHosts(), c.endpointHosts(), c.plan.Seed); err != nil {
		return err
	}
	c.closers = append(c.closers, c.links.close)
	c.publish()
	for _, host := range c.endpointHosts() {
		if err := c.startEndpoint(host); err != nil {
			return err
		}
	}
	if err := c.startBalancers(); err != nil {
		return err
	}
	return c.startCallers()
}

func (c *cluster) startStore() error {
	listener, err := net.Listen("tcp", c.Bound(packets.StoreHost, "store").String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: c.store}
	go func() { _ = server.Serve(listener) }()
	c.closers = append(c.closers, func() { _ = server.Close() })
	return nil
}

func (c *cluster) startEndpoint(host int) error {
	m := &machine{host: host, service: packets.ServiceOf(host), state: "ready"}
	c.endpointCounts[m.service]++
	c.machines[host] = m
	if err := c.bootEndpoint(m); err != nil {
		return err
	}
	return c.startDaemon(m)
}

// bootEndpoint starts a new endpoint on a machine under a new id in place of the former one, if
// any, and registers it.
func (c *cluster) bootEndpoint(m *machine) error {
	m.boots++
	name := fmt.Sprintf("%s-%d", packets.EndpointID(m.host), m.boots)
	var endpoint *packets.Endpoint
	var err error
	if m.endpoint == nil {
		endpoint, err = packets.NewEndpoint(name, m.service, c.Bound(m.host, "endpoint"), c.Bound(m.host, "outbound"))
	} else {
		endpoint, err = m.endpoint.Replace(name, m.service)
	}
	if err != nil {
		return err
	}
	m.endpoint, m.state = endpoint, "ready"
	c.history.recordStart(endpoint)
	c.register(m)
	return nil
}

func (c *cluster) register(m *machine) {
	c.RegisterAs(c.store, m.endpoint.Name, m.host, m.service, m.state, m.boots)
}

func (c *cluster) startBalancers() error {
	for _, host := range c.balancerHosts() {
		storeProxy, err := newProxy(c.Address(storeProxyHostOffset+host, "store"), c.Bound(packets.StoreHost, "store"))
		if err != nil {
			return err
		}
		c.storeProxy[host] = storeProxy
		controlProxy, err := newProxy(c.Address(host, "control"), c.Bound(host, "control"))
		if err != nil {
			return err
		}
		c.controlProxy[host] = controlProxy
		c.closers = append(c.closers, storeProxy.close, controlProxy.close)
		c.machines[host] = &machine{host: host}
		if err := c.startDaemon(c.machines[host]); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startCallers() error {
	var edges, health []netip.AddrPort
	for _, host := range c.balancerHosts() {
		edges, health = append(edges, c.Address(host, "edge")), append(health, c.Bound(host, "health"))
	}
	c.router = packets.NewRouter(edges, health)
	var err error
	c.caller, err = packets.NewCaller(netip.MustParseAddr(c.IP(packets.CallerHost)), c.Bound(packets.CallerHost, "edge"), c.router)
	if err != nil {
		return err
	}
	c.closers = append(c.closers, c.caller.Close)
	return c.await("all balancers to be ready", func() bool { return c.router.Check() == c.plan.Balancers })
}

// startDaemon starts the daemon of a machine.
func (c *cluster) startDaemon(m *machine) error {
	s := c.Settings(m.host)
	if m.endpoint != nil {
		s.Packets.Service = m.service
	} else {
		s.Packets.Registry = c.Address(storeProxyHostOffset+m.host, "store")
	}
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	file := filepath.Join(c.dir, fmt.Sprint(m.host))
	if err := os.WriteFile(file+".json", raw, 0o600); err != nil {
		return err
	}
	started, err := process.Start(c.binary, file+".json", file+".log")
	if err != nil {
		return err
	}
	m.daemon = &daemon{Process: started}
	go c.watch(m.host, m.daemon)
	return nil
}

// watch waits for the end of a daemon and records an exit that was not requested.
func (c *cluster) watch(host int, d *daemon) {
	code := d.Wait()
	if !d.stopRequested.Load() {
		c.history.recordExit(host, code)
	}
}

// publish writes the desired state with a new version.
func (c *cluster) publish() {
	c.version += 3
	packets.PublishRoutes(c.store, c.version, c.routes)
}

const (
	startTimeout = 60 * time.Second
	pollInterval = 10 * time.Millisecond
)

// TimeoutError reports a condition that did not hold within startTimeout.
type TimeoutError struct{ What string }

func (e *TimeoutError) Error() string { return "timed out waiting for " + e.What }

func (c *cluster) await(what string, condition func() bool) error {
	for deadline := time.Now().Add(startTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return &TimeoutError{What: what}
		}
	}
	return nil
}

// close ends all daemons, endpoints and stand-ins of the cluster.
func (c *cluster) close() {
	for _, m := range c.machines {
		m.mu.Lock()
		if m.daemon != nil {
			_ = m.daemon.end(syscall.SIGKILL) // it may have ended
			m.daemon.Wait()
		}
		if m.endpoint != nil {
			m.endpoint.Close()
		}
		m.mu.Unlock()
	}
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
}
