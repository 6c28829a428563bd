package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cactustray/standin/packets"
	"cactustray/standin/process"
)

// Hosts of a deployment, by the last byte of their loopback addresses.
const (
	balancerHost = 10
	endpointHost = 50
	callerHost   = 200
	storeHost    = 250
)

// restartDelay is how long after its end a process is started again: the "short delay" of the
// users' page, as it was measured on their bench.
const restartDelay = 540 * time.Millisecond

// cluster is a deployment on loopback addresses: the daemons run as processes of their own,
// with settings from the templates of the deploy file.
type cluster struct {
	dir     string
	network [2]byte
	ports   map[string]uint16
	record  *record
	store   *packets.Store
	router  *router
	caller  *caller
	// bounds are the figures of the settings, by their names in the platform's file.
	bounds    map[string]any
	balancers []int
	endpoints map[int]*endpoint

	mu      sync.Mutex
	daemons map[int]*process.Process
}

func newCluster(r *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	c := &cluster{
		dir: dir, network: [2]byte{64 | byte(pid>>8)&0x3f, byte(pid)}, ports: make(map[string]uint16), record: r, store: packets.NewStore(),
		endpoints: make(map[int]*endpoint), daemons: make(map[int]*process.Process),
		bounds: map[string]any{"flow-ttl-s": 60, "grace-s": 6, "drain-ms": 3000},
	}
	for _, name := range []string{"edge", "peer", "metrics", "health", "control", "endpoint", "outbound", "store"} {
		listener, err := net.Listen("tcp", c.ip(1)+":0")
		if err != nil {
			return nil, err
		}
		c.ports[name] = listener.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	server := &http.Server{Addr: c.address(storeHost, "store").String(), Handler: c.store}
	listener, err := net.Listen("tcp", server.Addr)
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(listener) }()
	return c, nil
}

func (c *cluster) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network[0], c.network[1], host)
}

func (c *cluster) address(host int, port string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(c.ip(host)), c.ports[port])
}

// zone returns the zone of a host: all balancers are in that of the callers.
func (c *cluster) zone(host int) string {
	if host < endpointHost {
		return "a"
	}
	return string(rune('a' + host%2))
}

// fields are the fields of the platform's settings file that the templates use.
func (c *cluster) fields(host int, service string, bootstrap bool) map[string]any {
	var seeds []string
	for _, b := range c.balancers[:min(len(c.balancers), 3)] {
		seeds = append(seeds, c.address(b, "control").String())
	}
	fields := map[string]any{
		"node-name": fmt.Sprint("node-", host), "zone": c.zone(host), "ip": c.ip(host), "seeds": seeds, "bootstrap": bootstrap,
		"internal-ports.0": c.ports["peer"], "internal-ports.1": c.ports["metrics"],
		"listen.datagram-addr": c.address(host, "edge"), "listen.ready": c.address(host, "health"),
		"listen.control": c.address(host, "control"), "listen.outbound": c.address(host, "outbound"),
		"app": c.address(host, "endpoint"), "service": service,
		"platform.address": c.address(storeHost, "store"), "limits.link-mbps": 1000,
	}
	for name, value := range c.bounds {
		fields["bounds."+name] = value
	}
	return fields
}

var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// writeSettings fills in the template of the host's role, as the platform does at every start
// and whenever the settings change.
func (c *cluster) writeSettings(host int, bootstrap bool) (string, error) {
	template, service := "deploy/balancer.json", ""
	if e := c.endpoints[host]; e != nil {
		template, service = "deploy/agent.json", e.service
	}
	raw, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	fields := c.fields(host, service, bootstrap)
	filled := placeholder.ReplaceAllStringFunc(string(raw), func(found string) string {
		m := placeholder.FindStringSubmatch(found)
		if m[2] != "" {
			text, _ := json.Marshal(fields[m[1]])
			return string(text)
		}
		return fmt.Sprint(fields[m[1]])
	})
	file := filepath.Join(c.dir, strconv.Itoa(host)+".json")
	next := file + ".next"
	if err := os.WriteFile(next, []byte(filled), 0o600); err != nil {
		return "", err
	}
	return file, os.Rename(next, file)
}

