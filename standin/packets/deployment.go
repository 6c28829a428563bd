package packets

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"

	"cactustray/settings"
)

// Hosts of a deployment, by the last byte of their addresses, and settings of its daemons.
const (
	// BalancerHost is the host of the first balancer, EndpointHost that of the first
	// endpoint. Endpoints from DrawingsHost on belong to DrawingsService, the others to
	// OrdersService.
	BalancerHost = 10
	EndpointHost = 50
	DrawingsHost = EndpointHost + 4
	// CallerHost is the host of all callers, StoreHost that of the store.
	CallerHost = 200
	StoreHost  = 250

	zone           = "a"
	flowSeconds    = 60
	stopMillis     = 4000
	drainMillis    = 3000
	evacuateMillis = 5000
	linkMbps       = 1000
	idleMillis     = 15000
	slots          = 2
)

// Addresses of the services.
var (
	OrdersAddress   = netip.MustParseAddrPort("198.18.0.1:8080")
	DrawingsAddress = netip.MustParseAddrPort("198.18.0.2:443")
)

// Names of the services. Both have the same tag (flow.TagOf), which therefore keeps no packet of one
// from the other.
const (
	OrdersService   = "orders"
	DrawingsService = "drawings-62044"
)

// ServiceOf returns the service of the endpoint on a machine.
func ServiceOf(host int) string {
	if host >= DrawingsHost {
		return DrawingsService
	}
	return OrdersService
}

// Deployment holds the addresses of a deployment's machines: each has a loopback address of
// its own, so that the same port numbers serve all of them.
type Deployment struct {
	net [2]byte
	// bound is the network in which daemons bind their addresses. It equals net, unless
	// Translate has set another.
	bound [2]byte
	ports map[string]uint16
	// evacuateMillis is in the settings of all daemons; 0 leaves it out, as for builds that do not
	// know it.
	evacuateMillis float64
	// zones has the failure domains of machines that are not in zone.
	zones map[int]string
	// Zones are the failure domains to which the other machines belong in turn; if there are none,
	// all of these belong to the same.
	Zones []string
}

// NewDeployment returns a deployment in the network 127.A.B.0/24, where A and B are the two
// bytes of network. The kernel chooses the ports on host 1, where they stay reserved until
// release; all other hosts use the same ones.
func NewDeployment(network [2]byte) (d *Deployment, release func(), err error) {
	d = &Deployment{net: network, bound: network, ports: make(map[string]uint16)}
	var listeners []net.Listener
	release = func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}
	for _, name := range []string{"edge", "peer", "health", "control", "metrics", "endpoint", "outbound", "store"} {
		listener, err := net.Listen("tcp", d.IP(1)+":0")
		if err != nil {
			release()
			return nil, nil, err
		}
		listeners = append(listeners, listener)
		d.ports[name] = listener.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return d, release, nil
}

// Translate makes the daemons bind their addresses in another network. The caller must
// forward there what is sent to the machines' addresses, as the links of package soak do.
func (d *Deployment) Translate(bound [2]byte) { d.bound = bound }

// AllowEvacuations makes the daemons that start from now on follow orders to evacuate a failure domain.
func (d *Deployment) AllowEvacuations() { d.evacuateMillis = evacuateMillis }

// SetZone moves a machine to a failure domain; it must not have been used before.
func (d *Deployment) SetZone(host int, name string) {
	if d.zones == nil {
		d.zones = make(map[int]string)
	}
	d.zones[host] = name
}

// Zone returns the failure domain of a machine.
func (d *Deployment) Zone(host int) string {
	turn := zone
	if len(d.Zones) > 0 {
		turn = d.Zones[host%len(d.Zones)]
	}
	return cmp.Or(d.zones[host], turn)
}

// IP returns the address of a machine.
func (d *Deployment) IP(host int) string { return ip(d.net, host) }

func ip(network [2]byte, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", network[0], network[1], host)
}

// Bound returns the address that a machine's daemon binds, by the name of the port.
func (d *Deployment) Bound(host int, port string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(ip(d.bound, host)), d.ports[port])
}

// Address returns the address at which others reach a machine, by the name of the port.
func (d *Deployment) Address(host int, port string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(d.IP(host)), d.ports[port])
}

// Settings returns the settings of a machine's daemon.
func (d *Deployment) Settings(host int) *settings.Settings {
	p := &settings.PacketSettings{
		Edge: d.Bound(host, "edge"), Peer: d.Bound(host, "peer"), Health: d.Bound(host, "health"),
		FlowSeconds: flowSeconds, StopMillis: stopMillis, EvacuateMillis: d.evacuateMillis, LinkMbps: linkMbps,
	}
	const seeds = 3
	for i := range seeds {
		p.Seeds = append(p.Seeds, d.Address(BalancerHost+i, "control").String())
	}
	s := &settings.Settings{Node: d.IP(host), Zone: d.Zone(host), Packets: p, Metrics: d.Bound(host, "metrics")}
	if host >= EndpointHost {
		s.Role, p.Service = settings.PacketAgent, ServiceOf(host)
		p.Endpoint, p.Outbound = d.Bound(host, "endpoint"), d.Bound(host, "outbound")
		return s
	}
	s.Role, p.Registry, p.Control = settings.PacketBalancer, d.Address(StoreHost, "store"), d.Bound(host, "control")
	p.DrainMillis = drainMillis
	if d.bound != d.net {
		p.Advertised = netip.MustParseAddr(d.IP(host))
	}
	return s
}

// EndpointID returns the id under which the endpoint on a machine registers.
func EndpointID(host int) string { return fmt.Sprintf("i-%d", host) }

// Register writes the registry entry of a machine's endpoint to a store. state is ready or
// draining; incarnation distinguishes the endpoint from earlier ones with the same id.
func (d *Deployment) Register(store *Store, host int, state string, incarnation int) {
	d.RegisterAs(store, EndpointID(host), host, ServiceOf(host), state, incarnation)
}

// RegisterAs writes the registry entry of an endpoint with a given id and service.
func (d *Deployment) RegisterAs(store *Store, id string, host int, service, state string, incarnation int) {
	store.Put("servers/"+id, map[string]any{
		"service": service, "address": d.Address(host, "endpoint").String(), "zone": d.Zone(host), "version": "v1",
		"capacity": slots, "state": state, "cold-left-ms": 0, "seq": store.NextSequence(), "born": incarnation,
	})
}

// PublishRoutes writes a desired state to a store.
func PublishRoutes(store *Store, version int, routes map[netip.AddrPort]string) {
	var list []map[string]any
	for address, service := range routes {
		list = append(list, map[string]any{
			"name": "r-" + service, "host": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()), "service": service,
		})
	}
	store.Put("op/config", map[string]any{"version": version, "routes": list, "limits": map[string]any{"idle-timeout-ms": idleMillis}})
}

// NewEndpointOn starts the endpoint of a machine.
func (d *Deployment) NewEndpointOn(host int) (*Endpoint, error) {
	return NewEndpoint(EndpointID(host), ServiceOf(host), d.Bound(host, "endpoint"), d.Bound(host, "outbound"))
}

// Evacuate writes the order to evacuate a failure domain to a store, and returns it to service if
// begin is false.
func Evacuate(store *Store, zone string, begin bool) {
	if begin {
		store.Put("op/evacuate/"+zone, map[string]any{})
	} else {
		store.Delete("op/evacuate/" + zone)
	}
}
