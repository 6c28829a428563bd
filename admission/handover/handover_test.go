package handover

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"cactustray/admission"
	"cactustray/control"

	"github.com/shoenig/test/must"
)

// replicas answers every query about a key with a fixed status.
type replicas struct{ status admission.KeyStatus }

func (r replicas) Handle(_ time.Time, message control.Message) {
	if m, ok := message.(admission.ReplicaRequested); ok {
		m.Reply <- r.status
	}
}

func (replicas) Tick(time.Time, time.Duration) {}

// recall queries an agent that answers with the given status.
func recall(t *testing.T, status admission.KeyStatus) admission.KeyStatus {
	loop := control.NewLoop(time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = loop.Run(ctx, replicas{status}) }()
	_, handler := NewServer(loop).Handler()
	server := httptest.NewTLSServer(handler)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "https://"))
	return Recall(ctx, server.Client(), address, "truck-17", admission.KeyQuery{Owner: 2})
}

// An agent without room for the replica of a key's record must not count as one that has
// it: the owner would run the key although only its own record shows that.
func TestRecallReportsReplicaThatWasNotStored(t *testing.T) {
	for name, status := range map[string]admission.KeyStatus{
		"stored":     {},
		"known":      {Known: true, Age: time.Minute},
		"fresh":      {Fresh: true},
		"not stored": {Unreachable: true},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, status, recall(t, status)) })
	}
}
