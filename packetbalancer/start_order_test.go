package packetbalancer

import (
	"testing"
	"time"

	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// Guards against agents that draw conclusions from the time of day about an endpoint that has been
// known for long, and against ones that cannot refute them about a new one.
func TestHelloStatesHowLongEndpointIsKnown(t *testing.T) {
	const added = time.Minute
	endpoint := &flow.Endpoint{StartedAt: 7, Candidate: placement.Candidate{AddedAt: added}}
	for _, c := range []struct {
		age, known time.Duration
		clock      bool
	}{
		{0, time.Millisecond, true},
		{10 * time.Second, 10 * time.Second, true},
		{wire.MaxEndpointKnown, wire.MaxEndpointKnown, false},
		{time.Hour, wire.MaxEndpointKnown, false},
	} {
		var hello wire.Hello
		addStartOrder(added+c.age, &hello, endpoint)
		must.EqOp(t, c.known, hello.EndpointKnown)
		must.EqOp(t, c.clock, hello.Clock != 0)
	}
	var hello wire.Hello
	addStartOrder(added, &hello, &flow.Endpoint{Introduced: true})
	must.Eq(t, wire.Hello{}, hello)
}
