package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"cactustray/document"
	"cactustray/steering"

	"github.com/sirupsen/logrus"
)

const (
	// resetKeySize is the length of the reset key in bytes.
	resetKeySize = 32
	// minDistinctBytes is the minimum number of different byte values in a secret.
	minDistinctBytes = 8
	// maxKeys is the maximum number of token keys: the old and the new one during
	// a rotation.
	maxKeys = 2
	// maxNameBytes is the length limit of the names of nodes, failure domains,
	// services and endpoints.
	maxNameBytes = 128
	// maxHedgePercent is the largest limit of second copies: a quantile of 0.95 calls for 5
	// in 100 requests, and for all requests of an endpoint that is slow.
	maxHedgePercent = 50
)

const (
	allowedSecret   = "32 hexadecimal digits from a random source"
	allowedResetKey = "64 hexadecimal digits from a random source, without a token key in them"
	allowedName     = "a name of 1 to 128 bytes"
	allowedAddress  = "IP:port of this process, no wildcard"
	allowedPeer     = "IP:port, no wildcard"
	allowedURL      = "an http or https URL"
)

// CheckError reports all problems of a settings file.
type CheckError struct {
	File     string
	Problems []document.Problem
}

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = e.File + ": " + p.String()
	}
	return strings.Join(lines, "\n")
}

// Check returns all problems of the settings, none if they are valid. It does not
// open the files that the settings name.
func Check(s *Settings) []document.Problem {
	var c checker
	c.name("node", s.Node)
	c.name("zone", s.Zone)
	if s.Role.IsPacketRole() {
		c.packets(s)
		return c.Problems
	}
	c.Require(s.Packets == nil, "packets", "present", "nothing in this role")
	c.keys(s.Keys)
	c.resetKey(s)
	c.tls("tls", s.TLS)
	c.Require(s.TLS.CA != "", "tls.ca", s.TLS.CA, "a file")
	c.observability(s)
	switch s.Role {
	case Balancer:
		c.balancer(s)
	case Agent:
		c.agent(s)
	default:
		c.Require(false, "role", s.Role, "balancer, agent, packet-balancer or packet-agent")
	}
	c.addresses(s)
	return c.Problems
}

type checker struct{ document.Checker }

func (c *checker) name(field, value string) {
	c.Require(value != "" && len(value) <= maxNameBytes, field, value, allowedName)
}

func (c *checker) address(field string, value netip.AddrPort, allowed string) {
	usable := value.IsValid() && value.Port() > 0 && !value.Addr().IsUnspecified() && !value.Addr().IsMulticast()
	c.Require(usable, field, value, allowed)
}

func (c *checker) keys(keys []Key) {
	c.Require(len(keys) >= 1 && len(keys) <= maxKeys, "keys", fmt.Sprintf("%d keys", len(keys)), "1 or 2 keys")
	for i, key := range keys {
		_, err := steering.ParseKey(key.ID, key.Secret)
		c.Require(err == nil && !isWeak(key.Secret), fmt.Sprintf("keys[%d].secret", i), document.Hidden, allowedSecret)
		for j, earlier := range keys[:i] {
			other := fmt.Sprintf("a value other than that of keys[%d]", j)
			c.Require(key.ID != earlier.ID, fmt.Sprintf("keys[%d].id", i), key.ID, other)
			c.Require(!strings.EqualFold(key.Secret, earlier.Secret), fmt.Sprintf("keys[%d].secret", i), document.Hidden, other)
		}
	}
}

func (c *checker) resetKey(s *Settings) {
	raw, err := hex.DecodeString(s.ResetKey)
	strong := err == nil && len(raw) == resetKeySize && !isWeak(s.ResetKey)
	reused := slices.ContainsFunc(s.Keys, func(k Key) bool {
		return k.Secret != "" && strings.Contains(strings.ToLower(s.ResetKey), strings.ToLower(k.Secret))
	})
	c.Require(strong && !reused, "reset_key", document.Hidden, allowedResetKey)
}

// isWeak reports whether a secret is not hexadecimal or has too few different bytes
// to be random.
func isWeak(secret string) bool {
	raw, err := hex.DecodeString(secret)
	if err != nil {
		return true
	}
	slices.Sort(raw)
	return len(slices.Compact(raw)) < minDistinctBytes
}

func (c *checker) tls(field string, files TLS) {
	c.Require(files.Certificate != "", field+".certificate", files.Certificate, "a file")
	c.Require(files.Key != "", field+".key", files.Key, "a file")
}

