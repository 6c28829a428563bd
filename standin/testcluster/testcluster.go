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
	f := &Cluster{
		Deployment: d,
		Platform:   platform.New(),
		Servers:    make(map[string]*backend.Server),
		t:          t,
		binary:     build(t),
		operator:   rpc.NewClient(id),
		daemons:    make(map[string]*process.Process),
	}
	f.startStandins()
	f.publishAll()
	return f
}

// Start starts a deployment with all daemons and waits until every daemon has its tickets in
// force.
func Start(t testing.TB, size layout.Size) *Cluster {
	f := New(t, size)
	for _, name := range f.Names() {
		f.Run(name)
	}
	for _, tk := range f.Tickets {
		f.AwaitTicket(tk.Service, tk.Number)
	}
	return f
}

func build(t testing.TB) string {
	binary, err := process.BuildDaemon(t.TempDir())
	must.NoError(t, err)
	return binary
}

func (f *Cluster) startStandins() {
	f.serve(f.Deployment.Platform, f.Platform)
	for _, b := range f.Backends {
		f.Servers[b.Name] = backend.New(b.Name, layout.Slots)
		f.serve(b.Address, f.Servers[b.Name].Handler())
	}
	var err error
	f.Fabric, err = fabric.New(f.Deployment.Fabric)
	must.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Fabric.Run(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (f *Cluster) serve(address netip.AddrPort, handler http.Handler) {
	server := &http.Server{Addr: address.String(), Handler: handler}
	go func() { _ = server.ListenAndServe() }()
	f.t.Cleanup(func() { _ = server.Close() })
}

func (f *Cluster) publishAll() {
	f.put("vms", f.VMs())
	for _, tk := range f.Tickets {
		f.Publish(tk)
	}
}

// PublishVMs writes the list of VMs to the platform stand-in.
func (f *Cluster) PublishVMs(vms []tickets.VM) { f.put("vms", vms) }

// Publish writes a ticket to the platform stand-in, as operators do.
func (f *Cluster) Publish(tk *ticket.Ticket) { f.put("tickets/"+tk.Service, tk) }

func (f *Cluster) put(key string, value any) {
	raw, err := json.Marshal(value)
	must.NoError(f.t, err)
	f.Platform.Put(layout.Prefix+key, raw)
}

// Names returns the names of all daemons.
func (f *Cluster) Names() []string {
	var names []string
	for _, b := range f.Balancers {
		names = append(names, b.Node)
	}
	for _, b := range f.Backends {
		names = append(names, b.Name)
	}
	return names
}

// Controls returns the control addresses of all daemons.
func (f *Cluster) Controls() []netip.AddrPort {
	var controls []netip.AddrPort
	for _, b := range f.Balancers {
		controls = append(controls, b.Control)
	}
	for _, b := range f.Backends {
		controls = append(controls, b.Settings.Control)
	}
	return controls
}

// Run starts one daemon.
func (f *Cluster) Run(name string) {
	file := filepath.Join(f.Dir, name)
	daemon, err := process.Start(f.binary, file+".json", file+".log")
	must.NoError(f.t, err)
	f.daemons[name] = daemon
	f.t.Cleanup(daemon.Kill)
}

// Signal sends a signal to one daemon: SIGKILL, SIGTERM, SIGSTOP or SIGCONT.
func (f *Cluster) Signal(name string, signal syscall.Signal) {
	must.NoError(f.t, f.daemons[name].Signal(signal))
}

// PID returns the process id of one daemon.
func (f *Cluster) PID(name string) int { return f.daemons[name].PID() }

// AwaitExit waits until a daemon has exited and returns its exit code, or -1 if a signal ended
// it.
func (f *Cluster) AwaitExit(name string) int {
	return f.daemons[name].Wait()
}

// Caller returns a new caller with its own connections.
func (f *Cluster) Caller() *caller.Caller {
	c, err := caller.New(f.CA)
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

// URL returns the URL of a path at a service.
func (f *Cluster) URL(service, path string) string {
	return "https://" + f.Tickets[service].Address.String() + path
}

// Status queries the status of one daemon.
func (f *Cluster) Status(control netip.AddrPort) (*statuspb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), rpc.CallTimeout)
	defer cancel()
	return statuspbconnect.NewStatusServiceClient(f.operator, rpc.BaseURL(control.String())).Status(ctx, &statuspb.StatusRequest{})
}

// AwaitTicket waits until a service's ticket number is in force on every running balancer and
// on every running agent of the service.
func (f *Cluster) AwaitTicket(service string, number ticket.Number) {
	f.Await(func() bool {
		for _, b := range f.Balancers {
			if f.daemons[b.Node] != nil && f.TicketNumber(b.Control, service) != number {
				return false
			}
		}
		for _, b := range f.Backends {
			if b.Service == service && f.daemons[b.Name] != nil && f.TicketNumber(b.Settings.Control, service) != number {
				return false
			}
		}
		return true
	})
}

// TicketNumber returns the number of a service's ticket in force on a daemon, or 0 if there is none
// or the daemon does not answer.
func (f *Cluster) TicketNumber(control netip.AddrPort, service string) ticket.Number {
	response, err := f.Status(control)
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
func (f *Cluster) HasLogged(name string, e event.Event) bool {
	raw, err := os.ReadFile(filepath.Join(f.Dir, name+".log"))
	must.NoError(f.t, err)
	return strings.Contains(string(raw), fmt.Sprintf(`"event":%d,`, e.Number))
}

// OpenRequests returns how many requests run or are queued on an agent, or 0 if it does not answer.
func (f *Cluster) OpenRequests(control netip.AddrPort) int64 {
	response, err := f.Status(control)
	if err != nil {
		return 0
	}
	return response.GetRequests() + response.GetQueued()
}

// Log writes a line to the test's log.
func (f *Cluster) Log(values ...any) { f.t.Log(values...) }

// Await polls until a condition holds, and fails the test after Patience.
func (f *Cluster) Await(condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatal("timed out waiting for a condition")
		}
		time.Sleep(pollInterval)
	}
}
