// Package testcluster runs a small deployment for tests: the daemons as separate processes, the
// stand-ins inside the test's own process.
package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cactustray/control/rpc"
	"cactustray/event"
	"cactustray/identity"
	"cactustray/standin/backend"
	"cactustray/standin/caller"
	"cactustray/standin/fabric"
	"cactustray/standin/layout"
	"cactustray/standin/platform"
	"cactustray/standin/process"
	"cactustray/status/statuspb"
	"cactustray/status/statuspb/statuspbconnect"
	"cactustray/ticket"
	tickets "cactustray/ticket/platform"

	"github.com/shoenig/test/must"
)

const (
	// WaitTimeout is the time limit of each wait for a condition. It is far longer than any
	// condition should take.
	WaitTimeout  = 60 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Cluster is one running deployment.
type Cluster struct {
	*layout.Deployment
	Platform *platform.Service
	Fabric   *fabric.Fabric
	Servers  map[string]*backend.Server // by name

	t        testing.TB
	binary   string
	operator *http.Client
	daemons  map[string]*process.Process
}

// New writes the files of a deployment and starts the stand-ins, but no daemon.
func New(t testing.TB, size layout.Size) *Cluster {
	d, err := layout.Write(t.TempDir(), size)
	must.NoError(t, err)
	id, err := identity.Load(d.Operator)
	must.NoError(t, err)
	c := &Cluster{
		Deployment: d,
		Platform:   platform.New(),
		Servers:    make(map[string]*backend.Server),
		t:          t,
		binary:     build(t),
		operator:   rpc.NewClient(id),
		daemons:    make(map[string]*process.Process),
	}
	c.startStandins()
	c.publishAll()
	return c
}

// Start starts a deployment with all daemons and waits until every daemon has its tickets in
// force.
func Start(t testing.TB, size layout.Size) *Cluster {
	c := New(t, size)
	for _, name := range c.Names() {
		c.Run(name)
	}
	for _, tk := range c.Tickets {
		c.AwaitTicket(tk.Service, tk.Number)
	}
	return c
}

func build(t testing.TB) string {
	binary, err := process.BuildDaemon(t.TempDir())
	must.NoError(t, err)
	return binary
}

func (c *Cluster) startStandins() {
	c.serve(c.Deployment.Platform, c.Platform)
	for _, b := range c.Backends {
		c.Servers[b.Name] = backend.New(b.Name, layout.Slots)
		c.serve(b.Address, c.Servers[b.Name].Handler())
	}
	var err error
	c.Fabric, err = fabric.New(c.Deployment.Fabric)
	must.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Fabric.Run(ctx)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (c *Cluster) serve(address netip.AddrPort, handler http.Handler) {
	server := &http.Server{Addr: address.String(), Handler: handler}
	go func() { _ = server.ListenAndServe() }()
	c.t.Cleanup(func() { _ = server.Close() })
}

func (c *Cluster) publishAll() {
	c.put("vms", c.VMs())
	for _, tk := range c.Tickets {
		c.Publish(tk)
	}
}

// PublishVMs writes the list of VMs to the platform stand-in.
func (c *Cluster) PublishVMs(vms []tickets.VM) { c.put("vms", vms) }

// Publish writes a ticket to the platform stand-in, as operators do.
func (c *Cluster) Publish(tk *ticket.Ticket) { c.put("tickets/"+tk.Service, tk) }

func (c *Cluster) put(key string, value any) {
	raw, err := json.Marshal(value)
	must.NoError(c.t, err)
	c.Platform.Put(layout.Prefix+key, raw)
}

// Names returns the names of all daemons.
func (c *Cluster) Names() []string {
	var names []string
	for _, b := range c.Balancers {
		names = append(names, b.Node)
	}
	for _, b := range c.Backends {
		names = append(names, b.Name)
	}
	return names
}

// Controls returns the control addresses of all daemons.
func (c *Cluster) Controls() []netip.AddrPort {
	var controls []netip.AddrPort
	for _, b := range c.Balancers {
		controls = append(controls, b.Control)
	}
	for _, b := range c.Backends {
		controls = append(controls, b.Settings.Control)
	}
	return controls
}

// Run starts one daemon.
func (c *Cluster) Run(name string) {
	file := filepath.Join(c.Dir, name)
	daemon, err := process.Start(c.binary, file+".json", file+".log")
	must.NoError(c.t, err)
	c.daemons[name] = daemon
	c.t.Cleanup(daemon.Kill)
}

// Signal sends a signal to one daemon: SIGKILL, SIGTERM, SIGSTOP or SIGCONT.
func (c *Cluster) Signal(name string, signal syscall.Signal) {
	must.NoError(c.t, c.daemons[name].Signal(signal))
}

// PID returns the process id of one daemon.
func (c *Cluster) PID(name string) int { return c.daemons[name].PID() }

// AwaitExit waits until a daemon has exited and returns its exit code, or -1 if a signal ended
// it.
func (c *Cluster) AwaitExit(name string) int {
	return c.daemons[name].Wait()
}

// Caller returns a new caller with its own connections.
func (c *Cluster) Caller() *caller.Caller {
	client, err := caller.New(c.CA)
	must.NoError(c.t, err)
	c.t.Cleanup(func() { _ = client.Close() })
	return client
}

// URL returns the URL of a path at a service.
func (c *Cluster) URL(service, path string) string {
	return "https://" + c.Tickets[service].Address.String() + path
}

// Status queries the status of one daemon.
func (c *Cluster) Status(control netip.AddrPort) (*statuspb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), rpc.CallTimeout)
	defer cancel()
	return statuspbconnect.NewStatusServiceClient(c.operator, rpc.BaseURL(control.String())).Status(ctx, &statuspb.StatusRequest{})
}

// AwaitTicket waits until a service's ticket number is in force on every running balancer and
// on every running agent of the service.
func (c *Cluster) AwaitTicket(service string, number ticket.Number) {
	c.Await(func() bool {
		for _, b := range c.Balancers {
			if c.daemons[b.Node] != nil && c.TicketNumber(b.Control, service) != number {
				return false
			}
		}
		for _, b := range c.Backends {
			if b.Service == service && c.daemons[b.Name] != nil && c.TicketNumber(b.Settings.Control, service) != number {
				return false
			}
		}
		return true
	})
}

// TicketNumber returns the number of a service's ticket in force on a daemon, or 0 if there
// is none or the daemon does not answer.
func (c *Cluster) TicketNumber(control netip.AddrPort, service string) ticket.Number {
	response, err := c.Status(control)
	if err != nil {
		return 0
	}
	for _, t := range response.Tickets {
		if t.Service == service {
			return ticket.Number(t.Number)
		}
	}
	return 0
}

// HasLogged reports whether a daemon has logged an event.
func (c *Cluster) HasLogged(name string, e event.Event) bool {
	raw, err := os.ReadFile(filepath.Join(c.Dir, name+".log"))
	must.NoError(c.t, err)
	return strings.Contains(string(raw), fmt.Sprintf(`"event":%d,`, e.Number))
}

// OpenRequests returns how many requests run or are queued on an agent, or 0 if it does not
// answer.
func (c *Cluster) OpenRequests(control netip.AddrPort) int64 {
	response, err := c.Status(control)
	if err != nil {
		return 0
	}
	return response.GetRequests() + response.GetQueued()
}

// Log writes a line to the test's log.
func (c *Cluster) Log(values ...any) { c.t.Log(values...) }

// Await polls until a condition holds, and fails the test after WaitTimeout.
func (c *Cluster) Await(condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatal("timed out waiting for a condition")
		}
		time.Sleep(pollInterval)
	}
}
