package soak

import (
	"net/netip"
	"syscall"
	"time"

	"cactustray/standin/packets"
)

// inject lets one fault begin and end.
func (w *world) inject(f Fault) error {
	end := w.history.fault(f)
	defer end()
	switch f.Kind {
	case KillProcess, StopProcess, PauseProcess:
		return w.process(f)
	case KillAll:
		return w.killAll(f)
	case CutLink, CutOneWay, NoisyLink, CutCallers:
		w.link(f)
	case SilenceStore, ResetStore, SlowStore:
		w.stream(f, w.registry)
	case SilenceControl, ResetControl:
		w.stream(f, w.control)
	case ForgetHistory:
		w.store.Forget()
	case AddRoute, RemoveRoute:
		w.route(f)
	default:
		return w.endpointFault(f)
	}
	return nil
}

func (w *world) process(f Fault) error {
	m := w.machines[f.Host]
	m.mu.Lock()
	defer m.mu.Unlock()
	switch f.Kind {
	case PauseProcess:
		return pause(m, f.For)
	case KillProcess:
		return w.restart(m, syscall.SIGKILL, f.For)
	default:
		return w.restart(m, syscall.SIGTERM, 0)
	}
}

func pause(m *machine, length time.Duration) error {
	if err := m.daemon.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(length)
	return m.daemon.Signal(syscall.SIGCONT)
}

// restart ends a daemon by a signal and starts it again after a pause.
func (w *world) restart(m *machine, signal syscall.Signal, after time.Duration) error {
	if err := m.daemon.end(signal); err != nil {
		return err
	}
	select {
	case <-m.daemon.Ended():
	case <-time.After(stopBound):
		w.history.slowStop(m.host)
		m.daemon.Kill()
	}
	time.Sleep(after)
	return w.run(m)
}

// killAll ends all daemons at once and starts them again one after another, as
// machines come back.
func (w *world) killAll(f Fault) error {
	var all []*machine
	for _, host := range append(w.balancerHosts(), w.endpointHosts()...) {
		m := w.machines[host]
		m.mu.Lock()
		defer m.mu.Unlock()
		all = append(all, m)
	}
	for _, m := range all {
		if err := m.daemon.end(syscall.SIGKILL); err != nil {
			return err
		}
	}
	time.Sleep(f.For)
	for _, m := range all {
		<-m.daemon.Ended()
		if err := w.run(m); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) link(f Fault) {
	n, ways := cut, []way{{f.Host, f.Peer}, {f.Peer, f.Host}}
	switch f.Kind {
	case CutOneWay:
		ways = ways[:1]
	case NoisyLink:
		n = noisy
	case CutCallers:
		ways = []way{{packets.CallerHost, f.Host}}
	}
	end := w.links.begin(n, ways...)
	time.Sleep(f.For)
	end()
}

func (w *world) stream(f Fault, proxies map[int]*proxy) {
	kind := silent
	switch f.Kind {
	case ResetStore, ResetControl:
		kind = reset
	case SlowStore:
		kind = slow
	}
	for host, p := range proxies {
		if f.Host == 0 || f.Host == host {
			defer p.begin(kind)()
		}
	}
	time.Sleep(f.For)
}

// extraAddress is the route that comes and goes.
var extraAddress = netip.MustParseAddrPort("198.18.0.9:99")

func (w *world) route(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.Kind == AddRoute {
		w.routes[extraAddress] = "drawings"
	} else {
		delete(w.routes, extraAddress)
	}
	w.publish()
	w.history.routed(f.Kind == AddRoute)
}

func (w *world) endpointFault(f Fault) error {
	m := w.machines[f.Host]
	m.mu.Lock()
	defer m.mu.Unlock()
	switch f.Kind {
	case DarkenEndpoint:
		m.endpoint.SetDark(true)
		time.Sleep(f.For)
		m.endpoint.SetDark(false)
	case FillEndpoint:
		m.endpoint.SetFull(true)
		time.Sleep(f.For)
		m.endpoint.SetFull(false)
	case LapseEntry:
		w.store.Delete("servers/" + m.endpoint.Name)
		time.Sleep(f.For)
		w.register(m)
	case CrashEndpoint:
		return w.crash(m, f.For)
	case ReplaceEndpoint:
		m.state = "draining"
		w.register(m)
		w.history.drained(m.endpoint.Name)
		time.Sleep(f.For)
		return w.replace(m, m.service)
	case ReuseAddress:
		return w.reuse(m)
	}
	return nil
}

// spare takes one endpoint off a service if it keeps two at least.
func (w *world) spare(service string) bool {
	const least = 2
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endpointsOf[service] <= least {
		return false
	}
	w.endpointsOf[service]--
	return true
}

// crash starts the endpoint of a machine anew; the entry of the one before stays for a
// while.
func (w *world) crash(m *machine, lingers time.Duration) error {
	former := m.endpoint.Name
	w.history.ended(former)
	m.endpoint.Close()
	err := w.bootEndpoint(m)
	time.Sleep(lingers)
	w.store.Delete("servers/" + former)
	return err
}

// replace ends the endpoint of a machine and starts another at its address.
func (w *world) replace(m *machine, service string) error {
	w.history.ended(m.endpoint.Name)
	m.endpoint.Close()
	w.store.Delete("servers/" + m.endpoint.Name)
	m.service = service
	return w.bootEndpoint(m)
}

// reuse gives the machine and its address to the other service, unless too few would
// be left.
func (w *world) reuse(m *machine) error {
	other := "drawings"
	if m.service == other {
		other = "orders"
	}
	if !w.spare(m.service) {
		other = m.service
	}
	if err := m.daemon.end(syscall.SIGKILL); err != nil {
		return err
	}
	m.daemon.Wait()
	if err := w.replace(m, other); err != nil {
		return err
	}
	return w.run(m)
}
