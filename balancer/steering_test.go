package balancer

import (
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/event"
	"cactustray/liveness"
	"cactustray/liveness/heartbeat"
	"cactustray/settings"
	"cactustray/steering"
	"cactustray/ticket"
	"cactustray/ticket/exchange"
	"cactustray/ticket/platform"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// If a process reports that it has stopped, the next table shows its incarnation as
// stopped, whether or not a ticket still names the endpoint. The endpoint's next
// incarnation is not affected.
func TestTableShowsStoppedIncarnation(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	table := new(atomic.Pointer[steering.Table])
	loop := control.NewLoop(tickInterval)
	out := ticketIO{
		caller:  exchange.NewCaller(nil, loop),
		watcher: platform.NewWatcher(nil, loop, newRandom()),
		usage:   meter.NewUsage(new(meter.Meter), loop.Busy),
	}
	config := &settings.Settings{Node: "entry-1", Balancer: new(settings.BalancerSettings)}
	s := newState(config, event.NewLog(logger, "entry-1"), table, newPeers("entry-1"), out)
	now := time.Now()
	key := ticket.EndpointKeyOf("orders", "vm-1")
	stoppedThrough := func(message any) steering.Incarnation {
		s.Handle(now, message)
		s.Tick(now, tickInterval)
		return table.Load().Endpoint(key).StoppedThrough
	}
	first := liveness.NewSelf(liveness.EndpointSubject(key), 1)
	second := liveness.NewSelf(liveness.EndpointSubject(key), 2)
	heartbeatOf := func(self *liveness.Self, state liveness.State) heartbeat.ReportReceived {
		self.SetState(state)
		return heartbeat.ReportReceived{Report: heartbeat.Report{Fact: self.Fact()}, Node: "vm-1", Reply: make(chan heartbeat.Answer, 1)}
	}
	named := ticket.Endpoint{Name: "vm-1", Datagram: netip.MustParseAddrPort("192.0.2.1:1"), Weight: 100}
	other := ticket.Endpoint{Name: "vm-2", Datagram: netip.MustParseAddrPort("192.0.2.2:1"), Weight: 100}
	offer := func(number ticket.Number, endpoints ...ticket.Endpoint) ticket.Update {
		return ticket.Update{Records: []ticket.Record{{Content: uint64(number), Ticket: &ticket.Ticket{Number: number, Service: "orders", Endpoints: endpoints}}}}
	}
	must.EqOp(t, 0, stoppedThrough(offer(1, named, other)))
	must.EqOp(t, 0, stoppedThrough(heartbeatOf(first, liveness.Leaving)))
	must.EqOp(t, 1, stoppedThrough(heartbeatOf(first, liveness.Stopped)))
	must.EqOp(t, 0, stoppedThrough(heartbeatOf(second, liveness.Ready)))
	must.EqOp(t, 0, stoppedThrough(offer(2, other)))
	must.EqOp(t, 2, stoppedThrough(heartbeatOf(second, liveness.Stopped)))
}
