// Package layout writes the settings, certificates and tickets of a small deployment on
// loopback, for the demo and the tests.
package layout

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"cactustray/identity"
	"cactustray/settings"
	"cactustray/standin/fabric"
	"cactustray/ticket"
	"cactustray/ticket/platform"
)

const (
	// Prefix is the prefix of the deployment's keys on the platform.
	Prefix   = "cactustray/"
	zones    = 4
	tokenKey = "00112233445566778899aabbccddeeff"
	resetKey = "8f3a61c0d27b94e51f06ab38c9de7254036b81f7e29a4dc5b0587c163fe8a24d"
	// Slots is the number of jobs that a backend server runs concurrently.
	Slots          = 4
	maxConnections = 2000
	queueMillis    = 2000
	drainSeconds   = 30
)

// Size sets the size of a deployment.
type Size struct {
	Balancers int
	// Services holds the services' names.
	Services []string
	// Backends is the number of backend servers of each service.
	Backends int
}

// Backend is a backend server and the settings of its agent.
type Backend struct {
	Service  string
	Name     string
	Address  netip.AddrPort
	Settings *settings.Settings
	File     string
}

// Deployment describes a deployment and the files written for it.
type Deployment struct {
	Dir       string
	Platform  netip.AddrPort
	Fabric    fabric.Settings
	Balancers []*settings.Settings
	Backends  []Backend
	Tickets   map[string]*ticket.Ticket
	Operator  identity.Files
	CA        string

	authority *Authority
	ports     *ports
}

// Write creates a deployment and writes its files to dir.
func Write(dir string, size Size) (*Deployment, error) {
	authority, err := NewAuthority(dir)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Dir: dir, ports: newPorts(), authority: authority, CA: authority.file("ca.pem"), Tickets: make(map[string]*ticket.Ticket)}
	d.Platform = d.ports.tcp()
	d.Fabric.Return = d.ports.udp()
	if d.Operator, err = authority.Node(identity.Peer{Role: identity.Operator, Name: "operator"}); err != nil {
		return nil, err
	}
	for i := range size.Balancers {
		if err := d.addBalancer(i); err != nil {
			return nil, err
		}
	}
	for _, service := range size.Services {
		if err := d.addService(service, size.Backends); err != nil {
			return nil, err
		}
	}
	if err := d.setPeers(); err != nil {
		return nil, err
	}
	if err := d.writeTickets(); err != nil {
		return nil, err
	}
	return d, d.writeJSON("fabric.json", d.Fabric)
}

func (d *Deployment) addBalancer(i int) error {
	name := fmt.Sprintf("entry-%d", i+1)
	s, err := d.newSettings(identity.Balancer, name, i)
	if err != nil {
		return err
	}
	s.Role = settings.Balancer
	s.Platform = &settings.Platform{URL: "http://" + d.Platform.String(), Prefix: Prefix}
	s.Balancer = &settings.BalancerSettings{Edge: d.ports.udp(), Fabric: d.Fabric.Return, Health: d.ports.tcp()}
	d.Balancers = append(d.Balancers, s)
	d.Fabric.Balancers = append(d.Fabric.Balancers, fabric.Balancer{Edge: s.Balancer.Edge, Health: s.Balancer.Health})
	return nil
}

// setPeers sets every balancer's peers to the control addresses of the other balancers and
// writes its settings.
func (d *Deployment) setPeers() error {
	for _, s := range d.Balancers {
		for _, other := range d.Balancers {
			if other != s {
				s.Balancer.Peers = append(s.Balancer.Peers, other.Control)
			}
		}
		if err := d.writeJSON(s.Node+".json", s); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) addService(service string, backends int) error {
	address := d.ports.udp()
	d.Fabric.Addresses = append(d.Fabric.Addresses, address)
	t := &ticket.Ticket{
		Number:     1,
		Service:    service,
		Address:    address,
		Limits:     ticket.Limits{Slots: Slots, Connections: maxConnections, QueueMillis: queueMillis, DrainSeconds: drainSeconds},
		Feeds:      []string{"/feed"},
		Idempotent: []string{"/drawing"},
	}
	d.Tickets[service] = t
	files, err := d.authority.Service(service, d.ports.host.AsSlice())
	if err != nil {
		return err
	}
	for i := range backends {
		if err := d.addBackend(t, i, files); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) addBackend(t *ticket.Ticket, i int, callerTLS identity.Files) error {
	name := fmt.Sprintf("%s-%d", t.Service, i+1)
	s, err := d.newSettings(identity.Agent, name, i)
	if err != nil {
		return err
	}
	s.Role = settings.Agent
	s.Agent = &settings.AgentSettings{
		Service:   t.Service,
		Endpoint:  name,
		Backend:   d.ports.tcp(),
		CallerTLS: settings.TLS(callerTLS),
	}
	for _, b := range d.Balancers {
		s.Agent.Balancers = append(s.Agent.Balancers, b.Control)
	}
	t.Endpoints = append(t.Endpoints, ticket.Endpoint{Name: name, Zone: s.Zone, Datagram: s.Datagram, Control: s.Control, Weight: 100})
	d.Backends = append(d.Backends, Backend{Service: t.Service, Name: name, Address: s.Agent.Backend, Settings: s, File: d.file(name + ".json")})
	return d.writeJSON(name+".json", s)
}

func (d *Deployment) newSettings(role identity.Role, name string, i int) (*settings.Settings, error) {
	files, err := d.authority.Node(identity.Peer{Role: role, Name: name})
	if err != nil {
		return nil, err
	}
	return &settings.Settings{
		Node:     name,
		Zone:     fmt.Sprintf("fd-%d", i%zones+1),
		Keys:     []settings.Key{{ID: 1, Secret: tokenKey}},
		ResetKey: resetKey,
		TLS:      settings.TLS(files),
		Datagram: d.ports.udp(),
		Control:  d.ports.tcp(),
	}, nil
}

func (d *Deployment) writeTickets() error {
	for service, t := range d.Tickets {
		if err := d.writeJSON("ticket-"+service+".json", t); err != nil {
			return err
		}
	}
	return d.writeJSON("vms.json", d.VMs())
}

// VMs returns the list of the balancers' VMs as the platform publishes it.
func (d *Deployment) VMs() []platform.VM {
	var vms []platform.VM
	for _, b := range d.Balancers {
		vms = append(vms, platform.VM{
			Name:     b.Node,
			Role:     "balancer",
			Zone:     b.Zone,
			Datagram: b.Datagram.String(),
			Control:  b.Control.String(),
		})
	}
	return vms
}

func (d *Deployment) file(name string) string { return filepath.Join(d.Dir, name) }

func (d *Deployment) writeJSON(name string, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.file(name), raw, 0o600)
}
