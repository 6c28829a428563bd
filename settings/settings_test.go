package settings

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"testing"

	"cactustray/document"

	"github.com/shoenig/test/must"
)

const examples = "../docs/examples/"

// example returns the documented example settings of a role.
func example(t *testing.T, role Role) *Settings {
	raw, err := os.ReadFile(examples + string(role) + ".json")
	must.NoError(t, err)
	s := new(Settings)
	must.SliceEmpty(t, document.Decode(raw, s))
	return s
}

func TestExamplesAreValid(t *testing.T) {
	must.SliceEmpty(t, Check(example(t, Balancer)))
	must.SliceEmpty(t, Check(example(t, Agent)))
	must.SliceEmpty(t, Check(example(t, PacketBalancer)))
	must.SliceEmpty(t, Check(example(t, PacketAgent)))
}

// Each case makes a valid example invalid in one field; Check must report just that
// field.
func TestCheckReportsInvalidField(t *testing.T) {
	cases := []struct {
		role       Role
		field      string
		invalidate func(*Settings)
	}{
		{PacketBalancer, "packets", func(s *Settings) { s.Packets = nil }},
		{PacketBalancer, "packets.edge", func(s *Settings) { s.Packets.Edge = netip.MustParseAddrPort("[::1]:1") }},
		{PacketBalancer, "packets.registry", func(s *Settings) { s.Packets.Registry = netip.AddrPort{} }},
		{PacketBalancer, "packets.peer", func(s *Settings) { s.Packets.Peer = s.Packets.Edge }},
		{PacketBalancer, "packets.flow_seconds", func(s *Settings) { s.Packets.FlowSeconds = 0 }},
		{PacketBalancer, "packets.link_mbps", func(s *Settings) { s.Packets.LinkMbps = 0 }},
		{PacketBalancer, "packets.advertised", func(s *Settings) { s.Packets.Advertised = netip.MustParseAddr("::1") }},
		{PacketAgent, "packets.advertised", func(s *Settings) { s.Packets.Advertised = netip.MustParseAddr("10.0.0.1") }},
		{PacketAgent, "packets.stop_ms", func(s *Settings) { s.Packets.StopMillis = -1 }},
		{PacketAgent, "packets.service", func(s *Settings) { s.Packets.Service = "" }},
		{PacketAgent, "packets.outbound", func(s *Settings) { s.Packets.Outbound = s.Packets.Peer }},
		{Balancer, "packets", func(s *Settings) { s.Packets = new(PacketSettings) }},
		{Balancer, "zone", func(s *Settings) { s.Zone = "" }},
		{Balancer, "role", func(s *Settings) { s.Role = "foreman" }},
		{Balancer, "keys", func(s *Settings) { s.Keys = nil }},
		{Balancer, "keys[0].secret", func(s *Settings) { s.Keys[0].Secret = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" }},
		{Balancer, "keys[1].secret", func(s *Settings) { s.Keys = append(s.Keys, Key{ID: 2, Secret: s.Keys[0].Secret}) }},
		{Balancer, "keys[1].id", func(s *Settings) { s.Keys = append(s.Keys, Key{ID: 1, Secret: "0f1e2d3c4b5a69788796a5b4c3d2e1f0"}) }},
		{Balancer, "reset_key", func(s *Settings) { s.ResetKey = s.Keys[0].Secret + s.Keys[0].Secret }},
		{Balancer, "control", func(s *Settings) { s.Control = netip.MustParseAddrPort("0.0.0.0:7001") }},
		{Balancer, "metrics", func(s *Settings) { s.Metrics = s.Control }},
		{Balancer, "balancer.edge", func(s *Settings) { s.Balancer.Edge = s.Datagram }},
		{Balancer, "balancer.fabric", func(s *Settings) { s.Balancer.Fabric = s.Balancer.Edge }},
		{Balancer, "balancer.health", func(s *Settings) { s.Balancer.Health = s.Control }},
		{Balancer, "platform.url", func(s *Settings) { s.Platform.URL = "192.0.2.5:8500" }},
		{Balancer, "agent", func(s *Settings) { s.Agent = new(AgentSettings) }},
		{Agent, "agent.backend", func(s *Settings) { s.Agent.Backend = s.Control }},
		{Agent, "agent.balancers[1]", func(s *Settings) { s.Agent.Balancers[1] = s.Agent.Balancers[0] }},
		{Agent, "agent.hedge_percent", func(s *Settings) { s.Agent.HedgePercent = -1 }},
		{Agent, "agent.hedge_percent", func(s *Settings) { s.Agent.HedgePercent = 50.5 }},
		{Agent, "agent.hedge_free_percent", func(s *Settings) { s.Agent.HedgePercent, s.Agent.HedgeFreePercent = 5, 101 }},
		{Agent, "agent.hedge_free_percent", func(s *Settings) { s.Agent.HedgePercent, s.Agent.HedgeFreePercent = 5, -1 }},
		{Agent, "agent.hedge_free_percent", func(s *Settings) { s.Agent.HedgeFreePercent = 30 }},
		{Agent, "trace_share", func(s *Settings) { s.TraceShare = 1.5 }},
		{Agent, "trace_file", func(s *Settings) { s.TraceFile = "spans.json" }},
		{Agent, "log_level", func(s *Settings) { s.LogLevel = "loud" }},
		{Agent, "tls.ca", func(s *Settings) { s.TLS.CA = "" }},
	}
	for _, c := range cases {
		s := example(t, c.role)
		c.invalidate(s)
		problems := Check(s)
		must.SliceLen(t, 1, problems, must.Sprint(c.field, problems))
		must.EqOp(t, c.field, problems[0].Field)
	}
}

func TestLoadReportsAllProblems(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"node": 1, "zone": "", "role": "balancer", "color": 1, "shade": 2,
		"tls": {"certificate": "missing.pem", "key": "missing.key", "ca": "missing.ca"}, "control": "x", "datagram": "192.0.2.1:1"}`), 0o600))
	_, err := Load(file)
	var check *CheckError
	must.True(t, errors.As(err, &check))
	var fields []string
	for _, p := range check.Problems {
		fields = append(fields, p.Field)
		must.StrContains(t, err.Error(), file+": "+p.String())
	}
	must.Eq(t, []string{
		"color", "control", "node", "shade", "zone", "keys", "reset_key", "platform", "balancer",
		"tls.certificate", "tls.key", "tls.ca",
	}, fields)
}

// docs/SETTINGS.md must list every key of the struct and no other.
func TestSettingsPageListsAllKeys(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	must.NoError(t, err)
	var written []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllSubmatch(page, -1) {
		written = append(written, string(match[1]))
	}
	var keys []string
	listKeys(reflect.TypeFor[Settings](), "", &keys)
	slices.Sort(written)
	slices.Sort(keys)
	must.Eq(t, keys, written)
}

// listKeys appends the keys of a struct type and of its nested structs.
func listKeys(t reflect.Type, prefix string, keys *[]string) {
	for name, field := range document.Fields(t) {
		key := prefix + name
		*keys = append(*keys, key)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			key += "[]"
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct && inner != reflect.TypeFor[netip.AddrPort]() {
			listKeys(inner, key+".", keys)
		}
	}
}
