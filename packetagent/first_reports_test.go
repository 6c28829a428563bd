package packetagent

import (
	"net"
	"testing"
	"time"

	"cactustray/flow"
	"cactustray/flow/wire"

	"github.com/shoenig/test/must"
)

// When all VMs return together, an agent finds every balancer within milliseconds. A report to all
// for each of them would be 300 datagrams; the balancers, with a fifth of a core, have callers to serve.
func TestReportsToNewBalancersDoNotMultiply(t *testing.T) {
	const balancers = 24
	f := startBusyForwarder(t, "orders", localAddr(listenLoopback(t)))
	s := newTestState(f, nil)
	now := time.Minute
	var sockets []*net.UDPConn
	for range balancers {
		socket := listenLoopback(t)
		sockets = append(sockets, socket)
		s.helloReceived(now, helloReceived{Hello: wire.Hello{Slots: 2}, balancer: flow.AddressOf(localAddr(socket))})
	}
	for _, socket := range sockets {
		must.EqOp(t, 1, len(countReports(t, socket)), must.Sprint("each waits for a report"))
	}
	s.reportNewBalancers(now + newBalancerPause)
	for _, socket := range sockets {
		reports := countReports(t, socket)
		must.Len(t, 1, reports)
		must.Len(t, balancers, reports[0].Balancers)
	}
	s.reportNewBalancers(now + newBalancerPause)
	must.SliceEmpty(t, countReports(t, sockets[0]))
}

// If the message about new balancers is dropped, the next report must list them.
func TestNextReportListsNewBalancers(t *testing.T) {
	f := startBusyForwarder(t, "orders", localAddr(listenLoopback(t)))
	s := newTestState(f, nil)
	first, second := listenLoopback(t), listenLoopback(t)
	for _, socket := range []*net.UDPConn{first, second} {
		s.helloReceived(time.Minute, helloReceived{Hello: wire.Hello{Slots: 2}, balancer: flow.AddressOf(localAddr(socket))})
	}
	must.Len(t, 1, countReports(t, first))
	s.report(time.Minute + time.Second/10)
	reports := countReports(t, first)
	must.Len(t, 1, reports)
	must.Len(t, 2, reports[0].Balancers)
	must.False(t, s.newBalancersPending)
}

// countReports returns the reports that wait at a socket.
func countReports(t *testing.T, socket *net.UDPConn) []wire.Report {
	t.Helper()
	var reports []wire.Report
	buffer := make([]byte, 2000)
	for {
		must.NoError(t, socket.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return reports
		}
		message, err := wire.Decode(buffer[:n])
		must.NoError(t, err)
		reports = append(reports, message.(wire.Report))
	}
}
