package packetagent

import (
	"testing"
	"time"

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
	s := newState(f.log, f, nil)
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
