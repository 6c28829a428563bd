package packetagent

import (
	"testing"
	"time"

	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// The interval between reports grows with the number of balancers, within limits.
func TestReportIntervalGrowsWithBalancers(t *testing.T) {
	for balancers, want := range map[int]time.Duration{
		0: placement.ReportInterval, 24: placement.ReportInterval, 48: 2 * placement.ReportInterval,
		240: maxReportInterval, 256: maxReportInterval,
	} {
		s := &state{balancers: make(map[flow.Address]time.Duration)}
		for i := range balancers {
			s.balancers[flow.Address{Port: uint16(i + 1)}] = time.Second
		}
		must.EqOp(t, want, s.reportInterval())
	}
}

// Reports state for how long the agent has known any of them, also
// after a balancer was replaced by another.
func TestReportsStateHowLongBalancersAreKnown(t *testing.T) {
	balancer, endpoint := listenLoopback(t), listenLoopback(t)
	f := startBusyForwarder(t, "orders", localAddr(endpoint))
	s := newTestState(f, nil)
	hello := func(now time.Duration, from flow.Address) {
		s.helloReceived(now, helloReceived{Hello: wire.Hello{Slots: 2}, balancer: from})
	}
	reported := func() time.Duration {
		buffer := make([]byte, 200)
		n, _, err := balancer.ReadFromUDPAddrPort(buffer)
		must.NoError(t, err)
		message, err := wire.Decode(buffer[:n])
		must.NoError(t, err)
		return message.(wire.Report).BalancersKnown
	}
	hello(time.Minute, flow.AddressOf(localAddr(listenLoopback(t))))
	hello(time.Minute+time.Second, flow.AddressOf(localAddr(balancer)))
	must.EqOp(t, time.Second, reported())
	clear(s.balancers)
	hello(time.Minute+5*time.Second, flow.AddressOf(localAddr(balancer)))
	must.EqOp(t, 5*time.Second, reported())
}

// Reports list the balancers only once every balancerListInterval, and at once when
// there is a new balancer.
func TestReportsListBalancersPeriodically(t *testing.T) {
	balancer, endpoint := listenLoopback(t), listenLoopback(t)
	f := startBusyForwarder(t, "orders", localAddr(endpoint))
	s := newTestState(f, nil)
	now := time.Minute
	listed := func() int {
		s.report(now)
		buffer := make([]byte, 200)
		n, _, err := balancer.ReadFromUDPAddrPort(buffer)
		must.NoError(t, err)
		message, err := wire.Decode(buffer[:n])
		must.NoError(t, err)
		return len(message.(wire.Report).Balancers)
	}
	s.balancers[flow.AddressOf(localAddr(balancer))] = now
	must.EqOp(t, 1, listed())
	must.EqOp(t, 0, listed())
	now += balancerListInterval
	must.EqOp(t, 1, listed())
	must.EqOp(t, 0, listed())
	other := flow.AddressOf(localAddr(listenLoopback(t)))
	s.helloReceived(now, helloReceived{Hello: wire.Hello{Slots: 2}, balancer: other})
	buffer := make([]byte, 200)
	n, _, err := balancer.ReadFromUDPAddrPort(buffer)
	must.NoError(t, err)
	message, err := wire.Decode(buffer[:n])
	must.NoError(t, err)
	must.Len(t, 2, message.(wire.Report).Balancers)
}
