package flow

import (
	"math/rand/v2"
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// splitTable has a route that is split 90 to 10 over two services of four endpoints with three
// slots each, whose endpoints run the given numbers of requests.
func splitTable(class Class, weight uint32, first, second int) (*RoutingTable, *Route) {
	routing := NewRoutingTable()
	routing.Complete = true
	routing.CurrentAt = func() Timestamp { return time.Second }
	route := &Route{Class: class}
	for s, running := range []int{first, second} {
		service := &Service{Name: []string{"a", "b"}[s], ID: ServiceID(s + 1), Tag: uint16(2*s + 1)}
		for i := range 4 {
			endpoint := NewEndpoint(agentAt(100*s+i), service, placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: 3})
			endpoint.AgentLoad.Report(time.Second, placement.Usage{Running: running, Mean: float64(running), ProcessingTime: 40 * time.Millisecond})
			endpoint.Accept()
			service.Holders = append(service.Holders, endpoint)
			routing.Agents[endpoint.Agent] = endpoint
		}
		route.Shares = append(route.Shares, Share{Service: service, Weight: []uint32{90, weight}[s]})
		route.Weight += route.Shares[s].Weight
	}
	routing.Routes[serviceAddress] = route
	return routing, route
}

// overflowShare returns the share of the first service's flows that go to the second, each
// placed by another balancer by the same reports.
func overflowShare(class Class, weight uint32, first, second int) float64 {
	flows, overflow := 0, 0
	for i := range 1000 {
		routing, route := splitTable(class, weight, first, second)
		a := NewAssignments(time.Minute, rand.New(rand.NewPCG(uint64(i), 3)))
		d := a.FromCaller(time.Second, Packet{Flow: callerKey(i), Opening: true}, routing, nil)
		if route.Service(callerKey(i)) != route.Shares[0].Service {
			continue
		}
		flows++
		if d.Tag == route.Shares[1].Service.Tag {
			overflow++
		}
		if d.Overflow != (d.Tag == route.Shares[1].Service.Tag) {
			panic("an overflow that is not stated, or the reverse")
		}
	}
	return float64(overflow) / float64(flows)
}

// Flows must not wait for a slot of one service while another of their route has free ones,
// nor go to a service that the desired state gives no weight, nor overflow without need.
func TestFlowsOverflowToServiceWithFreeSlots(t *testing.T) {
	for name, c := range map[string]struct {
		class         Class
		weight        uint32
		first, second int
		from, to      float64
	}{
		"free slots":             {testClass, 10, 2, 0, 0, 0},
		"full, other idle":       {testClass, 10, 3, 0, 1, 1},
		"full, other nearly so":  {testClass, 10, 3, 2, 1, 1},
		"both full":              {testClass, 10, 3, 3, 0, 0},
		"no weight":              {testClass, 0, 3, 0, 0, 0},
		"no class, as before":    {Class{}, 10, 3, 0, 0, 0},
		"class without a goal":   {Class{Limit: time.Second}, 10, 3, 0, 0, 0},
		"far beyond, other idle": {testClass, 10, 9, 0, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			must.Between(t, c.from, overflowShare(c.class, c.weight, c.first, c.second), c.to)
		})
	}
}

