package spread

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A ticket's text grows less than in proportion to its endpoints. docs/CAPACITY.md uses the
// logged sizes.
func TestTicketSize(t *testing.T) {
	n := New(Size{Nodes: 1, Zones: 1, Regions: 1})
	one := len(n.Publish(Ticket(1, 1, 0, 1)).Document)
	eleven := len(n.Publish(Ticket(1, 2, 0, 11)).Document)
	t.Logf("1 endpoint %d bytes, 11 endpoints %d bytes", one, eleven)
	must.Less(t, 11*one, eleven)
}
