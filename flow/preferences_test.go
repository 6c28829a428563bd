package flow

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// largeRoutingTable has one service that is too large to be searched as a whole at
// once, with a quarter of it in the balancer's failure domain. All agents have reported.
func largeRoutingTable(endpoints int) (*RoutingTable, *Service) {
	routing, service := testRoutingTable(0)
	routing.Complete = true
	for i := range endpoints {
		addEndpoint(routing, service, i)
	}
	return routing, service
}

func addEndpoint(routing *RoutingTable, service *Service, i int) {
	endpoint := NewEndpoint(agentAt(i), service, placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: 2, Remote: i%4 != 0})
	endpoint.AgentLoad.Report(time.Second, placement.Usage{})
	service.Accepting = append(service.Accepting, endpoint)
	service.Candidates = append(service.Candidates, &endpoint.Candidate)
	service.Holders = append(service.Holders, endpoint)
	routing.Agents[endpoint.Agent] = endpoint
}

func preferredAgents(endpoints []*Endpoint, key Key, limit int) []Address {
	p := preferred(endpoints, key, limit)
	var agents []Address
	for _, i := range p.appendTo(nil) {
		agents = append(agents, endpoints[i].Agent)
	}
	return agents
}

// The order of the endpoints makes no difference, a longer list includes the shorter
// one, and a new endpoint replaces at most one preferred endpoint.
func TestPreferredEndpointsAreStable(t *testing.T) {
	routing, service := largeRoutingTable(40)
	random := rand.New(rand.NewPCG(1, 1))
	taken := make(map[Address]int)
	for i := range 400 {
		key := callerKey(i)
		few, more := preferredAgents(service.Holders, key, placementChoices), preferredAgents(service.Holders, key, searchChoices)
		must.Len(t, 2*placementChoices, few)
		must.Len(t, 2*searchChoices, more)
		must.SliceContainsSubset(t, more, few)
		shuffled := slices.Clone(service.Holders)
		random.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
		must.Eq(t, few, preferredAgents(shuffled, key, placementChoices))
		for _, agent := range few {
			taken[agent]++
		}
	}
	for agent, n := range taken {
		fair := 400 * placementChoices / 10 // each of 10 local ones, and of 30 remote ones a third
		if routing.Agents[agent].Remote {
			fair /= 3
		}
		must.Between(t, fair/2, n, 2*fair)
	}
	before := preferredAgents(service.Holders, callerKey(1), placementChoices)
	addEndpoint(routing, service, 40)
	unchanged := 0
	for _, agent := range preferredAgents(service.Holders, callerKey(1), placementChoices) {
		if slices.Contains(before, agent) {
			unchanged++
		}
	}
	must.Between(t, 2*placementChoices-1, unchanged, 2*placementChoices)
}

// A flow is placed among the agents that a search queries first, unless all of those
// are busy.
func TestFlowsArePlacedAmongAgentsQueriedFirst(t *testing.T) {
	routing, service := largeRoutingTable(40)
	a := newTestAssignments()
	for i := range 100 {
		to := a.FromCaller(time.Second, Packet{Flow: callerKey(i), Opening: true}, routing, nil).To
		must.SliceContains(t, preferredAgents(service.Holders, callerKey(i), searchChoices), to)
		routing.receiveReport(time.Second, to)
	}
	key := callerKey(1000)
	for _, agent := range preferredAgents(service.Holders, key, placementChoices) {
		routing.Agents[agent].AgentLoad.Report(time.Second, placement.Usage{Running: 2, Mean: 2})
	}
	to := a.FromCaller(time.Second, Packet{Flow: key, Opening: true}, routing, nil).To
	must.SliceNotContains(t, preferredAgents(service.Holders, key, placementChoices), to)
}

// A search queries a few agents first, and others only once those have denied the flow
// or the caller sends again.
func TestSearchQueriesPreferredAgentsFirst(t *testing.T) {
	const endpoints = 40
	packet := Packet{Flow: callerKey(1), Acknowledged: 5, Data: 10}
	now := time.Second
	routing, _ := largeRoutingTable(endpoints)
	a := newTestAssignments()
	queried := a.FromCaller(now, packet, routing, []byte("data")).SearchAgents
	for _, others := range []int{2*searchChoices - placementChoices, endpoints - 2*searchChoices, 0} {
		for i, agent := range queried {
			d, datagram := a.Denied(now, packet.Flow, agent, routing)
			if i < len(queried)-1 {
				must.False(t, d.SendReset)
				must.SliceEmpty(t, d.SearchAgents)
				continue
			}
			must.EqOp(t, others == 0, d.SendReset)
			must.Len(t, others, d.SearchAgents)
			if others > 0 {
				must.EqOp(t, "data", string(datagram))
			}
			queried = d.SearchAgents
		}
	}

	a = newTestAssignments()
	near := a.FromCaller(now, packet, routing, []byte("data")).SearchAgents
	must.Len(t, placementChoices, near)
	for _, agent := range near {
		must.False(t, routing.Agents[agent].Remote)
	}
	must.Len(t, endpoints, a.FromCaller(now+searchInterval, packet, routing, []byte("data")).SearchAgents)
}

