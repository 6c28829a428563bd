package soak

import (
	"net/netip"
	"syscall"
	"time"

	"cactustray/standin/packets"
)

// inject carries out one fault and returns after its end.
func (c *cluster) inject(f Fault) error {
	end := c.history.recordFault(f)
	defer end()
	switch f.Kind {
	case KillProcess, StopProcess, PauseProcess:
		return c.injectProcessFault(f)
	case KillAll:
		return c.killAll(f, append(c.balancerHosts(), c.endpointHosts()...))
	case KillBalancers:
		return c.killAll(f, c.balancerHosts())
	case CutLink, CutOneWay, NoisyLink, CutCallers:
		c.injectLinkFault(f)
	case SilenceStore, ResetStore, SlowStore:
		c.injectStreamFault(f, c.storeProxy)
	case SilenceControl, ResetControl:
		c.injectStreamFault(f, c.controlProxy)
	case ForgetHistory:
		c.store.Compact()
	case RestoreStore:
		c.restoreStore(f)
	case AddRoute, RemoveRoute:
		c.injectRouteChange(f)
	case MoveRoute:
		c.moveRoute()
	case EvacuateZone:
		packets.Evacuate(c.store, remoteZone, true)
		c.history.recordEvacuation(true)
		time.Sleep(f.For)
		c.history.recordEvacuation(false)
		packets.Evacuate(c.store, remoteZone, false)
	default:
		return c.injectEndpointFault(f)
	}
	return nil
}

const (
	// writeAgainDelay is how long after a restore what was lost is written again, expiryTime
	// how much later the entries of endpoints that have stopped expire: after three heartbeats.
	writeAgainDelay = 700 * time.Millisecond
	expiryTime      = 3 * time.Second
)

func (c *cluster) restoreStore(f Fault) {
	copied := c.store.Copy()
	time.Sleep(f.For)
	lost := c.store.Restore(copied)
	time.Sleep(writeAgainDelay)
	c.store.WriteAgain(lost)
	time.Sleep(expiryTime)
	c.store.DeleteAgain(lost)
}

func (c *cluster) injectProcessFault(f Fault) error {
	m := c.machines[f.Host]
	m.mu.Lock()
	defer m.mu.Unlock()
	switch f.Kind {
	case PauseProcess:
		return pause(m, f.For)
	case KillProcess:
		return c.restart(m, syscall.SIGKILL, f.For)
	default:
		return c.restart(m, syscall.SIGTERM, 0)
	}
}

func pause(m *machine, length time.Duration) error {
	if err := m.daemon.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(length)
	return m.daemon.Signal(syscall.SIGCONT)
}

// restart ends a daemon by a signal and starts it again some time after its exit. A daemon
// that does not end within maxStopTime is recorded and killed.
func (c *cluster) restart(m *machine, signal syscall.Signal, after time.Duration) error {
	if err := m.daemon.end(signal); err != nil {
		return err
	}
	select {
	case <-m.daemon.Ended():
	case <-time.After(maxStopTime):
		c.history.recordSlowStop(m.host)
		m.daemon.Kill()
	}
	time.Sleep(after)
	return c.startDaemon(m)
}

// killAll kills the daemons of the hosts at once and starts them again one after another, as
// after a power failure.
func (c *cluster) killAll(f Fault, hosts []int) error {
	var all []*machine
	for _, host := range hosts {
		m := c.machines[host]
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
		if err := c.startDaemon(m); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) injectLinkFault(f Fault) {
	fault, directions := cut, []direction{{f.Host, f.Peer}, {f.Peer, f.Host}}
	switch f.Kind {
	case CutOneWay:
		directions = directions[:1]
	case NoisyLink:
		fault = noisy
	case CutCallers:
		directions = []direction{{packets.CallerHost, f.Host}}
	}
	end := c.links.begin(fault, directions...)
	time.Sleep(f.For)
	end()
}

func (c *cluster) injectStreamFault(f Fault, proxies map[int]*proxy) {
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

// extraAddress is the address of the extra route, which AddRoute and RemoveRoute add and
// remove.
var extraAddress = netip.MustParseAddrPort("198.18.0.9:99")

func (c *cluster) injectRouteChange(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.Kind == AddRoute {
		c.routes[extraAddress] = packets.DrawingsService
	} else {
		delete(c.routes, extraAddress)
	}
	c.publish()
	c.history.recordRouteChange(f.Kind == AddRoute)
}

// movingAddress is the address of the moving route, and movingService the name under which
// its requests are numbered. MoveRoute moves it between orders and drawings.
var movingAddress = netip.MustParseAddrPort("198.18.0.7:97")

const movingService = "moving"

func (c *cluster) moveRoute() {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := "orders"
	if c.routes[movingAddress] == next {
		next = packets.DrawingsService
	}
	c.routes[movingAddress] = next
	c.publish()
	c.history.recordMove(next)
}

// remoteZone is the failure domain of remoteHosts, one endpoint of each service at the least.
const remoteZone = "b"

// remoteHosts are the hosts in remoteZone if the plan has evacuations.
var remoteHosts = []int{packets.EndpointHost, packets.EndpointHost + 1, packets.DrawingsHost}

func (c *cluster) injectEndpointFault(f Fault) error {
	m := c.machines[f.Host]
	m.mu.Lock()
	defer m.mu.Unlock()
	switch f.Kind {
	case DarkenEndpoint:
		m.endpoint.SetUnresponsive(true)
		time.Sleep(f.For)
		m.endpoint.SetUnresponsive(false)
	case FillEndpoint:
		m.endpoint.SetFull(true)
		time.Sleep(f.For)
		m.endpoint.SetFull(false)
	case LapseEntry:
		c.store.Delete("servers/" + m.endpoint.Name)
		time.Sleep(f.For)
		c.register(m)
	case CrashEndpoint:
		return c.crash(m, f.For)
	case ReplaceEndpoint:
		m.state = "draining"
		c.register(m)
		c.history.recordDrain(m.endpoint.Name)
		time.Sleep(f.For)
		return c.replace(m, m.service)
	case ReuseAddress:
		return c.reuse(m)
	}
	return nil
}

// removeFromService removes one endpoint from a service's count and returns true, unless
// fewer than two would be left.
func (c *cluster) removeFromService(service string) bool {
	const minEndpoints = 2
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endpointCounts[service] <= minEndpoints {
		return false
	}
	c.endpointCounts[service]--
	return true
}

// crash ends the endpoint of a machine and starts a new one; the former endpoint's entry
// stays in the store for the given time.
func (c *cluster) crash(m *machine, linger time.Duration) error {
	former := m.endpoint.Name
	c.history.recordEnd(former)
	err := c.bootEndpoint(m)
	time.Sleep(linger)
	c.store.Delete("servers/" + former)
	return err
}

// replace ends the endpoint of a machine, removes its entry and starts another endpoint at
// its address.
func (c *cluster) replace(m *machine, service string) error {
	c.history.recordEnd(m.endpoint.Name)
	c.store.Delete("servers/" + m.endpoint.Name)
	m.service = service
	return c.bootEndpoint(m)
}

// reuse gives the machine and its address to the other service, or to a new endpoint of the
// same service if too few endpoints of it would be left.
func (c *cluster) reuse(m *machine) error {
	other := packets.DrawingsService
	if m.service == other {
		other = "orders"
	}
	if !c.removeFromService(m.service) {
		other = m.service
	}
	if err := m.daemon.end(syscall.SIGKILL); err != nil {
		return err
	}
	m.daemon.Wait()
	if err := c.replace(m, other); err != nil {
		return err
	}
	return c.startDaemon(m)
}
