package wire

import (
	"testing"
	"time"

	"cactustray/directory"
	"cactustray/flow"
	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// Guards the sizes by which docs/design/domain-traffic.md works out the traffic between nodes:
// bytes of typical messages without headers.
func TestSizesOfMessages(t *testing.T) {
	address := flow.Address{IP: [4]byte{100, 64, 1, 2}, Port: 40000}
	key := flow.Key{Caller: address, Service: flow.Address{IP: [4]byte{198, 18, 0, 1}, Port: 443}}
	const started = 1_767_225_600_000
	report := Report{BalancersKnown: time.Hour, ReadsClass: true, Usage: placement.Usage{ReadsServiceName: true,
		Flows: 40, Running: 1, Mean: 1.2, ProcessingTime: 40 * time.Millisecond, FlowsKnown: true, Interval: time.Second,
	}}
	short, long := report, report
	short.Balancers, long.Balancers = make([]flow.Address, 4), make([]flow.Address, 85)
	sizes := []struct {
		name    string
		message Message
		limit   int
	}{
		{"hello message", Hello{Slots: 3, EndpointStart: started, Clock: started}, 20},
		{"hello message to another domain", Hello{Slots: 3, EndpointStart: started, Clock: started, Remote: true, ReportInterval: time.Second}, 25},
		{"hello message about an endpoint that has just started", Hello{Slots: 3, EndpointStart: started, Clock: started, EndpointKnown: 10 * time.Second}, 23},
		{"hello message about an endpoint known for long", Hello{Slots: 3, EndpointStart: started, EndpointKnown: MaxEndpointKnown}, 16},
		{"report", report, 30},
		{"report with 4 balancers", short, 56},
		{"report with a full list", long, 30 + 32*addressSize + 4},
		{"announcement", DirectoryAnnouncement{
			Position: directory.Position{Era: 1, Revision: 100_000}, Digest: 1 << 60, Age: time.Millisecond, Control: address, Zone: "zone-a",
		}, 42},
		{"query of one flow", Queries{Flows: []flow.Query{{Flow: key}}}, 21},
		{"query of 80 flows", Queries{Flows: make([]flow.Query, MaxQueries)}, 80*16 + 7},
		{"answer about one flow", Answers{Denied: []flow.Key{key}}, 17},
		{"owner", Owner{Flow: key, Agent: address}, 31},
		{"denied", Denied{Flow: key}, 23},
	}
	for _, s := range sizes {
		size := len(Encode(s.message))
		t.Logf("%s: %d bytes", s.name, size)
		must.Between(t, 1, size, s.limit, must.Sprint(s.name))
	}
}