// Copies of an opening packet and the packets that follow must not reach another service than
// the first placement, also once the first service has free slots again.
func TestOverflowIsConsistent(t *testing.T) {
	routing, route := splitTable(testClass, 10, 3, 0)
	a := newTestAssignments()
	key := callerKey(0)
	for i := 0; route.Service(key) != route.Shares[0].Service; i++ {
		key = callerKey(i)
	}
	second := route.Shares[1].Service
	now := time.Second
	d := a.FromCaller(now, Packet{Flow: key, Opening: true}, routing, nil)
	must.EqOp(t, second.Tag, d.Tag)
	for _, endpoint := range route.Shares[0].Service.Accepting {
		endpoint.AgentLoad.Report(now, placement.Usage{})
	}
	// The agent has not reported since: a copy goes to another endpoint of the same service.
	repeated := a.FromCaller(now+200*time.Millisecond, Packet{Flow: key, Opening: true, Copy: 1}, routing, nil)
	must.EqOp(t, second.Tag, repeated.Tag)
	must.NotEqOp(t, d.To, repeated.To)
	returned := a.Returned(now+200*time.Millisecond, Packet{Flow: key, Opening: true, Copy: 1}, repeated.To, Delivery{Hops: 1}, routing, nil)
	must.EqOp(t, second.Tag, returned.Tag)
	must.EqOp(t, returned.To, a.FromCaller(now+300*time.Millisecond, Packet{Flow: key, Data: 1}, routing, nil).To)
	// Another balancer finds the flow: its search queries the agents of both services.
	search := newTestAssignments().FromCaller(now, Packet{Flow: key, Data: 1}, routing, []byte("data"))
	must.SliceContains(t, append(search.SearchAgents, search.QueryAgents...), returned.To)
}

// Once the desired state gives the second service no weight, a copy must not be placed there.
func TestOverflowEndsWithWeight(t *testing.T) {
	routing, route := splitTable(testClass, 10, 3, 0)
	a := newTestAssignments()
	key := callerKey(0)
	for i := 0; route.Service(key) != route.Shares[0].Service; i++ {
		key = callerKey(i)
	}
	must.EqOp(t, route.Shares[1].Service.Tag, a.FromCaller(time.Second, Packet{Flow: key, Opening: true}, routing, nil).Tag)
	route.Weight -= route.Shares[1].Weight
	route.Shares[1].Weight = 0
	d := a.FromCaller(time.Second+200*time.Millisecond, Packet{Flow: key, Opening: true, Copy: 1}, routing, nil)
	must.EqOp(t, route.Shares[0].Service.Tag, d.Tag)
}

// An opening packet that overflowed to an agent that has yet to start is sent again when an
// agent of that service reports.
func TestOverflowedOpeningIsResent(t *testing.T) {
	routing, route := splitTable(testClass, 10, 3, 0)
	a := newTestAssignments()
	key := callerKey(0)
	for i := 0; route.Service(key) != route.Shares[0].Service; i++ {
		key = callerKey(i)
	}
	d := a.FromCaller(time.Second, Packet{Flow: key, Opening: true}, routing, []byte("opening"))
	must.EqOp(t, route.Shares[1].Service.Tag, d.Tag)
	a.openings.list = []opening{{packet: Packet{Flow: key, Opening: true}, agent: d.To, at: time.Second, datagram: []byte("opening")}}
	resends := a.AgentReported(time.Second, d.To, routing)
	must.Len(t, 1, resends)
	must.EqOp(t, d.To, resends[0].Decision.To)
}

// A balancer that knew from a returned opening packet alone that a service's only failure domain is
// evacuated reset the caller, although the route's other service had room.
func TestSplitRouteLeavesEvacuatedService(t *testing.T) {
	class := Class{Goal: 300 * time.Millisecond, Limit: 1500 * time.Millisecond}
	routing, route := splitTable(class, 10, 0, 0)
	for i, share := range route.Shares {
		for _, endpoint := range share.Service.Accepting {
			endpoint.Zone = []string{"a", "b"}[i]
		}
	}
	a, caller := newTestAssignments(), 0
	for route.Service(callerKey(caller)) != route.Shares[0].Service {
		caller++
	}
	p := Packet{Flow: callerKey(caller), Opening: true}
	d := a.FromCaller(time.Second, p, routing, nil)
	must.EqOp(t, route.Shares[0].Service.Tag, d.Tag)
	d = a.Returned(time.Second, p, d.To, Delivery{Hops: 1, Evacuated: true}, routing, nil)
	must.False(t, d.SendReset)
	must.EqOp(t, route.Shares[1].Service.Tag, d.Tag)
}