// run starts the daemon of a host, with the command of the deploy file.
func (c *cluster) run(host int, bootstrap bool) error {
	file, err := c.writeSettings(host, bootstrap)
	if err != nil {
		return err
	}
	daemon, err := process.Start("target/cactustrayd", file, filepath.Join(c.dir, strconv.Itoa(host)+".log"))
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.daemons[host] = daemon
	c.mu.Unlock()
	return nil
}

func (c *cluster) daemon(host int) *process.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[host]
}

// stop sends a signal to the daemon of a host, waits until it has ended, and returns its exit
// code.
func (c *cluster) stop(host int, signal syscall.Signal) int {
	daemon := c.daemon(host)
	_ = daemon.Signal(signal)
	code := daemon.Wait()
	c.record.line("process", "node-%d ended, exit code %d", host, code)
	return code
}

// restart stops the daemon of a host and starts it again after restartDelay.
func (c *cluster) restart(host int, signal syscall.Signal) error {
	c.record.line("process", "node-%d gets %v", host, signal)
	c.stop(host, signal)
	time.Sleep(restartDelay)
	c.record.line("process", "node-%d starts again", host)
	return c.run(host, false)
}

// end ends all processes and removes the folder.
func (c *cluster) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, daemon := range c.daemons {
		daemon.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// start starts balancers and endpoints with their agents, and waits until the balancers are
// ready. services has the service of each endpoint.
func (c *cluster) start(balancers int, services []string, slots int, work time.Duration) error {
	var edges, health []netip.AddrPort
	for i := range balancers {
		host := balancerHost + i
		c.balancers = append(c.balancers, host)
		edges, health = append(edges, c.address(host, "edge")), append(health, c.address(host, "health"))
	}
	for i, service := range services {
		host := endpointHost + i
		e, err := startEndpoint(fmt.Sprint("i-", host), service, c.address(host, "endpoint"), c.address(host, "outbound"), slots, work, c.record)
		if err != nil {
			return err
		}
		c.endpoints[host] = e
		c.register(host, "ready", slots)
		if err := c.run(host, true); err != nil {
			return err
		}
	}
	for _, host := range c.balancers {
		if err := c.run(host, true); err != nil {
			return err
		}
	}
	c.router = newRouter(edges, health)
	if err := c.awaitReady(); err != nil {
		return err
	}
	go c.router.run()
	var err error
	c.caller, err = newCaller(netip.MustParseAddr(c.ip(callerHost)), c.address(callerHost, "edge"), c.router)
	return err
}

func (c *cluster) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); c.router.check() < len(c.balancers); {
		if time.Now().After(end) {
			return fmt.Errorf("the balancers are not ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// register writes the entry of an endpoint.
func (c *cluster) register(host int, state string, slots int) {
	e := c.endpoints[host]
	c.store.Put("servers/"+e.name, map[string]any{
		"service": e.service, "address": c.address(host, "endpoint").String(), "zone": c.zone(host), "version": "v1",
		"capacity": slots, "state": state, "cold-left-ms": 0, "seq": c.store.NextSequence(), "born": started.UnixMilli(),
	})
}

var started = time.Now()

// publish writes a desired state; routes has the service of each address.
func (c *cluster) publish(version int, routes map[string]string) {
	var list []map[string]any
	for address, service := range routes {
		host, port, _ := strings.Cut(address, ":")
		list = append(list, map[string]any{"name": "r-" + port, "host": host, "prefix": "/" + port + "/", "service": service})
	}
	c.store.Put("op/config", map[string]any{"version": version, "routes": list, "limits": map[string]any{"idle-timeout-ms": 15000}})
	c.record.line("operator", "version %d acked: %v", version, routes)
}
