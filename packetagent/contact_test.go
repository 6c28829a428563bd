package packetagent

import (
	"net"
	"testing"
	"time"

	"cactustray/contact"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// reportsAt returns the reports that have arrived at a socket.
func reportsAt(t *testing.T, socket *net.UDPConn) (reports []wire.Report) {
	for _, message := range messagesAt(t, socket) {
		reports = append(reports, message.(wire.Report))
	}
	return reports
}

// messagesAt returns the messages that have arrived at a socket.
func messagesAt(t *testing.T, socket *net.UDPConn) (messages []wire.Message) {
	t.Helper()
	buffer := make([]byte, 2000)
	for {
		must.NoError(t, socket.SetReadDeadline(time.Now().Add(30*time.Millisecond)))
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return messages
		}
		message, err := wire.Decode(buffer[:n])
		must.NoError(t, err)
		messages = append(messages, message)
	}
}

// A balancer of another failure domain gets reports at the interval that it requests, which they
// state, with a short list of balancers; one that requests nothing, as of an older build, gets
// them as before. A change of the interval is reported before the balancer expects the next
// report, or the agent would count as dead.
func TestReportsFollowTheIntervalOfEachReceiver(t *testing.T) {
	older, remote, endpoint := listenLoopback(t), listenLoopback(t), listenLoopback(t)
	f := startBusyForwarder(t, "orders", localAddr(endpoint))
	s := newTestState(f, nil)
	now := time.Minute
	hello := func(from *net.UDPConn, h wire.Hello) {
		h.Slots = 2
		s.helloReceived(now, helloReceived{Hello: h, balancer: flow.AddressOf(localAddr(from))})
	}
	tick := func(count int) {
		for range count {
			now += placement.ReportInterval
			s.reportSlow(now)
			if now-s.lastReport >= s.reportInterval()-placement.ReportInterval/2 {
				s.reportFast(now)
			}
		}
	}
	hello(older, wire.Hello{})
	hello(remote, wire.Hello{Remote: true, ReportInterval: time.Second})
	must.EqOp(t, 1, s.receivers.Len())
	must.EqOp(t, 1, len(s.remote))
	tick(20)
	fast, slow := reportsAt(t, older), reportsAt(t, remote)
	must.Between(t, 20, len(fast), 22)
	must.Between(t, 3, len(slow), 4) // at once, repeated, and after each second
	lists := 0
	for _, r := range fast {
		must.EqOp(t, placement.ReportInterval, r.Interval)
		lists += len(r.Balancers)
	}
	must.GreaterEq(t, 8, lists, must.Sprint("both balancers in four lists"))
	for _, r := range slow {
		must.EqOp(t, time.Second, r.Interval)
		must.Len(t, 2, r.Balancers)
	}

	for i := range 2 * contact.Listed {
		s.balancers[flow.Address{Port: uint16(i + 1)}] = now
	}
	s.sendSlow(now, s.currentReport(now), flow.AddressOf(localAddr(remote)))
	must.Len(t, contact.Listed, reportsAt(t, remote)[0].Balancers)
	for i := range 2 * contact.Listed {
		delete(s.balancers, flow.Address{Port: uint16(i + 1)})
	}

	hello(remote, wire.Hello{Remote: true}) // out of room
	tick(10)
	fast = reportsAt(t, remote)
	must.Len(t, 10, fast)
	must.EqOp(t, placement.ReportInterval, fast[0].Interval)
	hello(remote, wire.Hello{Remote: true, ReportInterval: time.Second})
	tick(2)
	slow = reportsAt(t, remote)
	must.Len(t, 2, slow)
	must.EqOp(t, time.Second, slow[0].Interval)
}

// A balancer that sends hello messages once a second, as it announced, does not count as lost
// when one of them is lost; one that requests nothing counts as lost after 2 s as before.
func TestRareHellosDoNotLoseABalancer(t *testing.T) {
	endpoint := listenLoopback(t)
	f := startBusyForwarder(t, "orders", localAddr(endpoint))
	s := newTestState(f, nil)
	remote, older := flow.AddressOf(localAddr(listenLoopback(t))), flow.AddressOf(localAddr(listenLoopback(t)))
	now := time.Minute
	s.helloReceived(now, helloReceived{Hello: wire.Hello{Slots: 2, Remote: true, ReportInterval: time.Second}, balancer: remote})
	s.helloReceived(now, helloReceived{Hello: wire.Hello{Slots: 2}, balancer: older})
	s.removeSilentBalancers(now + helloLifetime + 1)
	must.MapContainsKey(t, s.balancers, remote)
	must.MapNotContainsKey(t, s.balancers, older)
	s.removeSilentBalancers(now + 2*helloLifetime + 1)
	must.MapEmpty(t, s.balancers)
	must.EqOp(t, 0, s.receivers.Len())
}

// A balancer that has chosen other agents says so: the agent does not take it for lost, and
// does not introduce itself to it.
func TestEndOfContactBeginsNoIntroduction(t *testing.T) {
	endpoint := listenLoopback(t)
	f := startBusyForwarder(t, "orders", localAddr(endpoint))
	s := newTestState(f, nil)
	remote := flow.AddressOf(localAddr(listenLoopback(t)))
	contactHello := wire.Hello{Slots: 2, Remote: true, ReportInterval: time.Second}
	s.helloReceived(time.Minute, helloReceived{Hello: contactHello, balancer: remote})
	contactHello.Leaving = true
	s.helloReceived(time.Minute, helloReceived{Hello: contactHello, balancer: remote})
	must.MapEmpty(t, s.balancers)
	must.MapEmpty(t, s.introductions)
	must.EqOp(t, 0, s.receivers.Len())
	must.EqOp(t, EventContactEnded.Number, stopEvent(contactHello).Number)
	must.EqOp(t, EventBalancerStopping.Number, stopEvent(wire.Hello{Leaving: true}).Number)
}
