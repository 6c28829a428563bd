package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// errCannotRun reports that the case could not run.
var errCannotRun = errors.New("the case could not run")

// ports are the same on all machines.
type ports struct{ edge, peer, metrics, ready, control, outbound, app, store uint16 }

// fleet is a small deployment: processes of the system on loopback addresses, and the stand-ins.
type fleet struct {
	ports
	folder    string
	record    *record
	store     *store
	storeAt   netip.AddrPort
	nodes     []*node
	balancers []*node
	agents    []*node
	endpoints []*endpoint
	router    *router
	seeds     []string
	bounds
}

// bounds are figures of the sheet.
type bounds struct{ drainMs, graceS, flowTTL int }

// node is a machine of the system with one process.
type node struct {
	fleet    *fleet
	name     string
	ip       netip.Addr
	zone     string
	settings map[string]any
	process  *exec.Cmd
	ended    chan struct{}
}

func newFleet(r *record, b bounds) (*fleet, error) {
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: r, bounds: b}
	var free []uint16
	for base := 21000 + os.Getpid()%500*16; len(free) < 8; base++ {
		if isFree(uint16(base)) {
			free = append(free, uint16(base))
		}
	}
	f.ports = ports{free[0], free[1], free[2], free[3], free[4], free[5], free[6], free[7]}
	f.storeAt = netip.AddrPortFrom(netip.MustParseAddr("127.77.200.7"), f.ports.store)
	f.store, err = newStore(f.storeAt)
	return f, err
}

// maxMachines bounds the machines of each class.
const maxMachines = 16

// addresses returns the loopback addresses that a fleet may use.
func addresses() []netip.Addr {
	all := []netip.Addr{netip.MustParseAddr("127.77.200.7"), netip.MustParseAddr("127.77.3.1")}
	for i := range byte(maxMachines) {
		all = append(all, netip.AddrFrom4([4]byte{127, 77, 1, i + 1}), netip.AddrFrom4([4]byte{127, 77, 2, i + 1}))
	}
	return all
}

// isFree reports whether a port can be used on the loopback addresses of a fleet.
func isFree(port uint16) bool {
	for _, ip := range addresses() {
		at := netip.AddrPortFrom(ip, port)
		tcp, err := net.Listen("tcp4", at.String())
		if err != nil {
			return false
		}
		_ = tcp.Close()
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		if err != nil {
			return false
		}
		_ = udp.Close()
	}
	return true
}

func (f *fleet) at(ip netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }

// addBalancer adds a machine of the class front; the first three are the seeds.
func (f *fleet) addBalancer(zone string) *node {
	i := len(f.balancers) + 1
	n := &node{fleet: f, name: fmt.Sprintf("front-%d", i), ip: netip.AddrFrom4([4]byte{127, 77, 1, byte(i)}), zone: zone}
	f.balancers, f.nodes = append(f.balancers, n), append(f.nodes, n)
	if len(f.seeds) < 3 {
		f.seeds = append(f.seeds, f.at(n.ip, f.control).String())
	}
	n.settings = map[string]any{
		"edge": f.at(n.ip, f.edge), "peer": f.at(n.ip, f.peer), "health": f.at(n.ip, f.ready), "control": f.at(n.ip, f.control),
		"registry": f.storeAt, "drain_ms": f.drainMs,
	}
	return n
}

// addAgent adds a machine of the class side with its endpoint.
func (f *fleet) addAgent(zone, service string, slots int, work time.Duration) (*node, *endpoint, error) {
	i := len(f.agents) + 1
	n := &node{fleet: f, name: fmt.Sprintf("side-%d", i), ip: netip.AddrFrom4([4]byte{127, 77, 2, byte(i)}), zone: zone}
	f.agents, f.nodes = append(f.agents, n), append(f.nodes, n)
	e, err := newEndpoint(fmt.Sprintf("endpoint-%d", i), service, f.at(n.ip, f.app), f.at(n.ip, f.outbound), slots, work, f.record)
	if err != nil {
		return nil, nil, err
	}
	f.endpoints = append(f.endpoints, e)
	n.settings = map[string]any{
		"edge": f.at(n.ip, f.edge), "peer": f.at(n.ip, f.peer), "health": f.at(n.ip, f.ready), "service": service,
		"endpoint": f.at(n.ip, f.app), "outbound": f.at(n.ip, f.outbound),
	}
	return n, e, nil
}

// start starts the node's process with settings as the template of the deploy file gives them.
// first is true when the whole system starts for the first time.
func (n *node) start(first bool) error {
	role := "packet-agent"
	if n.settings["registry"] != nil {
		role = "packet-balancer"
	}
	packets := map[string]any{
		"seeds": n.fleet.seeds, "flow_seconds": n.fleet.flowTTL, "stop_ms": n.fleet.graceS * 1000, "link_mbps": 1000.0, "first_start": first,
	}
	for key, value := range n.settings {
		packets[key] = value
	}
	raw, err := json.Marshal(map[string]any{
		"node": n.name, "zone": n.zone, "role": role, "metrics": n.fleet.at(n.ip, n.fleet.metrics).String(), "packets": packets,
	})
	if err != nil {
		return err
	}
	file := filepath.Join(n.fleet.folder, n.name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command("target/cactustrayd")
	n.process.Env = []string{"CACTUSTRAY_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	go func(process *exec.Cmd) {
		_ = process.Wait()
		close(ended)
	}(n.process)
	return nil
}

// restart stops the process as the platform does, with SIGTERM and after the grace time SIGKILL,
// and starts it again after a short delay.
func (n *node) restart() error {
	n.fleet.record.add("stop of %s (SIGTERM)", n.name)
	_ = n.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(time.Duration(n.fleet.graceS) * time.Second):
		_ = n.process.Process.Kill()
		<-n.ended
	}
	time.Sleep(200 * time.Millisecond)
	n.fleet.record.add("start of %s", n.name)
	return n.start(false)
}

// startPause is the pause between the starts of two machines: "All machines start within 0.3 s of
// each other, in any order."
const startPause = 19 * time.Millisecond

// startAll starts everything, writes the desired state and the entries, and waits until all
// balancers are in rotation.
func (f *fleet) startAll(desired any) error {
	f.store.put("op/config", desired)
	for i, e := range f.endpoints {
		f.store.put("servers/"+e.name, e.entry(f.agents[i].zone, "ready", 1))
	}
	var edges, ready []netip.AddrPort
	for _, n := range f.nodes {
		if err := n.start(true); err != nil {
			return err
		}
		time.Sleep(startPause)
	}
	for _, n := range f.balancers {
		edges, ready = append(edges, f.at(n.ip, f.edge)), append(ready, f.at(n.ip, f.ready))
	}
	f.router = newRouter(edges, ready)
	for range 100 {
		if f.router.inRotation() == len(f.balancers) {
			time.Sleep(time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: balancers are not ready", errCannotRun)
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Kill()
			<-n.ended
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs:", f.folder)
	}
}

// route returns a route of the desired state.
func route(name string, at netip.AddrPort, service, kind string, goal, limit time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": at.Addr().String(), "prefix": fmt.Sprintf("/%d/", at.Port()), "service": service, "type": kind,
		"timeout-ms": limit.Milliseconds(), "goal-ms": goal.Milliseconds(), "priority": 1, "max-attempts": 1,
	}
}
