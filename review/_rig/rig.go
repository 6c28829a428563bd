// The rig plays the cases of this review that are scripts: it starts the project's daemons as
// separate processes, with the command and the templates of the deploy file, on loopback
// addresses, beside small stand-ins for the users' store, routers, endpoints and clients.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// rig is one deployment. Each machine has a loopback address of its own; ports are the same on all.
type rig struct {
	rec     *record
	dir     string
	prefix  string
	ports   map[string]uint16
	held    []net.Listener
	store   *store
	router  *router
	stop    chan struct{}
	values  map[string]string // of all settings templates
	daemons map[int]*daemon
	zones   map[int]string
}

type daemon struct {
	command *exec.Cmd
	ended   chan struct{}
	stopped bool // by the rig
}

const (
	storeHost    = 250
	routeHost    = 100 // only in packets: the address of a route
	clientHost   = 200
	balancerHost = 10
	endpointHost = 50
)

// newRig reserves addresses and starts the store, with its routes.
func newRig(rec *record, balancers int) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-rig")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	g := &rig{
		rec: rec, dir: dir, prefix: fmt.Sprintf("127.%d.%d.", 16+pid>>8%200, pid%250), ports: make(map[string]uint16), store: newStore(),
		stop: make(chan struct{}), daemons: make(map[int]*daemon), zones: make(map[int]string),
		values: map[string]string{
			"bootstrap": "true", "bounds.flow-ttl-s": "60", "bounds.grace-s": "6", "bounds.drain-ms": "3000",
			"bounds.evacuate-ms": "", "bounds.cold-excess": "", "bounds.cold-slack": "", "limits.link-mbps": "1000.0",
		},
	}
	for _, name := range []string{"datagram", "internal0", "internal1", "ready", "control", "app", "outbound", "store"} {
		l, err := net.Listen("tcp", g.prefix+"1:0")
		if err != nil {
			return nil, err
		}
		g.held = append(g.held, l)
		g.ports[name] = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	listener, err := net.Listen("tcp", g.at(storeHost, "store").String())
	if err != nil {
		return nil, err
	}
	g.held = append(g.held, listener)
	server := &http.Server{Handler: g.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	var seeds []string
	var entries []netip.AddrPort
	var ready []string
	for i := range balancers {
		seeds = append(seeds, g.at(balancerHost+i, "control").String())
		entries = append(entries, g.at(balancerHost+i, "datagram"))
		ready = append(ready, "http://"+g.at(balancerHost+i, "ready").String()+"/healthz")
	}
	text, _ := json.Marshal(seeds[:min(3, len(seeds))])
	g.values["seeds|json"] = string(text)
	g.router = newRouter(entries, ready)
	go g.router.run(g.stop)
	return g, nil
}

func (g *rig) ip(host int) string { return fmt.Sprint(g.prefix, host) }

func (g *rig) at(host int, port string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(g.ip(host)), g.ports[port])
}

