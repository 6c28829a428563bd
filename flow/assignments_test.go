package flow

import (
	"fmt"
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// testRoutingTable has one service with a number of endpoints at serviceAddress.
func testRoutingTable(endpoints int) (*RoutingTable, *Service) {
	routing := NewRoutingTable()
	routing.Complete = true
	routing.CurrentAt = func() Timestamp { return time.Second }
	service := &Service{Name: "orders", ID: 1, Tag: 1}
	for i := range endpoints {
		endpoint := NewEndpoint(agentAt(i), service, placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: 2})
		endpoint.AgentLoad.Report(time.Second, placement.Usage{Running: i})
		service.Accepting = append(service.Accepting, endpoint)
		service.Candidates = append(service.Candidates, &endpoint.Candidate)
		service.Holders = append(service.Holders, endpoint)
		routing.Agents[endpoint.Agent] = endpoint
	}
	routing.Routes[serviceAddress] = &Route{Shares: []Share{{Service: service, Weight: 1}}, Weight: 1}
	return routing, service
}

func agentAt(i int) Address { return Address{IP: [4]byte{10, 0, byte(i >> 8), byte(i)}, Port: 7} }

func callerKey(i int) Key {
	return Key{Caller: Address{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}, Port: 1024}, Service: serviceAddress}
}

func TestRepeatedOpeningPacketStaysWithResponsiveAgent(t *testing.T) {
	routing, service := testRoutingTable(3)
	a := newTestAssignments()
	opening := func(copy uint32) Packet { return Packet{Flow: callerKey(1), Opening: true, Copy: copy} }
	d := a.FromCaller(time.Second, opening(0), routing, nil)
	must.EqOp(t, agentAt(0), d.To)
	must.EqOp(t, agentAt(1), d.Alternate)
	must.EqOp(t, 1, d.AlternateRunning)
	// If its agent has reported since, a copy goes to the same endpoint.
	service.Accepting[0].AgentLoad.Report(1100*time.Millisecond, placement.Usage{})
	must.EqOp(t, agentAt(0), a.FromCaller(1200*time.Millisecond, opening(1), routing, nil).To)
	// Otherwise it goes to an endpoint that was not tried yet, if there is one.
	later := 1600 * time.Millisecond
	second := newTestAssignments()
	second.FromCaller(1150*time.Millisecond, opening(0), routing, nil)
	must.NotEqOp(t, agentAt(0), second.FromCaller(later, opening(1), routing, nil).To)
}

// An opening packet from a port that was used much earlier opens a new flow, placed by
// the current loads.
func TestReusedPortIsPlacedAnew(t *testing.T) {
	routing, service := testRoutingTable(3)
	a := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Opening: true}
	must.EqOp(t, agentAt(0), a.FromCaller(time.Second, packet, routing, nil).To)
	now := time.Second + openingTimeout + 1
	for i, endpoint := range service.Accepting {
		endpoint.AgentLoad.Report(now, placement.Usage{Running: 3 - i})
	}
	must.EqOp(t, agentAt(2), a.FromCaller(now, packet, routing, nil).To)
}

func TestRefusedOpeningPacketGoesToOtherEndpoint(t *testing.T) {
	routing, _ := testRoutingTable(2)
	a := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Opening: true}
	must.EqOp(t, agentAt(0), a.FromCaller(time.Second, packet, routing, nil).To)
	must.EqOp(t, agentAt(1), a.Returned(time.Second, packet, agentAt(0), Delivery{Hops: 1}, routing, nil).To)
	d := a.Returned(time.Second, packet, agentAt(1), Delivery{Hops: 1}, routing, nil)
	must.True(t, d.SendReset)
	must.EqOp(t, 0, d.Reset.Acknowledged)
}

func TestUnknownAddressIsResetOnlyByCurrentRoutingTable(t *testing.T) {
	routing, _ := testRoutingTable(1)
	a := newTestAssignments()
	packet := Packet{Flow: Key{Service: Address{Port: 9}}, Opening: true}
	must.True(t, a.FromCaller(time.Second+maxRoutingTableAge-1, packet, routing, nil).SendReset)
	must.Eq(t, Decision{Reason: UnknownAddress}, Decision{Reason: a.FromCaller(time.Second+maxRoutingTableAge, packet, routing, nil).Reason})
	must.False(t, a.FromCaller(time.Second+maxRoutingTableAge, packet, routing, nil).SendReset)
}

// Weights split new flows among services, and all packets of a flow go to the same
// service.
func TestSplitRoute(t *testing.T) {
	many, few := &Service{Name: "many"}, &Service{Name: "few"}
	r := &Route{Shares: []Share{{Service: many, Weight: 90}, {Service: few, Weight: 10}}, Weight: 100}
	count := 0
	const flows = 10000
	for i := range flows {
		service := r.Service(callerKey(i))
		must.EqOp(t, service, r.Service(callerKey(i)))
		if service == few {
			count++
		}
	}
	must.Between(t, flows/10-200, count, flows/10+200)
	must.Nil(t, (&Route{Shares: []Share{{Service: many}}}).Service(callerKey(1)))
}

