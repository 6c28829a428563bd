package packetagent

import (
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/flow"
	"cactustray/flow/wire"

	"github.com/shoenig/test/must"
)

func stated(era directory.Era, revision directory.Revision, evacuated bool) wire.Hello {
	return wire.Hello{Slots: 1, Position: directory.Position{Era: era, Revision: revision}, Evacuated: evacuated}
}

// The statement from the latest position counts, whatever balancers with an older directory state,
// and in whatever order their messages arrive.
func TestLatestStatementCounts(t *testing.T) {
	s := statement{hasEvacuations: true}
	for i, c := range []struct {
		hello wire.Hello
		want  bool
	}{
		{wire.Hello{}, false}, // a build that states nothing
		{stated(1, 9, false), false},
		{stated(1, 10, true), true},
		{stated(1, 9, false), true},
		{wire.Hello{}, true},
		{stated(1, 10, false), true}, // has yet to be told by the others
		{stated(1, 12, false), false},
		{stated(1, 11, true), false},
		{stated(2, 3, true), true}, // the registry was restored
		{stated(1, 50, false), true},
		{stated(2, 4, false), false},
	} {
		s.receive(time.Minute, c.hello)
		must.EqOp(t, c.want, s.isEvacuated(), must.Sprint("step ", i))
	}
}

// Orders are ignored without the setting.
func TestStatementIsIgnoredWithoutSetting(t *testing.T) {
	var s statement
	s.receive(time.Minute, stated(1, 10, true))
	must.False(t, s.isEvacuated())
}

// After all balancers were replaced by builds that state nothing, the statement lapses: nobody
// could withdraw it.
func TestStatementLapsesWithoutBalancersThatStateAny(t *testing.T) {
	s := statement{hasEvacuations: true}
	s.receive(time.Minute, stated(1, 10, true))
	s.receive(time.Minute+statementLifetime, wire.Hello{})
	must.True(t, s.isEvacuated())
	s.receive(time.Minute+statementLifetime+1, wire.Hello{})
	must.False(t, s.isEvacuated())
}

// An agent in an evacuated failure domain gives the opening packets of a lagging balancer back, and
// says why, also those that waited when it learned of the order.
func TestEvacuatedAgentReturnsPackets(t *testing.T) {
	balancer, endpoint := listenLoopback(t), listenLoopback(t)
	f := startBusyForwarder(t, "orders", localAddr(endpoint))
	s := newTestState(f, nil)
	s.statement.hasEvacuations = true
	send := func(caller byte) {
		packet := append(make([]byte, wire.EnvelopeSize), caller)
		wire.PutEnvelope(packet, wire.Forward, wire.Envelope{Delivery: flow.Delivery{Balancer: flow.AddressOf(localAddr(balancer))}})
		_, err := balancer.WriteToUDPAddrPort(packet, localAddr(f.peers))
		must.NoError(t, err)
	}
	returned := func(caller byte) {
		buffer := make([]byte, 300)
		for { // reports arrive too
			must.NoError(t, balancer.SetReadDeadline(time.Now().Add(10*time.Second)))
			n, _, err := balancer.ReadFromUDPAddrPort(buffer)
			must.NoError(t, err)
			if wire.KindOf(buffer[:n]) != wire.Return {
				continue
			}
			envelope, payload, err := wire.OpenEnvelope(buffer[:n])
			must.NoError(t, err)
			must.True(t, envelope.Evacuated)
			must.Eq(t, []byte{caller}, payload)
			return
		}
	}
	send(9)
	for f.usage().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	s.helloReceived(time.Minute, helloReceived{Hello: stated(1, 10, true), balancer: flow.AddressOf(localAddr(balancer))})
	returned(9)
	send(11)
	returned(11)
	must.EqOp(t, 1, f.evacuated.Load())
	s.helloReceived(time.Minute, helloReceived{Hello: stated(1, 11, false), balancer: flow.AddressOf(localAddr(balancer))})
	must.EqOp(t, 0, f.evacuated.Load())
}

// The earliest of what balancers state counts as the end of the cold time: each learned of it late.
// A new start of the endpoint begins another one.
func TestColdTimeIsTheEarliestStated(t *testing.T) {
	var s statement
	receive := func(now time.Duration, revision directory.Revision, start int64, left time.Duration, rate float64) {
		hello := stated(1, revision, false)
		hello.EndpointStart, hello.ColdLeft, hello.ColdRate = start, left, rate
		s.receive(now, hello)
	}
	receive(time.Minute, 10, 5000, 2*time.Second, 8)
	must.EqOp(t, time.Minute+2*time.Second, s.coldUntil)
	must.EqOp(t, 8, s.coldRate)
	// A balancer that has just started has an entry that was written a while ago.
	receive(time.Minute+time.Second, 12, 5000, 1900*time.Millisecond, 8)
	must.EqOp(t, time.Minute+2*time.Second, s.coldUntil)
	// One with an older directory may know the entry best, but not the rate.
	receive(time.Minute+time.Second, 9, 5000, 800*time.Millisecond, 3)
	must.EqOp(t, time.Minute+1800*time.Millisecond, s.coldUntil)
	must.EqOp(t, 8, s.coldRate)
	// It does not know the endpoint's next start yet.
	receive(2*time.Minute, 20, 125_000, 2*time.Second, 6.5)
	receive(2*time.Minute, 19, 5000, 0, 8)
	must.EqOp(t, 2*time.Minute+2*time.Second, s.coldUntil)
	must.EqOp(t, 6.5, s.coldRate)
}

// The limit reaches the flow table with the hello messages; balancers of older builds, which state
// nothing, neither set nor end it.
func TestHelloLimitsFlowsOfColdEndpoint(t *testing.T) {
	endpoint := listenLoopback(t)
	f := startBusyForwarder(t, "orders", localAddr(endpoint))
	f.flowTable.SetColdLimit(flow.ColdLimit{Excess: 1, Slack: 0.5})
	s := newTestState(f, nil)
	hello := stated(1, 10, false)
	hello.Slots, hello.EndpointStart, hello.ColdLeft, hello.ColdRate = 1000, 5000, time.Hour, 0.6
	from := flow.AddressOf(localAddr(listenLoopback(t)))
	s.helloReceived(clock.Now(), helloReceived{Hello: hello, balancer: from})
	s.helloReceived(clock.Now(), helloReceived{Hello: wire.Hello{Slots: 1000}, balancer: from})
	open := func(port uint16) flow.Reason {
		key := flow.Key{Caller: flow.Address{IP: [4]byte{100, 64, 0, 9}, Port: port}}
		return f.flowTable.FromBalancer(clock.Now()+2*time.Second, flow.Packet{Flow: key, Opening: true}, flow.Delivery{}, nil).Reason
	}
	must.EqOp(t, flow.Opened, open(1))
	must.EqOp(t, flow.OpeningWaits, open(2))
}
