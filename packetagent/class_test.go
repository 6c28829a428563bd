package packetagent

import (
	"testing"
	"time"

	"cactustray/flow"
	"cactustray/flow/wire"

	"github.com/shoenig/test/must"
)

// A class that is not stripped would reach the endpoint as part of the caller's packet; one
// that is not sent on would make the other agent serve the request last.
func TestClassIsStrippedAndSentOn(t *testing.T) {
	class := flow.Class{Priority: 1, Goal: 300 * time.Millisecond, Limit: 1500 * time.Millisecond}
	other, balancer, endpoint := listenLoopback(t), listenLoopback(t), listenLoopback(t)
	agent := startBusyForwarder(t, "orders", localAddr(endpoint))
	send := func(flowByte byte, alternate flow.Address) {
		packet := append(make([]byte, wire.EnvelopeSize), flowByte)
		wire.PutEnvelope(packet, wire.Forward, wire.Envelope{Delivery: flow.Delivery{Balancer: flow.AddressOf(localAddr(balancer)), Alternate: alternate}})
		_, err := balancer.WriteToUDPAddrPort(wire.AppendClass(packet, class), localAddr(agent.peers))
		must.NoError(t, err)
	}
	send(9, flow.AddressOf(localAddr(other)))
	buffer := make([]byte, 100)
	n, _, err := other.ReadFromUDPAddrPort(buffer)
	must.NoError(t, err)
	must.EqOp(t, wire.ForwardClass, wire.KindOf(buffer[:n]))
	rest, sent, err := wire.SplitClass(buffer[:n])
	must.NoError(t, err)
	must.Eq(t, class, sent)
	must.Eq(t, []byte{9}, rest[wire.EnvelopeSize:])

	// Without an alternate the packet waits here, as one of its class, until there is room.
	send(10, flow.Address{})
	for deadline := time.Now().Add(time.Second); agent.overload().Waiting[flow.BandOf(class)] == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	must.EqOp(t, 1, agent.overload().Waiting[flow.BandOf(class)])
	withFlows(agent, func(t *flow.AgentTable) bool {
		t.SetSlots(10)
		return true
	})
	agent.admitWaiting()
	n, _, err = endpoint.ReadFromUDPAddrPort(buffer)
	must.NoError(t, err)
	must.Eq(t, []byte{10}, buffer[:n])
}

// A truncated datagram with a class must open no flow and not end the receiver by a panic.
func TestTruncatedClassIsDropped(t *testing.T) {
	balancer, endpoint := listenLoopback(t), listenLoopback(t)
	agent := startBusyForwarder(t, "orders", localAddr(endpoint))
	agent.datagramReceived([]byte{byte(wire.ForwardClass), 0, 0}, localAddr(balancer))
	must.EqOp(t, 0, agent.overload().Waiting[flow.BandOf(flow.Class{})])
	must.EqOp(t, 0, agent.refusedOpenings())
}
