package flow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestFailureRate(t *testing.T) {
	var f failureRate
	now := time.Second
	for range 40 {
		f.ended(now, true)
	}
	must.Greater(t, 0.95, f.now(now))
	for i := range 400 { // one of four fails
		f.ended(now, i%4 == 0)
	}
	must.Between(t, 0.15, f.now(now), 0.35)
	before := f.now(now)
	must.InDelta(t, before/2, f.now(now+failureHalfLife), 0.001)
	must.Less(t, 0.01, f.now(now+10*failureHalfLife))
}

// An endpoint that refuses flows looks idle and would attract more of them: refusals count as
// failures, which its agent reports.
func TestRefusedOpeningsCountAsFailures(t *testing.T) {
	now := time.Second
	agent := NewAgentTable(now, 2, simFlowLifetime, true)
	for i := range 10 {
		agent.FromBalancer(now, Packet{Flow: callerKey(i), Opening: true}, Delivery{}, nil)
		agent.FromEndpoint(now, Packet{Flow: callerKey(i), Opening: true, ReturnedByEndpoint: true})
	}
	must.Greater(t, 0.5, agent.Usage(now).Failing)
}
