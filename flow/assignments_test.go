package flow

import (
	"fmt"
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// testMap has one service with a number of endpoints at serviceAddress.
func testMap(endpoints int) (*RoutingTable, *Service) {
	m := NewRoutingTable()
	m.Complete = true
	m.CurrentAt = func() Timestamp { return time.Second }
	service := &Service{Name: "orders", Tag: 1}
	for i := range endpoints {
		site := NewEndpoint(agentAt(i), service, placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: 2})
		site.AgentLoad.Report(time.Second, placement.Usage{Running: i})
		service.Accepting = append(service.Accepting, site)
		service.Candidates = append(service.Candidates, &site.Candidate)
		service.Holders = append(service.Holders, site)
		m.Agents[site.Agent] = site
	}
	m.Routes[serviceAddress] = &Route{Shares: []Share{{Service: service, Weight: 1}}, Weight: 1}
	return m, service
}

func agentAt(i int) Address { return Address{IP: [4]byte{10, 0, byte(i >> 8), byte(i)}, Port: 7} }

func callerKey(i int) Key {
	return Key{Caller: Address{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}, Port: 1024}, Service: serviceAddress}
}

func TestRepeatedOpeningPacketStaysWithResponsiveAgent(t *testing.T) {
	m, service := testMap(3)
	p := newTestAssignments()
	opening := func(copy uint32) Packet { return Packet{Flow: callerKey(1), Opening: true, Copy: copy} }
	d := p.FromCaller(time.Second, opening(0), m, nil)
	must.EqOp(t, agentAt(0), d.To)
	must.EqOp(t, agentAt(1), d.Alternative)
	must.EqOp(t, 1, d.AlternativeRunning)
	// If its agent has reported since, a copy goes to the same endpoint.
	service.Accepting[0].AgentLoad.Report(1100*time.Millisecond, placement.Usage{})
	must.EqOp(t, agentAt(0), p.FromCaller(1200*time.Millisecond, opening(1), m, nil).To)
	// Otherwise it goes to an endpoint that was not tried yet, if there is one.
	later := 1600 * time.Millisecond
	second := newTestAssignments()
	second.FromCaller(1150*time.Millisecond, opening(0), m, nil)
	must.NotEqOp(t, agentAt(0), second.FromCaller(later, opening(1), m, nil).To)
}

// An opening packet from a port that was used much earlier opens a new flow, placed by
// the current loads.
func TestReusedPortIsPlacedAnew(t *testing.T) {
	m, service := testMap(3)
	p := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Opening: true}
	must.EqOp(t, agentAt(0), p.FromCaller(time.Second, packet, m, nil).To)
	now := time.Second + openingTimeout + 1
	for i, site := range service.Accepting {
		site.AgentLoad.Report(now, placement.Usage{Running: 3 - i})
	}
	must.EqOp(t, agentAt(2), p.FromCaller(now, packet, m, nil).To)
}

func TestRefusedOpeningPacketGoesToOtherEndpoint(t *testing.T) {
	m, _ := testMap(2)
	p := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Opening: true}
	must.EqOp(t, agentAt(0), p.FromCaller(time.Second, packet, m, nil).To)
	must.EqOp(t, agentAt(1), p.Returned(time.Second, packet, agentAt(0), Delivery{Hops: 1}, m, nil).To)
	d := p.Returned(time.Second, packet, agentAt(1), Delivery{Hops: 1}, m, nil)
	must.True(t, d.SendReset)
	must.EqOp(t, 0, d.Reset.Acknowledged)
}

func TestUnknownAddressIsResetOnlyByCurrentMap(t *testing.T) {
	m, _ := testMap(1)
	p := newTestAssignments()
	packet := Packet{Flow: Key{Service: Address{Port: 9}}, Opening: true}
	must.True(t, p.FromCaller(time.Second+maxMapAge-1, packet, m, nil).SendReset)
	must.Eq(t, Decision{Reason: UnknownAddress}, Decision{Reason: p.FromCaller(time.Second+maxMapAge, packet, m, nil).Reason})
	must.False(t, p.FromCaller(time.Second+maxMapAge, packet, m, nil).SendReset)
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
	m, _ := testMap(3)
	p := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Data: 100}
	first := p.FromCaller(time.Second, packet, m, []byte("a"))
	must.EqOp(t, 3, len(first.SearchAgents))
	second := p.FromCaller(time.Second+time.Millisecond, packet, m, []byte("b"))
	must.Eq(t, Decision{Reason: SearchWaits}, second)
	must.Eq(t, [][]byte{[]byte("b")}, p.Found(time.Second, packet.Flow, agentAt(2), 0))
	must.EqOp(t, agentAt(2), p.FromCaller(time.Second, packet, m, []byte("c")).To)
	must.SliceEmpty(t, p.Found(time.Second, packet.Flow, agentAt(2), 0))
	must.EqOp(t, 0, p.searches.waiting)
}