// A search does not wait for the answers of unresponsive agents. They get the packet only
// after they had time to report.
func TestSearchSkipsUnresponsiveAgents(t *testing.T) {
	routing, _ := largeRoutingTable(40)
	a := newTestAssignments()
	packet := Packet{Flow: callerKey(1), Data: 10}
	first := newTestAssignments().FromCaller(time.Second, packet, routing, []byte("data")).SearchAgents
	responsive, unresponsive := first[0], first[1:]
	for _, agent := range unresponsive {
		routing.Agents[agent].AgentLoad = new(placement.AgentLoad)
	}
	must.Eq(t, []Address{responsive}, a.FromCaller(time.Second, packet, routing, []byte("data")).SearchAgents)
	d, _ := a.Denied(time.Second, packet.Flow, responsive, routing)
	must.Len(t, 2*searchChoices-len(first), d.SearchAgents)
	for _, agent := range unresponsive {
		must.SliceNotContains(t, d.SearchAgents, agent)
	}
	a.endAll(time.Second, routing, packet.Flow, unresponsive)
	retried, _ := a.RetrySearches(time.Second+retryInterval, routing)
	must.SliceEmpty(t, retried)
	retried, _ = a.RetrySearches(time.Second+reportTimeout, routing)
	must.Len(t, 1, retried)
	must.SliceContainsAll(t, retried[0].Decision.SearchAgents, unresponsive)
}

// endAll lets every agent but the given ones deny the flow.
func (a *Assignments) endAll(now Timestamp, routing *RoutingTable, key Key, but []Address) {
	for agent := range routing.Agents {
		if !slices.Contains(but, agent) {
			a.Denied(now, key, agent, routing)
		}
	}
}

// Simulates how long requests wait when flows are placed among the few endpoints that
// they prefer, and among all: 40 endpoints with 2 slots, one request per flow, a report
// every 100 ms.
func BenchmarkPlacementAmongPreferred(b *testing.B) {
	for _, load := range []float64{0.33, 0.7} {
		for name, service := range map[string]func(routing *RoutingTable, s *Service) *Service{
			"few": func(_ *RoutingTable, s *Service) *Service { return s },
			"all": nil,
		} {
			b.Run(name+" at "+map[float64]string{0.33: "a third", 0.7: "0.7"}[load], func(b *testing.B) {
				for range b.N {
					b.ReportMetric(simulatePlacement(load, service == nil), "p99-ms")
				}
			})
		}
	}
}

func simulatePlacement(load float64, all bool) (p99 float64) {
	const endpoints, work, length = 40, 13 * time.Millisecond, 60 * time.Second
	_, service := largeRoutingTable(endpoints)
	a := newTestAssignments()
	random := rand.New(rand.NewPCG(3, 4))
	free := make([][2]time.Duration, endpoints)
	ends := make([][]time.Duration, endpoints)
	var waits []time.Duration
	rate := load * endpoints * 2 / work.Seconds()
	next, flow := time.Second, 0
	for at := time.Second; at < length; at += placement.ReportInterval {
		for i, endpoint := range service.Accepting {
			ends[i] = slices.DeleteFunc(ends[i], func(end time.Duration) bool { return end <= at })
			endpoint.AgentLoad.Report(at, placement.Usage{Running: len(ends[i]), Mean: float64(len(ends[i]))})
		}
		for ; next < at+placement.ReportInterval; next += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			flow++
			index := 0
			if all {
				index, _ = placement.Choose(next, random, service.Candidates, nil)
			} else {
				index, _ = a.choose(next, service, callerKey(flow), assignment{})
			}
			slot := 0
			if free[index][1] < free[index][0] {
				slot = 1
			}
			begin := max(next, free[index][slot])
			free[index][slot] = begin + time.Duration(random.ExpFloat64()*float64(work))
			ends[index] = append(ends[index], free[index][slot])
			waits = append(waits, begin-next)
		}
	}
	slices.Sort(waits)
	return float64(waits[len(waits)*99/100].Microseconds()) / 1000
}
