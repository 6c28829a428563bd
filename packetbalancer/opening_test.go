package packetbalancer

import (
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// An agent of an older build does not know datagrams with a class: callers' opening packets
// would be lost there.
func TestClassIsSentOnlyToAgentsThatReadIt(t *testing.T) {
	route := routeTo(80, "orders")
	route.Class = &directory.Class{Priority: 1, Goal: 300 * time.Millisecond, Limit: time.Second}
	s := stateWith(directory.Change{Revision: 9, Snapshot: true, Desired: &directory.Desired{Version: 1, Routes: []directory.Route{route}}, Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2)}})
	table := newTableBuilder(clock.Now(), s).build()
	f := &forwarder{}
	f.table.Store(table)
	for agent, endpoint := range table.Agents {
		for _, reads := range []bool{true, false} {
			endpoint.AgentLoad.Report(clock.Now(), placement.Usage{})
			f.readsClassReceived(agent, reads)
			a := flow.NewAssignments(time.Minute, newRandom())
			key := flow.Key{Caller: flow.Address{IP: [4]byte{100, 64, 0, 1}, Port: 9}, Service: flow.AddressOf(route.Address)}
			for copies := range uint32(2) {
				d := a.FromCaller(clock.Now(), flow.Packet{Flow: key, Opening: true, Copy: copies}, table, nil)
				must.EqOp(t, agent, d.To)
				packet := append(make([]byte, wire.EnvelopeSize), "packet"...)
				wire.PutEnvelope(packet, wire.Forward, wire.Envelope{})
				want := wire.Forward
				if reads {
					want = wire.ForwardClass
				}
				must.EqOp(t, want, wire.KindOf(withTrailers(packet, d)))
			}
		}
		f.readsClassReceived(flow.Address{Port: 1}, true) // an unknown agent changes nothing
	}
}
