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

// Guards against opening packets that agents of an older build cannot read, and against ones
// without a name for agents that can.
func TestNameIsSentUnlessAgentIsOfOlderBuild(t *testing.T) {
	route := routeTo(80, "orders")
	s := stateWith(directory.Change{Revision: 9, Snapshot: true, Desired: &directory.Desired{Version: 1, Routes: []directory.Route{route}}, Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2)}})
	table := newTableBuilder(clock.Now(), s).build()
	key := flow.Key{Caller: flow.Address{IP: [4]byte{100, 64, 0, 1}, Port: 9}, Service: flow.AddressOf(route.Address)}
	send := func() (wire.Kind, wire.Envelope) {
		a := flow.NewAssignments(time.Minute, newRandom())
		d := a.FromCaller(clock.Now(), flow.Packet{Flow: key, Opening: true}, table, nil)
		packet := append(make([]byte, wire.EnvelopeSize), "packet"...)
		wire.PutEnvelope(packet, wire.Forward, wire.Envelope{StatedService: flow.StatedService{Naming: d.Naming, Tag: d.Tag}})
		datagram := withTrailers(packet, d)
		kind := wire.KindOf(datagram)
		e, rest, err := wire.OpenForward(datagram)
		must.NoError(t, err)
		must.EqOp(t, "packet", string(rest[wire.EnvelopeSize:]))
		return kind, e
	}
	kind, e := send()
	must.EqOp(t, wire.ForwardNamed, kind) // the agent has not reported
	must.EqOp(t, "orders", e.Name)
	for _, endpoint := range table.Agents {
		endpoint.AgentLoad.Report(clock.Now(), placement.Usage{})
		kind, e = send()
		must.EqOp(t, wire.Forward, kind)
		must.EqOp(t, flow.NameOmitted, e.Naming)
		endpoint.AgentLoad.Report(clock.Now(), placement.Usage{ReadsServiceName: true})
		kind, e = send()
		must.EqOp(t, wire.ForwardNamed, kind)
		must.EqOp(t, "orders", e.Name)
	}
}

// Guards against a flow that counts as one of another service after the routing table was rebuilt.
func TestServiceKeepsItsIDWhileItIsInUse(t *testing.T) {
	s := stateWith(directory.Change{Revision: 9, Snapshot: true, Desired: &directory.Desired{Version: 1, Routes: []directory.Route{routeTo(80, "orders"), routeTo(81, "drawings")}}})
	first := newTableBuilder(clock.Now(), s).build()
	second := newTableBuilder(clock.Now(), s).build()
	ids := make(map[flow.ServiceID]bool)
	for address, route := range first.Routes {
		id := route.Shares[0].Service.ID
		must.EqOp(t, id, second.Routes[address].Shares[0].Service.ID)
		ids[id] = true
	}
	must.MapLen(t, 2, ids)
}
