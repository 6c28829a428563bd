package soak

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"cactustray/standin/packets"
	"cactustray/standin/process"

	"github.com/shoenig/test/must"
)

// short is the size of the runs in CI.
var short = Size{Balancers: 3, Endpoints: 7, Length: 5 * time.Second}

// regressions are plans that broke a promise once, with their causes.
var regressions = []struct {
	name  string
	cause string
	seed  uint64
	size  Size
}{
	{
		name:  "a balancer starts while an entry has lapsed",
		cause: "it did not know that the endpoint may hold flows, and ended one that all others had denied",
		seed:  28, size: Size{Balancers: 3, Endpoints: 7, Length: 12 * time.Second},
	},
	{
		name:  "an address changes its service while an agent hands a flow to it",
		cause: "a packet that was handed on did not name its service, and opened a flow at another",
		seed:  40, size: Size{Balancers: 3, Endpoints: 7, Length: 12 * time.Second},
	},
	{
		name:  "an opening packet is repeated after its agent's address changed its service",
		cause: "the copy took the agent's new service for the flow's, and opened it there",
		seed:  258, size: Size{Balancers: 3, Endpoints: 7, Length: 12 * time.Second},
	},
}

func play(t *testing.T, plan Plan) Result {
	t.Helper()
	binary, err := process.BuildDaemon(t.TempDir())
	must.NoError(t, err)
	result, err := Run(t.Context(), plan, t.TempDir(), binary)
	must.NoError(t, err)
	t.Log(result)
	must.Positive(t, result.Attempts[Answered])
	return result
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	t.Parallel()
	must.SliceEmpty(t, play(t, Draw(1, short)).Violations)
}

func TestPromisesHoldUnderPlannedWork(t *testing.T) {
	t.Parallel()
	planned := short
	planned.PlannedOnly = true
	must.SliceEmpty(t, play(t, Draw(2, planned)).Violations)
}

func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			must.SliceEmpty(t, play(t, Draw(r.seed, r.size)).Violations, must.Sprint(r.cause))
		})
	}
}

// A reset that nobody owes, put in on purpose, is noticed.
func TestForgedResetIsNoticed(t *testing.T) {
	t.Parallel()
	binary, err := process.BuildDaemon(t.TempDir())
	must.NoError(t, err)
	w, err := newWorld(Plan{Balancers: 2, Endpoints: 6, Length: time.Second}, t.TempDir(), binary)
	must.NoError(t, err)
	defer w.close()
	l := &load{world: w}
	f := new(feed)
	must.NoError(t, w.await("a flow", func() bool {
		f.flow, f.last = l.open("orders", services[0].address, false, false)
		return f.flow != nil
	}))
	l.request(f)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reset := f.flow.Reset()
	go func() {
		for ctx.Err() == nil {
			w.links.forge(reset, w.Bound(packets.CallerHost, "edge"))
			sleep(ctx, pollPause)
		}
	}()
	must.NoError(t, w.await("the reset", func() bool {
		if f.flow != nil {
			l.request(f)
		}
		return f.flow == nil
	}))
	found := Check(w.history.whole(w.plan))
	must.SliceNotEmpty(t, found)
	must.SliceContains(t, promisesOf(found), NeverReset)
}

func promisesOf(found []Violation) []string {
	var promises []string
	for _, v := range found {
		promises = append(promises, v.Promise)
	}
	return promises
}

// forge sends a datagram that no machine sent, to show that the checks notice it.
func (l *links) forge(raw []byte, bound netip.AddrPort) {
	for _, socket := range l.sockets {
		_, _ = socket.WriteToUDPAddrPort(raw, bound)
		return
	}
}
