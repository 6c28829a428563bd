package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// PacketSettings are the settings of the roles packet-balancer and packet-agent.
// These roles run in a trusted network, without keys or certificates.
type PacketSettings struct {
	// Edge is the address where a balancer receives callers' packets. Balancers and
	// agents send packets to callers to the caller's IP address and Edge's port; an
	// agent uses only the port.
	Edge netip.AddrPort `json:"edge"`
	// Peer is the address where datagrams from the system's other nodes arrive;
	// its port is the same on every node.
	Peer netip.AddrPort `json:"peer"`
	// Health is the address of the HTTP readiness check.
	Health netip.AddrPort `json:"health"`
	// FlowSeconds is the maximum lifetime of a flow, in seconds.
	FlowSeconds float64 `json:"flow_seconds"`
	// StopMillis is the timeout of a planned stop, in milliseconds.
	StopMillis float64 `json:"stop_ms"`
	// LinkMbps is the speed of the machine's network link, in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
	// FirstStart is true if no node of the system has run before.
	FirstStart bool `json:"first_start"`

	// Registry is the address of the store with the entries of the directory.
	// Only a balancer has it.
	Registry netip.AddrPort `json:"registry,omitzero"`
	// Control is the address where other balancers fetch the directory. Only a
	// balancer has it.
	Control netip.AddrPort `json:"control,omitzero"`
	// Advertised is the address under which other nodes reach Peer and Control if
	// it differs from theirs because of address translation (NAT). Only a balancer
	// has it.
	Advertised netip.Addr `json:"advertised,omitzero"`
	// DrainMillis is how long after it began to drain an endpoint may get new flows, in
	// milliseconds; it gets some if its service has no other. 0 means never. Only a
	// balancer has it.
	DrainMillis float64 `json:"drain_ms,omitempty"`
	// EvacuateMillis is the time within which an evacuation of a failure domain must be in
	// force, in milliseconds. 0 means that there are no evacuations.
	EvacuateMillis float64 `json:"evacuate_ms,omitempty"`
	// A cold endpoint gets at most ColdExcess times the new flows a second that its service
	// requests, and ColdSlack more, in any one-second window. There is no limit if ColdExcess
	// is 0.
	ColdExcess float64 `json:"cold_excess,omitempty"`
	ColdSlack  float64 `json:"cold_slack,omitempty"`
	// Seeds are control addresses of balancers. A balancer fetches the directory from them if
	// the registry does not answer at the start; an agent that starts reports to them. They
	// may be wrong.
	Seeds []string `json:"seeds,omitempty"`

	// Service is the service of the agent's endpoint.
	Service string `json:"service,omitempty"`
	// Endpoint is the address where the agent's endpoint receives packets.
	Endpoint netip.AddrPort `json:"endpoint,omitzero"`
	// Outbound is the agent's address that the endpoint sends its packets to.
	Outbound netip.AddrPort `json:"outbound,omitzero"`
}

// FlowLifetime returns the maximum lifetime of a flow.
func (p *PacketSettings) FlowLifetime() time.Duration {
	return time.Duration(p.FlowSeconds * float64(time.Second))
}

// StopTimeout returns the timeout of a planned stop.
func (p *PacketSettings) StopTimeout() time.Duration {
	return time.Duration(p.StopMillis * float64(time.Millisecond))
}

// DrainLimit returns how long after it began to drain an endpoint may get new flows.
func (p *PacketSettings) DrainLimit() time.Duration {
	return time.Duration(p.DrainMillis * float64(time.Millisecond))
}

// HasEvacuations reports whether failure domains can be evacuated.
func (p *PacketSettings) HasEvacuations() bool { return p.EvacuateMillis > 0 }

// AdvertisedPeer returns the address under which other nodes reach Peer.
func (p *PacketSettings) AdvertisedPeer() netip.AddrPort { return p.advertisedAddr(p.Peer) }

// AdvertisedControl returns the address under which other nodes reach Control.
func (p *PacketSettings) AdvertisedControl() netip.AddrPort { return p.advertisedAddr(p.Control) }

// advertisedAddr returns the address under which other nodes reach a local address.
func (p *PacketSettings) advertisedAddr(bound netip.AddrPort) netip.AddrPort {
	if !p.Advertised.IsValid() {
		return bound
	}
	return netip.AddrPortFrom(p.Advertised, bound.Port())
}

// SeedAddresses returns the addresses of the other seeds, without this node's own.
// Seeds that cannot be parsed are ignored: the platform writes them, and the
// settings need not be refused for them.
func (p *PacketSettings) SeedAddresses() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, text := range p.Seeds {
		if seed, err := netip.ParseAddrPort(text); err == nil && seed != p.AdvertisedControl() {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

const (
	maxFlowSeconds    = 24 * 60 * 60
	maxStopMillis     = 10 * 60 * 1000
	maxDrainMillis    = 10 * 60 * 1000
	maxEvacuateMillis = 10 * 60 * 1000
	maxColdFactor     = 1000
	maxColdSlack      = 1_000_000
	minLinkMbps       = 1
	maxLinkMbps       = 1_000_000
	allowedIPv4       = "IPv4:port, no wildcard"
)

func (c *checker) packets(s *Settings) {
	c.observability(s)
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
	c.Require(p.EvacuateMillis >= 0 && p.EvacuateMillis <= maxEvacuateMillis, "packets.evacuate_ms", p.EvacuateMillis, fmt.Sprintf("0 to %d", maxEvacuateMillis))
	c.Require(p.ColdExcess >= 0 && p.ColdExcess <= maxColdFactor, "packets.cold_excess", p.ColdExcess, fmt.Sprintf("0 to %d", maxColdFactor))
	c.Require(p.ColdSlack >= 0 && p.ColdSlack <= maxColdSlack, "packets.cold_slack", p.ColdSlack, fmt.Sprintf("0 to %d", maxColdSlack))
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
	c.Require(p.DrainMillis >= 0 && p.DrainMillis <= maxDrainMillis, "packets.drain_ms", p.DrainMillis, fmt.Sprintf("0 to %d", maxDrainMillis))
	if p.Advertised.IsValid() {
		c.ipv4("packets.advertised", p.AdvertisedPeer())
	}
	c.distinct([]addressUse{{"packets.edge", p.Edge}, {"packets.peer", p.Peer}})
	c.distinct([]addressUse{{"packets.health", p.Health}, {"packets.control", p.Control}, {"metrics", metrics}})
}

func (c *checker) packetAgent(p *PacketSettings) {
	c.name("packets.service", p.Service)
	c.Require(p.DrainMillis == 0, "packets.drain_ms", p.DrainMillis, "nothing on an agent")
	c.ipv4("packets.endpoint", p.Endpoint)
	c.ipv4("packets.outbound", p.Outbound)
	c.Require(!p.Advertised.IsValid(), "packets.advertised", p.Advertised, "nothing on an agent")
	c.distinct([]addressUse{{"packets.peer", p.Peer}, {"packets.outbound", p.Outbound}, {"packets.endpoint", p.Endpoint}})
}

func (c *checker) ipv4(field string, value netip.AddrPort) {
	usable := value.Addr().Is4() && value.Port() > 0 && !value.Addr().IsUnspecified() && !value.Addr().IsMulticast()
	c.Require(usable, field, value, allowedIPv4)
}

// IsPacketRole reports whether the role serves the packet protocol.
func (r Role) IsPacketRole() bool { return slices.Contains([]Role{PacketBalancer, PacketAgent}, r) }
