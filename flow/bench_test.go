package flow

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cactustray/placement"
)

// fullRoutingTable has the number of services and endpoints that the system is
// designed for.
func fullRoutingTable(now Timestamp) *RoutingTable {
	const services, endpoints = 2100, 24000
	routing := NewRoutingTable()
	routing.Complete = true
	routing.CurrentAt = func() Timestamp { return now }
	for s := range services {
		service := &Service{Name: fmt.Sprint(s), ID: ServiceID(s + 1), Tag: TagOf(uint64(s))}
		for e := s; e < endpoints; e += services {
			agent := Address{IP: [4]byte{10, byte(e >> 16), byte(e >> 8), byte(e)}, Port: 7720}
			endpoint := NewEndpoint(agent, service, placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: 2})
			endpoint.AgentLoad.Report(now, placement.Usage{Flows: e % 50, Running: e % 2})
			service.Accepting = append(service.Accepting, endpoint)
			service.Candidates = append(service.Candidates, &endpoint.Candidate)
			service.Holders = append(service.Holders, endpoint)
			routing.Agents[endpoint.Agent] = endpoint
		}
		routing.Routes[benchService(s)] = &Route{Shares: []Share{{Service: service, Weight: 1}}, Weight: 1}
	}
	return routing
}

func benchService(s int) Address {
	return Address{IP: [4]byte{198, 18, byte(s >> 8), byte(s)}, Port: 443}
}

const benchFlows = 100000

func benchKey(i int) Key {
	return Key{Caller: Address{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}, Port: uint16(i>>8) + 1024}, Service: benchService(i % 2100)}
}

func fullAssignments(now Timestamp, routing *RoutingTable) *Assignments {
	a := newTestAssignments()
	for i := range benchFlows {
		a.FromCaller(now, Packet{Flow: benchKey(i), Opening: true}, routing, nil)
	}
	return a
}

// Measures a packet of a flow that the balancer knows, at full table size.
func BenchmarkKnownFlow(b *testing.B) {
	routing := fullRoutingTable(time.Second)
	a := fullAssignments(time.Second, routing)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 7919) % benchFlows
		if a.FromCaller(time.Second, Packet{Flow: benchKey(i), Data: 100}, routing, nil).To.IsZero() {
			b.Fatal("not known")
		}
	}
}

// Measures the placement of an opening packet by load, at full table size.
func BenchmarkOpening(b *testing.B) {
	routing := fullRoutingTable(time.Second)
	a := fullAssignments(time.Second, routing)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 7919) % benchFlows
		key := benchKey(i)
		delete(a.flows, key)
		if a.FromCaller(time.Second, Packet{Flow: key, Opening: true}, routing, nil).To.IsZero() {
			b.Fatal("not placed")
		}
	}
}

// Measures a packet at the agent of an endpoint with 2,000 flows.
func BenchmarkHeldFlow(b *testing.B) {
	const flows = 2000
	t := NewAgentTable(time.Second, 2, time.Minute, true)
	for i := range flows {
		t.FromBalancer(time.Second, Packet{Flow: benchKey(i), Opening: true}, Delivery{}, nil)
		t.FromEndpoint(time.Second, Packet{Flow: benchKey(i), Accepting: true, Sequence: 1})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 7919) % flows
		if t.FromBalancer(time.Second, Packet{Flow: benchKey(i), Acknowledged: 2}, Delivery{}, nil).Action != Deliver {
			b.Fatal("not delivered")
		}
	}
}

// Measures the memory per flow in a balancer's table, in bytes.
func BenchmarkAssignmentMemory(b *testing.B) {
	routing := fullRoutingTable(time.Second)
	for b.Loop() {
		before := heap()
		a := fullAssignments(time.Second, routing)
		b.ReportMetric(float64(heap()-before)/benchFlows, "B/flow")
		if a.Len() != benchFlows {
			b.Fatal(a.Len())
		}
	}
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