// A flow is searched for with one packet at a time. Packets that follow wait, and go to
// the flow's agent once it is found.
func TestPacketsWaitForSearchResult(t *testing.T) {
	routing, _ := testRoutingTable(3)
	a := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Data: 100}
	first := a.FromCaller(time.Second, packet, routing, []byte("a"))
	must.EqOp(t, 3, len(first.SearchAgents))
	second := a.FromCaller(time.Second+time.Millisecond, packet, routing, []byte("b"))
	must.Eq(t, Decision{Reason: SearchWaits}, second)
	must.Eq(t, [][]byte{[]byte("b")}, a.Found(time.Second, packet.Flow, agentAt(2), nil))
	must.EqOp(t, agentAt(2), a.FromCaller(time.Second, packet, routing, []byte("c")).To)
	must.SliceEmpty(t, a.Found(time.Second, packet.Flow, agentAt(2), nil))
	must.EqOp(t, 0, a.searches.waiting)
}

func TestFlowDeniedByAllIsReset(t *testing.T) {
	routing, _ := testRoutingTable(2)
	a := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Data: 100, Acknowledged: 77}
	a.FromCaller(time.Second, packet, routing, nil)
	must.False(t, decisionOf(a.Denied(time.Second, packet.Flow, agentAt(0), routing)).SendReset)
	again := a.FromCaller(time.Second+searchInterval, packet, routing, nil)
	must.Eq(t, []Address{agentAt(1)}, again.SearchAgents)
	d := decisionOf(a.Denied(time.Second, packet.Flow, agentAt(1), routing))
	must.True(t, d.SendReset)
	must.EqOp(t, 77, d.Reset.Acknowledged)
	must.EqOp(t, EndpointLost, a.FromCaller(time.Second, packet, routing, nil).Reason)
}

// However many flows move to a balancer at once, searches leave the link to the packets
// of known flows, and eventually every flow is searched for.
func TestSearchesStayWithinTheirRate(t *testing.T) {
	const endpoints, flows, size = 40, 400, 1000
	routing, _ := testRoutingTable(endpoints)
	a := newTestAssignments()
	searched := make(map[Key]bool)
	sent := 0
	const seconds = 60
	for tick := range seconds * 5 { // callers send again every 200 ms
		now := time.Second + time.Duration(tick)*200*time.Millisecond
		for i := range flows {
			if searched[callerKey(i)] {
				continue
			}
			d := a.FromCaller(now, Packet{Flow: callerKey(i), Data: size}, routing, make([]byte, size))
			if len(d.SearchAgents) > 0 {
				searched[callerKey(i)] = true
				sent += len(d.SearchAgents) * (size + searchOverhead)
			}
		}
		must.LessEq(t, defaultSearchRate*(float64(tick)/5+2), float64(sent), must.Sprint(tick))
	}
	must.MapLen(t, flows, searched, must.Sprint(fmt.Sprint(sent)))
}

// A copy of an opening packet does not go to the agent that got the first one if the
// agent's address has moved to another service, whether or not that has another tag.
func TestRepeatedOpeningAvoidsReassignedAddress(t *testing.T) {
	for _, tagDifference := range []uint16{2, 0} {
		routing, orders := testRoutingTable(2)
		a := newTestAssignments()
		placed := a.FromCaller(time.Second, Packet{Flow: callerKey(1), Opening: true}, routing, nil).To
		moved := routing.Agents[placed]
		moved.Service = &Service{Name: "drawings", ID: orders.ID + 1, Tag: orders.Tag + tagDifference}
		for copies := range uint32(2) {
			d := a.FromCaller(time.Second, Packet{Flow: callerKey(1), Opening: true, Copy: copies}, routing, nil)
			must.NotEqOp(t, placed, d.To)
			must.EqOp(t, orders.Tag, d.Tag)
			must.EqOp(t, orders.Name, d.ServiceName)
		}
	}
}

// An endpoint that leaves a forwarded flow unanswered has not refused it: the flow goes
// to another endpoint, and does not end if there is none.
func TestForwardedFlowIsReturnedBySilentEndpoint(t *testing.T) {
	table := NewAgentTable(time.Second, 2, time.Minute, true)
	balancer := agentAt(9)
	opening := Packet{Flow: callerKey(1), Opening: true}
	table.FromBalancer(time.Second, opening, Delivery{Balancer: balancer, Hops: 1}, []byte("opening"))
	overdue := table.Tick(time.Second + AnswerTimeout)
	must.Len(t, 1, overdue)
	must.EqOp(t, Return, overdue[0].Verdict.Action)
	must.EqOp(t, balancer, overdue[0].Verdict.To)
	must.EqOp(t, "opening", string(overdue[0].Datagram))
	must.SliceEmpty(t, table.Tick(time.Second+2*AnswerTimeout))

	routing, _ := testRoutingTable(2)
	a := newTestAssignments()
	first := a.FromCaller(time.Second, opening, routing, nil).To
	d := a.Returned(time.Second, opening, first, Delivery{Hops: 2, Silent: true}, routing, nil)
	must.NotEqOp(t, first, d.To)
	d = a.Returned(time.Second, opening, d.To, Delivery{Hops: 3, Silent: true}, routing, nil)
	must.True(t, d.To.IsZero())
	must.False(t, d.SendReset)
}

// The only endpoint of a service may take its time to answer.
func TestSilentEndpointKeepsFlowWithoutAlternate(t *testing.T) {
	table := NewAgentTable(time.Second, 2, time.Minute, true)
	table.FromBalancer(time.Second, Packet{Flow: callerKey(1), Opening: true}, Delivery{}, []byte("opening"))
	must.SliceEmpty(t, table.Tick(time.Second+AnswerTimeout))
}
