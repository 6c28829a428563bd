package ticket

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"
)

func TestChanges(t *testing.T) {
	before := sample(1, 0)
	after := sample(2, 4)
	after.Limits.Slots = 4
	added := before.Endpoints[0]
	added.Name = "orders-2"
	after.Endpoints = append(after.Endpoints, added)
	must.Eq(t, []Change{
		{Action: Changed, Part: "limits.slots", Before: "2", After: "4"},
		{Action: Changed, Part: "endpoint orders-1 weight", Before: "1", After: "5"},
		{Action: Added, Part: "endpoint orders-2", After: "weight 1"},
	}, Changes(before, after))
	must.SliceEmpty(t, Changes(before, before))
	removed := &Ticket{Number: 3, Service: "orders", Removed: true}
	must.Eq(t, []Change{
		{Action: Changed, Part: "service", Before: "in use", After: "out of use"},
		{Action: Removed, Part: "endpoint orders-1", Before: "weight 1"},
	}, Changes(before, removed))
	must.EqOp(t, "unknown", Changes(nil, after)[0].Before)
}

func TestParseReportsEveryProblem(t *testing.T) {
	_, err := Parse([]byte(`{"number": "one", "service": "orders", "colour": 1, "address": "x",
		"limits": {"slots": 0, "connections": 1, "queue_ms": 1, "drain_s": 1},
		"endpoints": [{"name": "a", "zone": "z", "datagram": "192.0.2.1:1", "control": "192.0.2.1:2", "weight": 0}]}`))
	var check *CheckError
	must.True(t, errors.As(err, &check))
	fields := make([]string, len(check.Problems))
	for i, p := range check.Problems {
		fields[i] = p.Field
	}
	must.Eq(t, []string{"address", "colour", "number", "limits.slots", "endpoints[0].weight"}, fields)
}
