package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"

	"cactustray/steering"
)

// resetKeySize is the length of the reset key in bytes.
const resetKeySize = 32

// Problem is one thing wrong with the settings.
type Problem struct {
	// Key is the JSON path.
	Key string
	// Value is what the file says.
	Value string
	// Allowed is what it may say.
	Allowed string
}

// CheckError reports everything wrong with a file at once.
type CheckError struct {
	File     string
	Problems []Problem
}

func (e *CheckError) Error() string {
	var text strings.Builder
	for _, p := range e.Problems {
		fmt.Fprintf(&text, "%s: %s is %q, allowed: %s\n", e.File, p.Key, p.Value, p.Allowed)
	}
	return strings.TrimSuffix(text.String(), "\n")
}

// Check returns what is wrong with settings; nothing means that they are
// valid.
func Check(s *Settings) []Problem {
	var c checker
	c.require(s.Node != "", "node", s.Node, "a name")
	c.require(s.Zone != "", "zone", s.Zone, "a failure domain")
	c.keys(s.Keys)
	raw, err := hex.DecodeString(s.ResetKey)
	c.require(err == nil && len(raw) == resetKeySize, "reset_key", "(hidden)", "64 hexadecimal digits")
	c.address("datagram", s.Datagram)
	c.address("control", s.Control)
	switch s.Role {
	case Balancer:
		c.balancer(s)
	case Agent:
		c.agent(s)
	default:
		c.require(false, "role", s.Role, "balancer or agent")
	}
	return c.problems
}

type checker struct{ problems []Problem }

func (c *checker) require(ok bool, key string, value any, allowed string) {
	if !ok {
		c.problems = append(c.problems, Problem{Key: key, Value: fmt.Sprint(value), Allowed: allowed})
	}
}

func (c *checker) address(key string, value netip.AddrPort) {
	c.require(value.IsValid() && value.Port() > 0, key, value, "IP:port")
}

func (c *checker) keys(keys []Key) {
	c.require(len(keys) >= 1 && len(keys) <= 2, "keys", len(keys), "1 or 2 keys")
	for i, key := range keys {
		_, err := steering.ParseKey(key.ID, key.Secret)
		c.require(err == nil, fmt.Sprintf("keys[%d].secret", i), "(hidden)", "32 hexadecimal digits")
	}
	if len(keys) == 2 {
		c.require(keys[0].ID != keys[1].ID, "keys[1].id", keys[1].ID, "another id than keys[0]")
		c.require(keys[0].Secret != keys[1].Secret, "keys[1].secret", "(hidden)", "another secret than keys[0]")
	}
}

func (c *checker) balancer(s *Settings) {
	c.require(s.Platform != nil, "platform", "missing", "the platform's url and prefix")
	if s.Balancer == nil {
		c.require(false, "balancer", "missing", "the balancer's settings")
		return
	}
	c.address("balancer.edge", s.Balancer.Edge)
	c.address("balancer.fabric", s.Balancer.Fabric)
	for i, peer := range s.Balancer.Peers {
		c.address(fmt.Sprintf("balancer.peers[%d]", i), peer)
	}
}

func (c *checker) agent(s *Settings) {
	if s.Agent == nil {
		c.require(false, "agent", "missing", "the agent's settings")
		return
	}
	c.require(s.Agent.Service != "", "agent.service", s.Agent.Service, "a service's name")
	c.require(s.Agent.Endpoint != "", "agent.endpoint", s.Agent.Endpoint, "an endpoint's name")
	c.require(len(s.Agent.Balancers) > 0, "agent.balancers", len(s.Agent.Balancers), "1 or more")
	c.address("agent.backend", s.Agent.Backend)
}
