package flow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// zonedRoutingTable has a service with endpoints 0 and 1 in domain a, 2 and 3 in domain b.
func zonedRoutingTable() (*RoutingTable, *Service) {
	routing, service := testRoutingTable(4)
	for i, endpoint := range service.Accepting {
		endpoint.Zone = []string{"a", "a", "b", "b"}[i]
	}
	return routing, service
}

// evacuate marks the endpoints of failure domains as a balancer does that knows of the order.
func evacuate(service *Service, zones ...string) {
	accepting := service.Accepting
	service.Accepting, service.Candidates = nil, nil
	for _, endpoint := range accepting {
		for _, zone := range zones {
			endpoint.Evacuated = endpoint.Evacuated || endpoint.Zone == zone
		}
		if !endpoint.Evacuated {
			endpoint.Accept()
		}
	}
	service.Evacuated = len(service.Accepting) == 0
}

// A copy of an opening packet that was placed before the order goes to an endpoint elsewhere.
func TestCopyOfOpeningLeavesEvacuatedDomain(t *testing.T) {
	routing, service := zonedRoutingTable()
	a := newTestAssignments()
	p := Packet{Flow: callerKey(1), Opening: true}
	must.EqOp(t, agentAt(0), a.FromCaller(time.Second, p, routing, nil).To)
	evacuate(service, "a")
	p.Copy = 1
	must.EqOp(t, "b", routing.Agents[a.FromCaller(1200*time.Millisecond, p, routing, nil).To].Zone)
	// The packets of an open flow go on.
	b := newTestAssignments()
	b.Found(time.Second, callerKey(2), agentAt(0), service)
	must.EqOp(t, agentAt(0), b.FromCaller(time.Second, Packet{Flow: callerKey(2), Data: 1}, routing, nil).To)
}

// Callers of a service that has no endpoint elsewhere are refused at once, with their first
// packet. A flow that was placed before the order is not: its endpoint may have accepted it.
func TestServiceInEvacuatedDomainsRefusesAtOnce(t *testing.T) {
	routing, service := zonedRoutingTable()
	a := newTestAssignments()
	placed := Packet{Flow: callerKey(1), Opening: true}
	a.FromCaller(time.Second, placed, routing, nil)
	evacuate(service, "a", "b")
	d := a.FromCaller(time.Second, Packet{Flow: callerKey(2), Opening: true}, routing, nil)
	must.True(t, d.SendReset)
	must.EqOp(t, NoEndpoint, d.Reason)
	placed.Copy = 1
	must.EqOp(t, agentAt(0), a.FromCaller(1200*time.Millisecond, placed, routing, nil).To)
	// Its agent gives it back if the endpoint has not.
	must.True(t, a.Returned(1200*time.Millisecond, placed, agentAt(0), Delivery{Hops: 1, Evacuated: true}, routing, nil).SendReset)
	// A service that merely has no endpoint may get one again before the next copy.
	service.Evacuated = false
	must.False(t, a.FromCaller(time.Second, Packet{Flow: callerKey(3), Opening: true}, routing, nil).SendReset)
}

// A balancer that does not know the order learns from the first packet that an agent gives back
// to use other failure domains, and tries again later.
func TestLaggingBalancerLearnsFromAgents(t *testing.T) {
	routing, _ := zonedRoutingTable()
	a := newTestAssignments()
	zoneOf := func(d Decision) string { return routing.Agents[d.To].Zone }
	p := Packet{Flow: callerKey(1), Opening: true}
	must.EqOp(t, agentAt(0), a.FromCaller(time.Second, p, routing, nil).To)
	must.EqOp(t, "b", zoneOf(a.Returned(time.Second, p, agentAt(0), Delivery{Hops: 1, Evacuated: true}, routing, nil)))
	for i := range 10 {
		must.EqOp(t, "b", zoneOf(a.FromCaller(time.Second, Packet{Flow: callerKey(10 + i), Opening: true}, routing, nil)))
	}
	later := time.Second + evacuatedZoneExpiry
	must.EqOp(t, "a", zoneOf(a.FromCaller(later, Packet{Flow: callerKey(3), Opening: true}, routing, nil)))
	// If all domains are evacuated, callers are refused at once.
	a.Returned(later, p, agentAt(0), Delivery{Hops: 1, Evacuated: true}, routing, nil)
	d := a.Returned(later, Packet{Flow: callerKey(4), Opening: true}, agentAt(2), Delivery{Hops: 1, Evacuated: true}, routing, nil)
	must.True(t, d.SendReset)
	must.True(t, a.FromCaller(later, Packet{Flow: callerKey(5), Opening: true}, routing, nil).SendReset)
}

// An opening packet that was stored for an agent that did not report goes elsewhere when the agent
// reports after the order.
func TestStoredOpeningLeavesEvacuatedDomain(t *testing.T) {
	routing, service := zonedRoutingTable()
	a := newTestAssignments()
	now := 10 * time.Second // the reports are old
	d := a.FromCaller(now, Packet{Flow: callerKey(1), Opening: true}, routing, nil)
	zone := routing.Agents[d.To].Zone
	evacuate(service, zone)
	resends := a.AgentReported(now, d.To, routing)
	must.Len(t, 1, resends)
	must.NotEqOp(t, zone, routing.Agents[resends[0].Decision.To].Zone)
}

// The agent of an evacuated domain gives opening packets back, also those that wait. Copies of one
// that the endpoint has, and the packets of open flows, are delivered.
func TestEvacuatedAgentGivesOpeningsBack(t *testing.T) {
	now := time.Second
	balancer, other := Address{IP: [4]byte{10, 0, 0, 9}, Port: 1}, agentAt(7)
	agent := NewAgentTable(now, 1, simFlowLifetime, true)
	open := func(i int, d Delivery) Verdict {
		return agent.FromBalancer(now, Packet{Flow: callerKey(i), Opening: true}, d, []byte{byte(i)})
	}
	for i := range saturation {
		must.EqOp(t, Deliver, open(i, Delivery{Balancer: balancer}).Action)
	}
	must.EqOp(t, OpeningWaits, open(8, Delivery{Balancer: balancer, Hops: 2}).Reason)
	returned := agent.SetEvacuated(true)
	must.Eq(t, []AdmittedOpening{{
		Verdict: Verdict{Action: Return, To: balancer, Reason: Evacuated, Balancer: balancer, Hops: 3}, Flow: callerKey(8), Datagram: []byte{8},
	}}, returned)
	must.EqOp(t, 0, agent.Usage(now).Waiting)
	must.EqOp(t, Repeated, open(0, Delivery{Balancer: balancer}).Reason)
	for _, i := range []int{8, 9} {
		must.Eq(t, Verdict{Action: Return, To: balancer, Reason: Evacuated, Hops: 1}, open(i, Delivery{Balancer: balancer, Alternate: other}))
	}
	agent.FromEndpoint(now, Packet{Flow: callerKey(0), Accepting: true, Sequence: 10})
	must.EqOp(t, Deliver, agent.FromBalancer(now, Packet{Flow: callerKey(0), Acknowledged: 11, Data: 5}, Delivery{}, nil).Action)
	now += time.Second
	must.SliceEmpty(t, agent.AdmitWaiting(now))
	// The domain is back in service.
	must.SliceEmpty(t, agent.SetEvacuated(false))
	must.EqOp(t, Opened, open(9, Delivery{Balancer: balancer}).Reason)
}
