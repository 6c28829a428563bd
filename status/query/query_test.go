package query

import (
	"testing"
	"time"

	"cactustray/membership"
	"cactustray/status"

	"github.com/shoenig/test/must"
)

func TestReportsSurviveEncoding(t *testing.T) {
	report := status.Report{
		Node:   "orders-1",
		Role:   membership.RoleAgent,
		Zone:   "fd-1",
		State:  "ready",
		Uptime: time.Minute,
		Tickets: []status.InForce{{
			Service: "orders", Number: 7, Content: 1 << 63, Sealed: true, Age: 1500 * time.Millisecond, Conflicts: 2, Refused: "why",
		}},
		Load:  status.Load{Flows: 3, Requests: 2, Queued: 1},
		Cost:  status.Cost{BytesPerSecond: 420.5, CoreShare: 0.002},
		Nodes: []status.KnownNode{{Name: "entry-1", Role: membership.RoleBalancer, Control: "192.0.2.1:1", Leaving: true}},
	}
	must.Eq(t, &report, decode(encode(report)))
}
