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

// registryHost is added to a balancer's host: the address at which it reaches the
// store, through a proxy of its own.
const registryHost = 100

// networks numbers the deployments of this process.
var networks atomic.Uint32

// machine is a machine with a daemon. mu is held while a fault works on the daemon, so
// that faults that meet there come one after another.
type machine struct {
	host int

	mu     sync.Mutex
	daemon *daemon
	// service is that of the endpoint there, and endpoint the one that runs.
	service  string
	endpoint *packets.Endpoint
	boots    int
	state    string
}

// daemon is one process of a machine.
type daemon struct {
	*process.Process
	// told tells that it ends because it was told to.
	told atomic.Bool
}

// end ends the process by a signal.
func (d *daemon) end(signal syscall.Signal) error {
	d.told.Store(true)
	return d.Signal(signal)
}

// world is a running deployment.
type world struct {
	*packets.Deployment
	plan     Plan
	dir      string
	binary   string
	store    *packets.Store
	router   *packets.Router
	caller   *packets.Caller
	links    *links
	registry map[int]*proxy
	control  map[int]*proxy
	machines map[int]*machine
	history  *history
	closers  []func()

	mu      sync.Mutex
	version int
	routes  map[netip.AddrPort]string
	// endpointsOf counts the machines of each service that will stay there.
	endpointsOf map[string]int
}

// newWorld starts a deployment and waits until it serves.
func newWorld(plan Plan, dir, binary string) (*world, error) {
	number := byte(networks.Add(1))
	network := [2]byte{64 | byte(os.Getpid())&0x1f, number}
	d, release, err := packets.NewDeployment(network)
	if err != nil {
		return nil, err
	}
	d.Translate([2]byte{network[0] | 0x20, number})
	w := &world{
		Deployment: d, plan: plan, dir: dir, binary: binary, store: packets.NewStore(),
		registry: make(map[int]*proxy), control: make(map[int]*proxy), machines: make(map[int]*machine),
		history: newHistory(), closers: []func(){release}, endpointsOf: make(map[string]int),
		routes: map[netip.AddrPort]string{packets.OrdersAddress: "orders", packets.DrawingsAddress: "drawings"},
	}
	if err := w.start(); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) balancerHosts() []int { return hosts(packets.BalancerHost, w.plan.Balancers) }
func (w *world) endpointHosts() []int { return hosts(packets.EndpointHost, w.plan.Endpoints) }

func hosts(first, count int) []int {
	list := make([]int, count)
	for i := range list {
		list[i] = first + i
	}
	return list
}

func (w *world) start() error {
	if err := w.startStore(); err != nil {
		return err
	}
	var err error
	if w.links, err = newLinks(w.Deployment, w.balancerHosts(), w.endpointHosts(), w.plan.Seed); err != nil {
		return err
	}
	w.closers = append(w.closers, w.links.close)
	w.publish()
	for _, host := range w.endpointHosts() {
		if err := w.startEndpoint(host); err != nil {
			return err
		}
	}
	if err := w.startBalancers(); err != nil {
		return err
	}
	return w.startCallers()
}

func (w *world) startStore() error {
	listener, err := net.Listen("tcp", w.Bound(packets.StoreHost, "store").String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(listener) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return nil
}

func (w *world) startEndpoint(host int) error {
	m := &machine{host: host, service: packets.ServiceOf(host), state: "ready"}
	w.endpointsOf[m.service]++
	w.machines[host] = m
	if err := w.bootEndpoint(m); err != nil {
		return err
	}
	return w.run(m)
}

// bootEndpoint starts the endpoint of a machine anew, under a new id.
func (w *world) bootEndpoint(m *machine) error {
	m.boots++
	name := fmt.Sprintf("%s-%d", packets.EndpointID(m.host), m.boots)
	endpoint, err := packets.NewEndpoint(name, m.service, w.Bound(m.host, "endpoint"), w.Bound(m.host, "outbound"))
	if err != nil {
		return err
	}
	m.endpoint, m.state = endpoint, "ready"
	w.history.started(endpoint)
	w.register(m)
	return nil
}

func (w *world) register(m *machine) {
	w.RegisterAs(w.store, m.endpoint.Name, m.host, m.service, m.state, m.boots)
}

func (w *world) startBalancers() error {
	for _, host := range w.balancerHosts() {
		registry, err := newProxy(w.At(registryHost+host, "store"), w.Bound(packets.StoreHost, "store"))
		if err != nil {
			return err
		}
		w.registry[host] = registry
		control, err := newProxy(w.At(host, "control"), w.Bound(host, "control"))
		if err != nil {
			return err
		}
		w.control[host] = control
		w.closers = append(w.closers, registry.close, control.close)
		w.machines[host] = &machine{host: host}
		if err := w.run(w.machines[host]); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startCallers() error {
	var edges, health []netip.AddrPort
	for _, host := range w.balancerHosts() {
		edges, health = append(edges, w.At(host, "edge")), append(health, w.Bound(host, "health"))
	}
	w.router = packets.NewRouter(edges, health)
	var err error
	w.caller, err = packets.NewCaller(netip.MustParseAddr(w.IP(packets.CallerHost)), w.Bound(packets.CallerHost, "edge"), w.router)
	if err != nil {
		return err
	}
	w.closers = append(w.closers, w.caller.Close)
	return w.await("all balancers to be ready", func() bool { return w.router.Check() == w.plan.Balancers })
}

// run starts the daemon of a machine.
func (w *world) run(m *machine) error {
	s := w.Settings(m.host)
	if m.endpoint != nil {
		s.Packets.Service = m.service
	} else {
		s.Packets.Registry = w.At(registryHost+m.host, "store")
	}
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, fmt.Sprint(m.host))
	if err := os.WriteFile(file+".json", raw, 0o600); err != nil {
		return err
	}
	started, err := process.Start(w.binary, file+".json", file+".log")
	if err != nil {
		return err
	}
	m.daemon = &daemon{Process: started}
	go w.watch(m.host, m.daemon)
	return nil
}

// watch notes a daemon that ends without having been told to.
func (w *world) watch(host int, d *daemon) {
	code := d.Wait()
	if !d.told.Load() {
		w.history.exited(host, code)
	}
}

// publish writes the desired state.
func (w *world) publish() {
	w.version += 3
	packets.PublishRoutes(w.store, w.version, w.routes)
}

const (
	startPatience = 60 * time.Second
	pollPause     = 10 * time.Millisecond
)

// AwaitError reports that something did not come about.
type AwaitError struct{ What string }

func (e *AwaitError) Error() string { return "waited in vain for " + e.What }

func (w *world) await(what string, condition func() bool) error {
	for end := time.Now().Add(startPatience); !condition(); time.Sleep(pollPause) {
		if time.Now().After(end) {
			return &AwaitError{What: what}
		}
	}
	return nil
}

// close ends everything that the world started.
func (w *world) close() {
	for _, m := range w.machines {
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
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}
