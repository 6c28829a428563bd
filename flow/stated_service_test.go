package flow

import (
	"strings"
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// Guards against flows that open at a service whose tag equals that of their own: an opening
// packet is accepted by an agent of exactly the service that it names.
func TestServiceWithEqualTagRefusesOpening(t *testing.T) {
	const tag = 7
	own := NewOwnService("drawings", tag)
	opening, data := Packet{Opening: true}, Packet{}
	for _, c := range []struct {
		packet  Packet
		stated  StatedService
		reason  Reason
		refuses bool
	}{
		{opening, StatedService{Naming: ByName, Name: "drawings", Tag: tag}, Known, false},
		{opening, StatedService{Naming: ByName, Name: "orders", Tag: tag}, ForeignService, true},
		{opening, StatedService{Naming: ByName, Name: "", Tag: tag}, ForeignService, true},
		{opening, StatedService{Naming: ByName, Name: "orders"}, ForeignService, true},
		{opening, StatedService{Naming: NameOmitted, Tag: tag}, NameRequired, true},
		{opening, StatedService{Naming: NameOmitted}, NameRequired, true},
		{opening, StatedService{Naming: NameOmitted, Tag: tag + 2}, ForeignService, true},
		// Nodes of older builds state the tag alone.
		{opening, StatedService{Tag: tag}, Known, false},
		{opening, StatedService{Tag: tag + 2}, ForeignService, true},
		// Packets of open flows state the tag alone, or nothing in searches of several services.
		{data, StatedService{Tag: tag}, Known, false},
		{data, StatedService{}, Known, false},
		{data, StatedService{Tag: tag + 2}, ForeignService, true},
	} {
		reason, refuses := own.Refuses(c.packet, c.stated)
		must.EqOp(t, c.refuses, refuses, must.Sprint(c))
		if refuses {
			must.EqOp(t, c.reason, reason, must.Sprint(c))
		}
	}
}

// Guards against long names that packets cannot tell apart, or that do not fit into a packet.
func TestLongNamesAreStatedApart(t *testing.T) {
	seen := make(map[string]bool)
	for _, length := range []int{0, 1, maxPlainName, maxPlainName + 1, 2 * maxPlainName, 10_000} {
		for _, last := range []string{"a", "b"} {
			stated := StatedName(strings.Repeat("x", max(length-1, 0)) + last)
			must.LessEq(t, 255, len(stated))
			must.False(t, seen[stated] && length > 1, must.Sprint(length))
			seen[stated] = true
			must.True(t, NewOwnService(strings.Repeat("x", max(length-1, 0))+last, 1).Stated(ByName).Name == stated)
		}
	}
}

// Guards against IDs that are assigned again: a flow would count as one of another service.
func TestServiceIDsAreAssignedOnce(t *testing.T) {
	var ids ServiceIDs
	orders, drawings := ids.Of("orders"), ids.Of("drawings")
	must.NotEqOp(t, orders, drawings)
	must.NotEqOp(t, 0, orders)
	must.EqOp(t, orders, ids.Of("orders"))
	ids.Retain(func(name string) bool { return name == "drawings" })
	must.EqOp(t, drawings, ids.Of("drawings"))
	again := ids.Of("orders")
	must.NotEqOp(t, orders, again)
	must.NotEqOp(t, drawings, again)
	must.MapLen(t, 2, ids.ids)
}

// Guards against a refused flow at a service whose agents are updated: a packet whose name the
// balancer left out is sent once more to the same agent, with the name, and counts as no refusal.
func TestOpeningWithoutRequiredNameIsRepeated(t *testing.T) {
	routing, service := testRoutingTable(1)
	a := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Opening: true}
	d := a.FromCaller(time.Second, packet, routing, nil)
	must.EqOp(t, NameOmitted, d.Naming)
	d = a.Returned(time.Second, packet, d.To, Delivery{Hops: 1, NameRequired: true}, routing, nil)
	must.EqOp(t, agentAt(0), d.To)
	must.EqOp(t, ByName, d.Naming)
	must.EqOp(t, service.Name, d.ServiceName)
	must.False(t, d.SendReset)
}

// Guards against opening packets that an agent cannot read: the name is left out for one of an
// older build, by its last report, and never for one that has not reported.
func TestNameIsLeftOutForOlderBuildsOnly(t *testing.T) {
	routing, service := testRoutingTable(2)
	first, second := service.Accepting[0].AgentLoad, service.Accepting[1].AgentLoad
	for _, c := range []struct{ first, second bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
		first.Report(time.Second, placement.Usage{ReadsServiceName: c.first})
		second.Report(time.Second, placement.Usage{Running: 1, ReadsServiceName: c.second})
		d := newTestAssignments().FromCaller(time.Second, Packet{Flow: callerKey(1), Opening: true}, routing, nil)
		must.EqOp(t, agentAt(0), d.To)
		must.EqOp(t, agentAt(1), d.Alternate)
		must.EqOp(t, c.first, d.Naming == ByName)
		must.EqOp(t, c.second, d.AlternateNaming == ByName)
	}
	for _, endpoint := range service.Accepting {
		endpoint.Candidate = placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: 2}
	}
	d := newTestAssignments().FromCaller(time.Second, Packet{Flow: callerKey(1), Opening: true}, routing, nil)
	must.EqOp(t, ByName, d.Naming)
	must.EqOp(t, ByName, d.AlternateNaming)
}

// Guards against a copy of an opening packet that goes to another service by way of an agent that
// the balancer did not know when the flow was forwarded there.
func TestFlowForwardedToUnknownAgentKeepsItsService(t *testing.T) {
	routing, orders := testRoutingTable(2)
	a := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Opening: true}
	a.FromCaller(time.Second, packet, routing, nil)
	unknown := agentAt(9)
	a.Found(time.Second, packet.Flow, unknown, nil)
	routing.Agents[unknown] = NewEndpoint(unknown, &Service{Name: "drawings", ID: orders.ID + 1, Tag: orders.Tag}, placement.Candidate{AgentLoad: new(placement.AgentLoad)})
	packet.Copy = 1
	must.NotEqOp(t, unknown, a.FromCaller(time.Second, packet, routing, nil).To)
}
