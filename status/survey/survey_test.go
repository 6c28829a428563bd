package survey

import (
	"testing"

	"cactustray/status"

	"github.com/shoenig/test/must"
)

// A node is queried once even if several nodes know it, and the answers of seeds get
// what other nodes know of them, such as their names.
func TestDiscoveredReturnsEachNodeOnce(t *testing.T) {
	one := status.KnownNode{Name: "entry-1", Control: "192.0.2.1:1"}
	two := status.KnownNode{Name: "entry-2", Control: "192.0.2.2:1"}
	three := status.KnownNode{Name: "orders-1", Control: "192.0.2.3:1", Service: "orders"}
	answers := []status.Answer{
		{Address: one.Control, Report: &status.Report{Nodes: []status.KnownNode{one, two, three}}},
		{Address: "192.0.2.9:1"},
	}
	must.Eq(t, []status.KnownNode{two, three}, discovered(answers, []status.KnownNode{three, two}))
	must.Eq(t, one, answers[0].Known)
}
