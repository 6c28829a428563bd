package packetagent

import (
	"net"
	"testing"
	"time"

	"cactustray/flow"
	"cactustray/flow/wire"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
)

// Names of two services with the same tag.
const (
	ownService  = "portal-storage"
	twinService = "portal-owners"
)

// openingDatagram returns a datagram with an opening packet that consists of one byte.
func openingDatagram(packet byte, stated flow.StatedService, d flow.Delivery) []byte {
	datagram := append(make([]byte, wire.EnvelopeSize), packet)
	wire.PutEnvelope(datagram, wire.Forward, wire.Envelope{StatedService: stated, Delivery: d})
	if stated.Naming == flow.ByName {
		datagram = wire.AppendName(datagram, stated.Name, d.AlternateNaming)
	}
	return datagram
}

func tagOf(service string) uint16 { return flow.TagOf(xxhash.Sum64String(service)) }

func receive(t *testing.T, socket *net.UDPConn) []byte {
	t.Helper()
	must.NoError(t, socket.SetReadDeadline(time.Now().Add(5*time.Second)))
	buffer := make([]byte, 500)
	n, _, err := socket.ReadFromUDPAddrPort(buffer)
	must.NoError(t, err)
	return buffer[:n]
}

// Guards against requests that run at a service whose tag equals that of their own: at an address
// that another service has had, only opening packets that name the agent's service are delivered.
func TestOpeningOfServiceWithEqualTagIsReturned(t *testing.T) {
	must.EqOp(t, tagOf(ownService), tagOf(twinService))
	balancer, endpoint := listenLoopback(t), listenLoopback(t)
	agent := startBusyForwarder(t, ownService, localAddr(endpoint))
	withFlows(agent, func(t *flow.AgentTable) bool {
		t.SetSlots(100)
		return true
	})
	d := flow.Delivery{Balancer: flow.AddressOf(localAddr(balancer))}
	for i, c := range []struct {
		stated                  flow.StatedService
		delivered, nameRequired bool
	}{
		{stated: flow.StatedService{Naming: flow.ByName, Name: twinService, Tag: tagOf(twinService)}},
		{stated: flow.StatedService{Naming: flow.ByName, Name: ownService, Tag: tagOf(ownService)}, delivered: true},
		{stated: flow.StatedService{Naming: flow.NameOmitted, Tag: tagOf(ownService)}, nameRequired: true},
		// A balancer of an older build states the tag alone.
		{stated: flow.StatedService{Tag: tagOf(ownService)}, delivered: true},
	} {
		packet := byte(20 + i)
		_, err := balancer.WriteToUDPAddrPort(openingDatagram(packet, c.stated, d), localAddr(agent.peers))
		must.NoError(t, err)
		if c.delivered {
			must.Eq(t, []byte{packet}, receive(t, endpoint))
			continue
		}
		returned := receive(t, balancer)
		must.EqOp(t, wire.Return, wire.KindOf(returned))
		e, payload, err := wire.OpenEnvelope(returned)
		must.NoError(t, err)
		must.EqOp(t, c.nameRequired, e.NameRequired, must.Sprint(c))
		must.Eq(t, []byte{packet}, payload)
	}
}

// Guards against an agent that forwards a packet without the name of its service, or with a name
// that the other agent, of an older build, cannot read.
func TestForwardedOpeningNamesService(t *testing.T) {
	other, balancer, endpoint := listenLoopback(t), listenLoopback(t), listenLoopback(t)
	agent := startBusyForwarder(t, ownService, localAddr(endpoint))
	own := flow.StatedService{Naming: flow.ByName, Name: ownService, Tag: tagOf(ownService)}
	byTag := flow.StatedService{Tag: tagOf(ownService)}
	for i, c := range []struct {
		received  flow.StatedService
		alternate flow.Naming
		forwarded flow.StatedService
	}{
		{own, flow.ByName, own},
		{own, flow.NameOmitted, flow.StatedService{Naming: flow.NameOmitted, Tag: own.Tag}},
		{byTag, flow.ByTag, byTag},
	} {
		packet := byte(20 + i)
		d := flow.Delivery{Balancer: flow.AddressOf(localAddr(balancer)), Alternate: flow.AddressOf(localAddr(other)), AlternateNaming: c.alternate}
		for range 2 { // a copy of the packet follows it
			_, err := balancer.WriteToUDPAddrPort(openingDatagram(packet, c.received, d), localAddr(agent.peers))
			must.NoError(t, err)
			e, rest, err := wire.OpenForward(receive(t, other))
			must.NoError(t, err)
			must.Eq(t, c.forwarded, e.StatedService, must.Sprint(c))
			must.Eq(t, []byte{packet}, rest[wire.EnvelopeSize:])
		}
	}
}
