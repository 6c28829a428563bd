package packetbalancer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/flow"
	"cactustray/flow/handover"
	"cactustray/flow/wire"
	"cactustray/steering/datagram"

	"github.com/shoenig/test/must"
)

// Guards against an agent that knows no flow after its planned restart: the balancer looks for it
// without a pause and passes on what the agent before handed over, to one process.
func TestHandoverIsPassedOnToNextAgent(t *testing.T) {
	s := stateWith(directory.Change{Revision: 9, Snapshot: true, Desired: &directory.Desired{Version: 1, Routes: []directory.Route{routeTo(80, "orders")}}, Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2)}})
	agent, err := datagram.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	must.NoError(t, err)
	defer func() { _ = agent.Close() }()
	s.traffic.peers, err = datagram.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	must.NoError(t, err)
	defer func() { _ = s.traffic.peers.Close() }()
	address := flow.AddressOf(agent.LocalAddr().(*net.UDPAddr).AddrPort())
	table := flow.NewRoutingTable()
	for _, endpoint := range newTableBuilder(clock.Now(), s).build().Agents {
		endpoint.Agent = address
		table.Agents[address] = endpoint
	}
	s.traffic.table.Store(table)
	now := clock.Now()
	next := func() wire.Message {
		buffer := make([]byte, 2000)
		must.NoError(t, agent.SetReadDeadline(time.Now().Add(5*time.Second)))
		n, _, err := agent.ReadFromUDPAddrPort(buffer)
		must.NoError(t, err)
		message, err := wire.Decode(buffer[:n])
		must.NoError(t, err)
		return message
	}

	key := flow.Key{Caller: flow.Address{Port: 9}}
	part := handover.Split(7, time.Second, flow.Handover{Complete: true, KnownFor: time.Minute, Open: []flow.HeldFlow{{Flow: key, Received: 5}}, Unsure: []flow.Key{{Caller: flow.Address{Port: 10}}}})[0]
	s.Handle(time.Time{}, handoverReceived{agent: address, part: part})
	s.awaitSuccessors(now)
	_, isHello := next().(wire.Hello)
	must.True(t, isHello)
	s.Handle(time.Time{}, handoverQueried{agent: address, process: 8})
	must.Eq(t, wire.HandoverPart(part), next().(wire.HandoverPart))
	s.Handle(time.Time{}, handoverQueried{agent: address, process: 9}) // gets nothing
	s.awaitSuccessors(now)                                             // sends nothing
	s.Handle(time.Time{}, handoverQueried{agent: address, process: 8}) // its query was repeated
	must.Eq(t, wire.HandoverPart(part), next().(wire.HandoverPart))
}
