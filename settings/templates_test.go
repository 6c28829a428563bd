package settings

import (
	"os"
	"regexp"
	"testing"
	"time"

	"cactustray/document"

	"github.com/shoenig/test/must"
)

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// filledIn returns the settings that the platform makes of a template, with the same figure for
// each bound.
func filledIn(t *testing.T, template, bound string) *Settings {
	raw, err := os.ReadFile("../deploy/" + template)
	must.NoError(t, err)
	values := map[string]string{
		"{{bounds.flow-ttl-s}}": bound, "{{bounds.grace-s}}": bound, "{{bounds.drain-ms}}": bound,
		"{{node-name}}": "front-1", "{{zone}}": "a", "{{ip}}": "10.0.0.1", "{{service}}": "orders",
		"{{listen.datagram-addr}}": "10.0.0.1:1", "{{listen.ready}}": "10.0.0.1:2", "{{listen.control}}": "10.0.0.1:3",
		"{{listen.outbound}}": "10.0.0.1:4", "{{app}}": "10.0.0.1:5", "{{internal-ports.0}}": "6", "{{internal-ports.1}}": "7",
		"{{platform.address}}": "10.0.0.2:1", "{{seeds|json}}": "[]", "{{limits.link-mbps}}": "10", "{{bootstrap}}": "true",
	}
	s := new(Settings)
	filled := placeholder.ReplaceAllFunc(raw, func(name []byte) []byte {
		must.MapContainsKey(t, values, string(name))
		return []byte(values[string(name)])
	})
	must.SliceEmpty(t, document.Decode(filled, s), must.Sprint(string(filled)))
	must.SliceEmpty(t, Check(s), must.Sprint(string(filled)))
	return s
}

// No process started any more once a bound in seconds had become a fraction.
func TestTemplatesTakeFractionsOfSeconds(t *testing.T) {
	for _, template := range []string{"balancer.json", "agent.json"} {
		for bound, want := range map[string]time.Duration{"6": 6 * time.Second, "6.5": 6500 * time.Millisecond} {
			s := filledIn(t, template, bound)
			must.EqOp(t, want, s.Packets.StopTimeout())
			must.EqOp(t, want, s.Packets.FlowLifetime())
		}
	}
}
