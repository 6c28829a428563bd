package flow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestStartOrder(t *testing.T) {
	const started, clock = 5 * time.Second, int64(1_000_000)
	order := NewStartOrder(started, clock)
	for _, c := range []struct {
		name                    string
		after                   time.Duration
		endpoint, own, balancer int64
		newer                   bool
	}{
		{"started together", time.Second, clock - 2, clock + 1000, clock + 1003, true},
		{"started later", time.Minute, clock + 30_000, clock + 60_000, clock + 59_950, true},
		{"started together, on a slow processor", time.Second, clock - 60, clock + 1000, clock + 1000, true},
		{"started before", time.Second, clock - 101, clock + 1000, clock + 1000, false},
		{"start not known", time.Second, 0, clock + 1000, clock + 1000, false},
		{"balancer of an older build", time.Second, clock, clock + 1000, 0, false},
		{"clock set back since the agent started", time.Second, clock, clock - 1000, clock + 1000, false},
		{"clock set forward since the agent started", time.Second, clock, clock + 3000, clock + 3000, false},
		{"clock was set before the agent started", time.Second, clock + 10, clock + 1000, clock + 3000, false},
		{"the balancer's clock was set", time.Second, clock + 10, clock + 1000, clock - 1000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.EqOp(t, c.newer, order.EndpointIsNewer(started+c.after, c.own, c.endpoint, c.balancer))
		})
	}
}

// Guards against resets of flows that an earlier agent delivered (its endpoint started while the
// machine's clock was ahead, which was then set back): what balancers have seen on their monotonic
// clocks takes precedence over times of day, in whatever order they state it.
func TestEndpointThatBalancersKnewBeforeIsOlder(t *testing.T) {
	const started, clock, ahead = 5 * time.Second, int64(1_000_000), 2400
	order := NewStartOrder(started, clock)
	endpointStart := clock - 1200 + ahead // it started 1.2 s before the agent
	now := started + 10*time.Millisecond
	must.True(t, order.EndpointIsNewer(now, clock+10, endpointStart, clock+10))
	must.True(t, order.EndpointIsOlder(now, time.Second))
	must.False(t, order.EndpointIsOlder(now, 10*time.Millisecond+startTolerance)) // started together
	must.False(t, order.EndpointIsOlder(now, 0))                                  // a balancer of an older build

	for _, refutedFirst := range []bool{true, false} {
		table := NewAgentTable(started, 2, time.Minute, false)
		if refutedFirst {
			must.False(t, table.RefuteComplete(endpointStart))
			must.False(t, table.ConfirmComplete(endpointStart))
		} else {
			must.True(t, table.ConfirmComplete(endpointStart)) // by a balancer that has just started
			must.True(t, table.RefuteComplete(endpointStart))
		}
		must.False(t, table.FlowsKnown(now))
		must.False(t, table.ConfirmComplete(endpointStart))
		// The endpoint starts again while this agent runs.
		must.True(t, table.ConfirmComplete(endpointStart+5000))
		must.False(t, table.RefuteComplete(endpointStart)) // a balancer with an older directory
		must.True(t, table.FlowsKnown(now))
	}
}
