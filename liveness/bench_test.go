package liveness

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cactustray/membership"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

// newFullSizeObserver returns an observer of the size that the system is designed
// for: 24,000 endpoints in 2,100 services, and 3,200 balancers.
func newFullSizeObserver() (*Observer, []membership.Node) {
	const services, endpoints, balancers = 2100, 24_000, 3200
	o := NewObserver()
	keys := make([]ticket.EndpointKey, endpoints)
	for i := range keys {
		keys[i] = ticket.EndpointKeyOf("service", string(rune(i)))
	}
	for s := range services {
		o.SetService(start, ticket.ServiceKey(s+1), keys[s*endpoints/services:(s+1)*endpoints/services])
	}
	var nodes []membership.Node
	for i := range balancers {
		nodes = append(nodes, membership.Node{Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprint(i % 10)})
	}
	o.SetBalancers(start, nodes)
	return o, nodes
}

func BenchmarkReceiveReport(b *testing.B) {
	o, _ := newFullSizeObserver()
	now := start
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		o.ReceiveReport(now, Fact{Subject: Subject(i % 23), Incarnation: 1, State: Ready})
	}
}

func BenchmarkTick(b *testing.B) {
	o, _ := newFullSizeObserver()
	for i := range 23 {
		o.ReceiveReport(start, Fact{Subject: Subject(i), Incarnation: 1, State: Ready})
	}
	b.ResetTimer()
	for range b.N {
		o.Tick(start, time.Second)
	}
}

// BenchmarkMemory reports the memory of an observer that stores a fact of every
// endpoint.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		o, _ := newFullSizeObserver()
		for _, subjects := range o.services {
			for _, subject := range subjects {
				o.Apply(start, Fact{Subject: subject, Incarnation: 1, State: Leaving})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/24_000, "B/endpoint")
		must.Positive(b, o.Len())
	}
}

// BenchmarkLive measures the cost of a change of the live balancers.
func BenchmarkLive(b *testing.B) {
	o, nodes := newFullSizeObserver()
	b.ResetTimer()
	for range b.N {
		live := o.Live(nodes)
		membership.Successors("entry-1", live, GossipRings)
	}
}

// BenchmarkChoose measures the cost of choosing one agent's list of balancers.
func BenchmarkChoose(b *testing.B) {
	_, nodes := newFullSizeObserver()
	b.ResetTimer()
	for range b.N {
		membership.Choose("orders-1", nodes, MaxPaths)
	}
}