func TestFlowDeniedByAllIsReset(t *testing.T) {
	m, _ := testMap(2)
	p := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Data: 100, Acknowledged: 77}
	p.FromCaller(time.Second, packet, m, nil)
	must.False(t, decisionOf(p.Denied(time.Second, packet.Flow, agentAt(0), m)).SendReset)
	again := p.FromCaller(time.Second+searchInterval, packet, m, nil)
	must.Eq(t, []Address{agentAt(1)}, again.SearchAgents)
	d := decisionOf(p.Denied(time.Second, packet.Flow, agentAt(1), m))
	must.True(t, d.SendReset)
	must.EqOp(t, 77, d.Reset.Acknowledged)
	must.EqOp(t, EndpointLost, p.FromCaller(time.Second, packet, m, nil).Reason)
}

// However many flows move to a balancer at once, searches leave the link to the packets
// of known flows, and eventually every flow is searched for.
func TestSearchesStayWithinTheirRate(t *testing.T) {
	const endpoints, flows, size = 40, 400, 1000
	m, _ := testMap(endpoints)
	p := newTestAssignments()
	searched := make(map[Key]bool)
	sent := 0
	const seconds = 60
	for tick := range seconds * 5 { // callers send again every 200 ms
		now := time.Second + time.Duration(tick)*200*time.Millisecond
		for i := range flows {
			if searched[callerKey(i)] {
				continue
			}
			d := p.FromCaller(now, Packet{Flow: callerKey(i), Data: size}, m, make([]byte, size))
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
// agent's address has moved to another service.
func TestRepeatedOpeningAvoidsReassignedAddress(t *testing.T) {
	m, orders := testMap(2)
	p := newTestAssignments()
	placed := p.FromCaller(time.Second, Packet{Flow: callerKey(1), Opening: true}, m, nil).To
	moved := m.Agents[placed]
	moved.Service = &Service{Name: "drawings", Tag: orders.Tag + 2}
	for copies := range uint32(2) {
		d := p.FromCaller(time.Second, Packet{Flow: callerKey(1), Opening: true, Copy: copies}, m, nil)
		must.NotEqOp(t, placed, d.To)
		must.EqOp(t, orders.Tag, d.Tag)
	}
}

// An endpoint that leaves a forwarded flow unanswered has not refused it: the flow goes
// to another endpoint, and does not end if there is none.
func TestForwardedFlowIsReturnedBySilentEndpoint(t *testing.T) {
	h := NewAgentTable(time.Second, 2, time.Minute, true)
	balancer := agentAt(9)
	opening := Packet{Flow: callerKey(1), Opening: true}
	h.FromBalancer(time.Second, opening, Delivery{Balancer: balancer, Hops: 1}, []byte("opening"))
	overdue := h.Tick(time.Second + AnswerTimeout)
	must.Len(t, 1, overdue)
	must.EqOp(t, Return, overdue[0].Verdict.Action)
	must.EqOp(t, balancer, overdue[0].Verdict.To)
	must.EqOp(t, "opening", string(overdue[0].Datagram))
	must.SliceEmpty(t, h.Tick(time.Second+2*AnswerTimeout))

	m, _ := testMap(2)
	p := newTestAssignments()
	first := p.FromCaller(time.Second, opening, m, nil).To
	d := p.Returned(time.Second, opening, first, Delivery{Hops: 2, Silent: true}, m, nil)
	must.NotEqOp(t, first, d.To)
	d = p.Returned(time.Second, opening, d.To, Delivery{Hops: 3, Silent: true}, m, nil)
	must.True(t, d.To.IsZero())
	must.False(t, d.SendReset)
}

// The only endpoint of a service may take its time to answer.
func TestSilentEndpointKeepsFlowWithoutAlternative(t *testing.T) {
	h := NewAgentTable(time.Second, 2, time.Minute, true)
	h.FromBalancer(time.Second, Packet{Flow: callerKey(1), Opening: true}, Delivery{}, []byte("opening"))
	must.SliceEmpty(t, h.Tick(time.Second+AnswerTimeout))
}