var (
	sectionPattern     = regexp.MustCompile(`\{\{#([^}]+)\}\}(.*?)\{\{/([^}]+)\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// settings writes the settings of a machine, from the template of its role.
func (g *rig) settings(host int, service string) (file string, err error) {
	template := "deploy/balancer.json"
	if host >= endpointHost {
		template = "deploy/agent.json"
	}
	raw, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	values := map[string]string{
		"node-name": fmt.Sprint("node-", host), "zone": g.zone(host), "ip": g.ip(host), "service": service,
		"internal-ports.0": fmt.Sprint(g.ports["internal0"]), "internal-ports.1": fmt.Sprint(g.ports["internal1"]),
		"listen.datagram-addr": g.at(host, "datagram").String(), "listen.ready": g.at(host, "ready").String(),
		"listen.control": g.at(host, "control").String(), "listen.outbound": g.at(host, "outbound").String(),
		"platform.address": g.at(storeHost, "store").String(), "app": g.at(host, "app").String(),
	}
	for name, value := range g.values {
		values[name] = value
	}
	text := sectionPattern.ReplaceAllStringFunc(string(raw), func(section string) string {
		match := sectionPattern.FindStringSubmatch(section)
		if values[match[1]] == "" {
			return ""
		}
		return match[2]
	})
	text = placeholderPattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		return values[strings.Trim(placeholder, "{}")]
	})
	file = filepath.Join(g.dir, fmt.Sprintf("node-%d.json", host))
	return file, os.WriteFile(file, []byte(text), 0o600)
}

func (g *rig) zone(host int) string {
	if zone := g.zones[host]; zone != "" {
		return zone
	}
	return "a"
}

// start starts the daemon of a machine as the deploy file says: target/cactustrayd, its settings
// named by CACTUSTRAY_SETTINGS.
func (g *rig) start(host int, service string) error {
	file, err := g.settings(host, service)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.dir, fmt.Sprintf("node-%d.log", host)), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/cactustrayd")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.dir, "LANG=C", "CACTUSTRAY_SETTINGS=" + file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	d := &daemon{command: command, ended: make(chan struct{})}
	g.daemons[host] = d
	g.rec.add("node-%d starts", host)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(d.ended)
	}()
	return nil
}

// signal sends a signal to the daemon of a machine.
func (g *rig) signal(host int, s syscall.Signal) {
	g.rec.add("node-%d gets signal %v", host, s)
	_ = g.daemons[host].command.Process.Signal(s)
}

// end stops the daemon of a machine and waits for its end, for grace-s at most.
func (g *rig) end(host int, s syscall.Signal) {
	d := g.daemons[host]
	d.stopped = true
	g.signal(host, s)
	select {
	case <-d.ended:
	case <-time.After(6 * time.Second):
		_ = d.command.Process.Kill()
		<-d.ended
	}
	g.rec.add("node-%d has ended", host)
}

// close ends everything.
func (g *rig) close() {
	close(g.stop)
	for _, d := range g.daemons {
		_ = d.command.Process.Kill()
		<-d.ended
	}
	for _, l := range g.held {
		_ = l.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(g.dir)
	} else {
		fmt.Println("logs in", g.dir)
	}
}

// desired writes a desired state with one route to each service and returns when it was acknowledged.
func (g *rig) desired(version int, routes map[string]netip.AddrPort, class map[string]any) time.Time {
	var list, services []map[string]any
	for service, address := range routes {
		r := map[string]any{
			"name": "r-" + service, "host": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()),
			"service": service, "max-attempts": 3,
		}
		for name, value := range class {
			r[name] = value
		}
		list = append(list, r)
		services = append(services, map[string]any{"name": service, "max-conns": 2000})
	}
	return g.store.put("op/config", map[string]any{
		"version": version, "routes": list, "services": services, "limits": map[string]any{"idle-timeout-ms": 15000},
	})
}

var errNotReady = errors.New("the balancers were not ready in time")

// awaitReady waits until all balancers are in rotation.
func (g *rig) awaitReady() error {
	for range 200 {
		if g.router.allIn() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errNotReady
}

// cases are the scripts, by the number of the case.
var cases = map[string]func(g *rig, trouble bool) (int, string, error){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-rig CASE")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1]))
}

// play plays a case and returns its exit code.
func play(name string) int {
	file, err := os.Create(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer file.Close()
	rec := &record{out: bufio.NewWriter(file), began: time.Now()}
	defer rec.out.Flush()
	g, err := newRig(rec, 2)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer g.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		for _, d := range g.daemons {
			_ = d.command.Process.Kill()
		}
		os.Exit(notRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	code, verdict, err := cases[name](g, trouble)
	if err != nil {
		code, verdict = notRun, err.Error()
	}
	rec.add("trouble %v: %s", trouble, verdict)
	fmt.Printf("case %s, trouble %v, exit code %d: %s\n", name, trouble, code, verdict)
	return code
}
