package packetagent

import (
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/flow/wire"

	"github.com/shoenig/test/must"
)

// Guards against an agent that denies flows which the agent before delivered: a balancer that has
// known its endpoint for longer than the agent runs refutes what times of day seem to show.
func TestTimesOfDayDoNotProveThatFlowsAreKnown(t *testing.T) {
	endpoint := listenLoopback(t)
	start := time.Now().Add(2 * time.Second).UnixMilli() // by a clock that was ahead
	hello := func(known time.Duration) wire.Hello {
		return wire.Hello{Slots: 1, EndpointStart: start, Clock: time.Now().UnixMilli(), EndpointKnown: known}
	}
	f := startForwarder(t, "orders", localAddr(endpoint))
	confirmed, refuted := f.applyHello(clock.Now(), hello(time.Minute))
	must.False(t, confirmed || refuted)
	confirmed, _ = f.applyHello(clock.Now(), hello(time.Millisecond))
	must.False(t, confirmed)
	must.False(t, f.flowsKnown())

	// The hello message of the balancer that started last arrives first.
	f = startForwarder(t, "orders", localAddr(endpoint))
	confirmed, _ = f.applyHello(clock.Now(), hello(time.Millisecond))
	must.True(t, confirmed)
	must.True(t, f.flowsKnown())
	withoutClock := wire.Hello{Slots: 1, EndpointStart: start, EndpointKnown: wire.MaxEndpointKnown}
	_, refuted = f.applyHello(clock.Now(), withoutClock)
	must.True(t, refuted)
	must.False(t, f.flowsKnown())

	// A balancer of an older build states no time that it has known the endpoint.
	f = startForwarder(t, "orders", localAddr(endpoint))
	confirmed, _ = f.applyHello(clock.Now(), hello(0))
	must.True(t, confirmed)
}
