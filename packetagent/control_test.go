package packetagent

import (
	"testing"
	"time"

	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// The more balancers there are the less often each gets a report, within bounds.
func TestReportInterval(t *testing.T) {
	for balancers, want := range map[int]time.Duration{
		0: placement.ReportInterval, 24: placement.ReportInterval, 48: 2 * placement.ReportInterval,
		240: reportSlowest, 256: reportSlowest,
	} {
		s := &state{balancers: make(map[flow.Address]time.Duration)}
		for i := range balancers {
			s.balancers[flow.Address{Port: uint16(i + 1)}] = time.Second
		}
		must.EqOp(t, want, s.interval())
	}
}

// Most reports leave the balancers out; a new balancer is named at once.
func TestReportsNameBalancersNowAndThen(t *testing.T) {
	balancer, endpoint := loopback(t), loopback(t)
	f := startForwarderOf(t, "orders", portOf(endpoint))
	s := newState(f.log, f)
	now := time.Minute
	named := func() int {
		s.report(now)
		buffer := make([]byte, 200)
		n, _, err := balancer.ReadFromUDPAddrPort(buffer)
		must.NoError(t, err)
		message, err := wire.Decode(buffer[:n])
		must.NoError(t, err)
		return len(message.(wire.Report).Balancers)
	}
	s.balancers[flow.AddressOf(portOf(balancer))] = now
	must.EqOp(t, 1, named())
	must.EqOp(t, 0, named())
	now += nameInterval
	must.EqOp(t, 1, named())
	must.EqOp(t, 0, named())
	other := flow.AddressOf(portOf(loopback(t)))
	s.greeted(now, greeted{Hello: wire.Hello{Slots: 2}, balancer: other})
	buffer := make([]byte, 200)
	n, _, err := balancer.ReadFromUDPAddrPort(buffer)
	must.NoError(t, err)
	message, err := wire.Decode(buffer[:n])
	must.NoError(t, err)
	must.Len(t, 2, message.(wire.Report).Balancers)
}
