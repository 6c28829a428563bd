package packetagent

import (
	"testing"
	"time"

	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// The pause between two reports to a balancer that sends no hello messages grows, and they
// end after a time.
func TestIntroductionsBecomeRarerAndEnd(t *testing.T) {
	all, balancer := make(introductions), flow.Address{Port: 1}
	const start = time.Minute
	all.begin(start, balancer)
	var at []time.Duration
	for now := time.Duration(0); now < 2*introductionPeriod; now += placement.ReportInterval {
		if len(all.take(start+now)) > 0 {
			at = append(at, now/placement.ReportInterval)
		}
	}
	must.Eq(t, []time.Duration{0, 1, 3, 7, 15, 23, 31, 39, 47, 55, 63, 71, 79, 87, 95}, at)
	must.MapEmpty(t, all)
}

// An agent reports to a balancer whose hello messages stopped, and that has started again
// without knowing the agent, until it sends one.
func TestAgentReportsToBalancerThatForgotIt(t *testing.T) {
	balancer, endpoint := listenLoopback(t), listenLoopback(t)
	f := startBusyForwarder(t, "orders", localAddr(endpoint))
	s := newTestState(f, nil)
	address := flow.AddressOf(localAddr(balancer))
	reports := func(now time.Duration) (count int) {
		s.report(now)
		for {
			_ = balancer.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if _, _, err := balancer.ReadFromUDPAddrPort(make([]byte, 200)); err != nil {
				return count
			}
			count++
		}
	}
	now := s.lastTick
	s.helloReceived(now, helloReceived{Hello: wire.Hello{Slots: 2}, balancer: address})
	must.EqOp(t, 2, reports(now)) // one at the first hello message
	now += 2 * helloLifetime
	s.removeSilentBalancers(now)
	must.MapEmpty(t, s.balancers)
	must.EqOp(t, 1, reports(now))
	must.EqOp(t, 0, reports(now))
	must.EqOp(t, 0, reports(now+introductionPeriod))
}

// An agent that starts reports to the seeds, one of which may have started without knowing it.
func TestStartingAgentReportsToSeeds(t *testing.T) {
	balancer, endpoint := listenLoopback(t), listenLoopback(t)
	f := startBusyForwarder(t, "orders", localAddr(endpoint))
	address := flow.AddressOf(localAddr(balancer))
	s := newTestState(f, []flow.Address{address})
	s.report(s.lastTick)
	_ = balancer.SetReadDeadline(time.Now().Add(time.Second))
	_, _, err := balancer.ReadFromUDPAddrPort(make([]byte, 200))
	must.NoError(t, err)
	s.helloReceived(s.lastTick, helloReceived{Hello: wire.Hello{Slots: 2}, balancer: address})
	must.MapEmpty(t, s.introductions)
}
