package flow

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cactustray/placement"
)

// fullMap has the number of services and endpoints that the system is designed
// for.
func fullMap(now Timestamp) *RoutingTable {
	const services, endpoints = 2100, 24000
	m := NewRoutingTable()
	m.Complete = true
	m.CurrentAt = func() Timestamp { return now }
	for s := range services {
		service := &Service{Name: fmt.Sprint(s), Tag: TagOf(uint64(s))}
		for e := s; e < endpoints; e += services {
			agent := Address{IP: [4]byte{10, byte(e >> 16), byte(e >> 8), byte(e)}, Port: 7720}
			site := NewEndpoint(agent, service, placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: 2})
			site.AgentLoad.Report(now, placement.Usage{Flows: e % 50, Running: e % 2})
			service.Accepting = append(service.Accepting, site)
			service.Candidates = append(service.Candidates, &site.Candidate)
			service.Holders = append(service.Holders, site)
			m.Agents[site.Agent] = site
		}
		m.Routes[benchService(s)] = &Route{Shares: []Share{{Service: service, Weight: 1}}, Weight: 1}
	}
	return m
}

func benchService(s int) Address {
	return Address{IP: [4]byte{198, 18, byte(s >> 8), byte(s)}, Port: 443}
}

const benchFlows = 100000

func benchKey(i int) Key {
	return Key{Caller: Address{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}, Port: uint16(i>>8) + 1024}, Service: benchService(i % 2100)}
}

func fullAssignments(now Timestamp, m *RoutingTable) *Assignments {
	p := newTestAssignments()
	for i := range benchFlows {
		p.FromCaller(now, Packet{Flow: benchKey(i), Opening: true}, m, nil)
	}
	return p
}

// Measures a packet of a flow that the balancer knows, at full table size.
func BenchmarkKnownFlow(b *testing.B) {
	m := fullMap(time.Second)
	p := fullAssignments(time.Second, m)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 7919) % benchFlows
		if p.FromCaller(time.Second, Packet{Flow: benchKey(i), Data: 100}, m, nil).To.IsZero() {
			b.Fatal("not known")
		}
	}
}

// Measures the placement of an opening packet by load, at full table size.
func BenchmarkOpening(b *testing.B) {
	m := fullMap(time.Second)
	p := fullAssignments(time.Second, m)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 7919) % benchFlows
		key := benchKey(i)
		delete(p.flows, key)
		if p.FromCaller(time.Second, Packet{Flow: key, Opening: true}, m, nil).To.IsZero() {
			b.Fatal("not placed")
		}
	}
}

// Measures a packet at the agent of an endpoint with 2,000 flows.
func BenchmarkHeldFlow(b *testing.B) {
	const flows = 2000
	h := NewAgentTable(time.Second, 2, time.Minute, true)
	for i := range flows {
		h.FromBalancer(time.Second, Packet{Flow: benchKey(i), Opening: true}, Delivery{}, nil)
		h.FromEndpoint(time.Second, Packet{Flow: benchKey(i), Accepting: true, Sequence: 1})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 7919) % flows
		if h.FromBalancer(time.Second, Packet{Flow: benchKey(i), Acknowledged: 2}, Delivery{}, nil).Action != Deliver {
			b.Fatal("not delivered")
		}
	}
}

// Measures the memory per flow in a balancer's table, in bytes.
func BenchmarkAssignmentMemory(b *testing.B) {
	m := fullMap(time.Second)
	for b.Loop() {
		before := heap()
		p := fullAssignments(time.Second, m)
		b.ReportMetric(float64(heap()-before)/benchFlows, "B/flow")
		if p.Len() != benchFlows {
			b.Fatal(p.Len())
		}
	}
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
