package spread

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The text of a ticket grows by the endpoint; docs/CAPACITY.md uses the figure.
func TestTicketSize(t *testing.T) {
	n := New(Size{Nodes: 1, Zones: 1, Regions: 1})
	one := len(n.Publish(Ticket(1, 1, 0, 1)).Document)
	eleven := len(n.Publish(Ticket(1, 2, 0, 11)).Document)
	t.Logf("1 endpoint %d bytes, 11 endpoints %d bytes", one, eleven)
	must.Less(t, 11*one, eleven)
}