// observability checks the settings of logs, metrics and traces.
func (c *checker) observability(s *Settings) {
	_, err := logrus.ParseLevel(s.LogLevel)
	c.Require(s.LogLevel == "" || err == nil, "log_level", s.LogLevel, "trace, debug, info, warning or error")
	if s.Metrics != (netip.AddrPort{}) {
		c.address("metrics", s.Metrics, allowedAddress)
	}
	c.Require(s.TraceShare >= 0 && s.TraceShare <= 1, "trace_share", s.TraceShare, "0 to 1")
	c.Require(s.TraceOTLP == "" || isURL(s.TraceOTLP), "trace_otlp", s.TraceOTLP, allowedURL)
	c.Require(s.TraceOTLP == "" || s.TraceFile == "", "trace_file", s.TraceFile, "nothing if trace_otlp is set")
}

func isURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}

func (c *checker) balancer(s *Settings) {
	c.Require(s.Agent == nil, "agent", "present", "nothing on a balancer")
	c.Require(s.Platform != nil, "platform", "missing", "the platform's url and prefix")
	if s.Platform != nil {
		c.Require(isURL(s.Platform.URL), "platform.url", s.Platform.URL, allowedURL)
	}
	if s.Balancer == nil {
		c.Require(false, "balancer", "missing", "the balancer's settings")
		return
	}
	c.address("balancer.edge", s.Balancer.Edge, allowedAddress)
	c.address("balancer.fabric", s.Balancer.Fabric, allowedPeer)
	c.address("balancer.health", s.Balancer.Health, allowedAddress)
	for i, peer := range s.Balancer.Peers {
		c.address(fmt.Sprintf("balancer.peers[%d]", i), peer, allowedPeer)
	}
}

func (c *checker) agent(s *Settings) {
	c.Require(s.Balancer == nil, "balancer", "present", "nothing on an agent")
	if s.Agent == nil {
		c.Require(false, "agent", "missing", "the agent's settings")
		return
	}
	c.name("agent.service", s.Agent.Service)
	c.name("agent.endpoint", s.Agent.Endpoint)
	c.address("agent.backend", s.Agent.Backend, allowedPeer)
	c.tls("agent.caller_tls", s.Agent.CallerTLS)
	c.hedging(s.Agent)
	c.Require(len(s.Agent.Balancers) > 0, "agent.balancers", "none", "1 or more addresses")
	for i, balancer := range s.Agent.Balancers {
		field := fmt.Sprintf("agent.balancers[%d]", i)
		c.address(field, balancer, allowedPeer)
		c.Require(!slices.Contains(s.Agent.Balancers[:i], balancer), field, balancer, "an address listed once")
	}
}

// hedging checks the limits of second copies.
func (c *checker) hedging(s *AgentSettings) {
	c.Require(s.HedgePercent >= 0 && s.HedgePercent <= maxHedgePercent, "agent.hedge_percent", s.HedgePercent, "0 to 50; 0 means off")
	c.Require(s.HedgeFreePercent >= 0 && s.HedgeFreePercent <= 100, "agent.hedge_free_percent", s.HedgeFreePercent, "0 to 100")
	unused := s.HedgePercent == 0 && s.HedgeFreePercent > 0 && s.HedgeFreePercent <= 100
	c.Require(!unused, "agent.hedge_free_percent", s.HedgeFreePercent, "nothing while agent.hedge_percent is 0")
}

// addressUse is an address and the field that it is set in.
type addressUse struct {
	field   string
	address netip.AddrPort
}

// addresses checks that no address is used twice. A UDP and a TCP address may be
// equal.
func (c *checker) addresses(s *Settings) {
	datagram := []addressUse{{"datagram", s.Datagram}}
	stream := []addressUse{{"control", s.Control}, {"metrics", s.Metrics}}
	if s.Balancer != nil {
		datagram = append(datagram, addressUse{"balancer.edge", s.Balancer.Edge}, addressUse{"balancer.fabric", s.Balancer.Fabric})
		stream = append(stream, addressUse{"balancer.health", s.Balancer.Health})
	}
	if s.Agent != nil {
		stream = append(stream, addressUse{"agent.backend", s.Agent.Backend})
	}
	c.address("datagram", s.Datagram, allowedAddress)
	c.address("control", s.Control, allowedAddress)
	c.distinct(datagram)
	c.distinct(stream)
}

// distinct reports each use of an address that an earlier use already has.
func (c *checker) distinct(uses []addressUse) {
	for i, u := range uses {
		for _, earlier := range uses[:i] {
			equal := u.address.IsValid() && u.address == earlier.address
			c.Require(!equal, u.field, u.address, "an address other than that of "+earlier.field)
		}
	}
}
