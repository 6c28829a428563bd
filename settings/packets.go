package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// PacketSettings are those of the roles packet-balancer and packet-agent. Their
// network is trusted: they have no keys and no certificates.
type PacketSettings struct {
	// Edge is where a balancer gets callers' packets. Packets for callers go to
	// the callers' addresses at its port.
	Edge netip.AddrPort `json:"edge"`
	// Peer takes datagrams of the system's own nodes; its port is the same on
	// every node.
	Peer netip.AddrPort `json:"peer"`
	// Health is where readiness is asked for over HTTP.
	Health netip.AddrPort `json:"health"`
	// FlowSeconds is the longest life of a flow.
	FlowSeconds int `json:"flow_seconds"`
	// StopMillis is how long a planned stop may take.
	StopMillis int `json:"stop_ms"`
	// LinkMbps is the speed of the machine's link.
	LinkMbps float64 `json:"link_mbps"`
	// FirstStart tells that nothing of the system ran before.
	FirstStart bool `json:"first_start"`

	// Registry is the address of the store that publishes the directory; a
	// balancer's.
	Registry netip.AddrPort `json:"registry,omitzero"`
	// Control is where other balancers fetch the directory; a balancer's.
	Control netip.AddrPort `json:"control,omitzero"`
	// Advertised is the address under which other nodes reach Peer and Control, where
	// an address translation stands between; a balancer's.
	Advertised netip.Addr `json:"advertised,omitzero"`
	// Seeds are control addresses of balancers, asked at the start when the
	// registry does not answer; a balancer's. They may be wrong.
	Seeds []string `json:"seeds,omitempty"`

	// Service is the service of the endpoint beside an agent.
	Service string `json:"service,omitempty"`
	// Endpoint is where that endpoint takes packets.
	Endpoint netip.AddrPort `json:"endpoint,omitzero"`
	// Outbound is where it sends its own.
	Outbound netip.AddrPort `json:"outbound,omitzero"`
}

// FlowLifetime returns the longest life of a flow.
func (p *PacketSettings) FlowLifetime() time.Duration {
	return time.Duration(p.FlowSeconds) * time.Second
}

// StopTime returns how long a planned stop may take.
func (p *PacketSettings) StopTime() time.Duration {
	return time.Duration(p.StopMillis) * time.Millisecond
}

// ReachedPeer returns where other nodes reach Peer.
func (p *PacketSettings) ReachedPeer() netip.AddrPort { return p.reached(p.Peer) }

// ReachedControl returns where other nodes reach Control.
func (p *PacketSettings) ReachedControl() netip.AddrPort { return p.reached(p.Control) }

func (p *PacketSettings) reached(bound netip.AddrPort) netip.AddrPort {
	if !p.Advertised.IsValid() {
		return bound
	}
	return netip.AddrPortFrom(p.Advertised, bound.Port())
}

// SeedAddresses returns the seeds that are addresses; others are of no use, and
// no cause to refuse settings that a platform wrote.
func (p *PacketSettings) SeedAddresses() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, text := range p.Seeds {
		if seed, err := netip.ParseAddrPort(text); err == nil && seed != p.ReachedControl() {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

const (
	maxFlowSeconds = 24 * 60 * 60
	maxStopMillis  = 10 * 60 * 1000
	minLinkMbps    = 1
	maxLinkMbps    = 1_000_000
	allowedIPv4    = "IPv4:port, no wildcard"
)

func (c *checker) packets(s *Settings) {
	c.observation(s)
	c.Require(s.Balancer == nil && s.Agent == nil, "balancer or agent", "present", "nothing in this role")
	p := s.Packets
	if p == nil {
		c.Require(false, "packets", "missing", "the settings of this role")
		return
	}
	c.ipv4("packets.edge", p.Edge)
	c.ipv4("packets.peer", p.Peer)
	c.ipv4("packets.health", p.Health)
	c.Require(p.FlowSeconds >= 1 && p.FlowSeconds <= maxFlowSeconds, "packets.flow_seconds", p.FlowSeconds, fmt.Sprintf("1 to %d", maxFlowSeconds))
	c.Require(p.StopMillis >= 0 && p.StopMillis <= maxStopMillis, "packets.stop_ms", p.StopMillis, fmt.Sprintf("0 to %d", maxStopMillis))
	c.Require(p.LinkMbps >= minLinkMbps && p.LinkMbps <= maxLinkMbps, "packets.link_mbps", p.LinkMbps, fmt.Sprintf("%d to %d", minLinkMbps, maxLinkMbps))
	if s.Role == PacketBalancer {
		c.packetBalancer(p, s.Metrics)
	} else {
		c.packetAgent(p)
	}
}

func (c *checker) packetBalancer(p *PacketSettings, metrics netip.AddrPort) {
	c.ipv4("packets.registry", p.Registry)
	c.ipv4("packets.control", p.Control)
	c.Require(p.Service == "", "packets.service", p.Service, "nothing on a balancer")
	if p.Advertised.IsValid() {
		c.ipv4("packets.advertised", p.ReachedPeer())
	}
	c.distinct([]use{{"packets.edge", p.Edge}, {"packets.peer", p.Peer}})
	c.distinct([]use{{"packets.health", p.Health}, {"packets.control", p.Control}, {"metrics", metrics}})
}

func (c *checker) packetAgent(p *PacketSettings) {
	c.name("packets.service", p.Service)
	c.ipv4("packets.endpoint", p.Endpoint)
	c.ipv4("packets.outbound", p.Outbound)
	c.Require(!p.Advertised.IsValid(), "packets.advertised", p.Advertised, "nothing on an agent")
	c.distinct([]use{{"packets.peer", p.Peer}, {"packets.outbound", p.Outbound}, {"packets.endpoint", p.Endpoint}})
}

func (c *checker) ipv4(field string, value netip.AddrPort) {
	usable := value.Addr().Is4() && value.Port() > 0 && !value.Addr().IsUnspecified() && !value.Addr().IsMulticast()
	c.Require(usable, field, value, allowedIPv4)
}

// Packets tells whether the role serves the packet protocol.
func (r Role) Packets() bool { return slices.Contains([]Role{PacketBalancer, PacketAgent}, r) }
