package steering

import (
	"fmt"
	"runtime"
	"testing"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

// The size of the platform that the system is designed for.
const (
	fullServices  = 2100
	fullEndpoints = 24000
)

func benchmarkPackets(b *testing.B, packet func(i int) Packet) {
	table := NewState().Update(start, newRegister(fullServices, fullEndpoints), AlwaysAvailable{})
	packets := make([]Packet, 1<<14)
	for i := range packets {
		packets[i] = packet(i)
		must.False(b, table.Decide(packets[i]).Dropped())
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if table.Decide(packets[i&(len(packets)-1)]).Dropped() {
			b.Fatal("dropped")
		}
		i++
	}
}

func BenchmarkDecideOwned(b *testing.B) {
	benchmarkPackets(b, func(i int) Packet {
		service := i % fullServices
		return Packet{Address: address(10, service), HasOwner: true, Owner: Owner{Endpoint: keyOf(service, i%11), Incarnation: 1}}
	})
}

func BenchmarkDecideOpening(b *testing.B) {
	benchmarkPackets(b, func(i int) Packet {
		return Packet{Address: address(10, i%fullServices), Opening: true, Flow: FlowKey(mix(uint64(i)))}
	})
}

func BenchmarkOpenToken(b *testing.B) {
	key, err := ParseKey(1, "00112233445566778899aabbccddeeff")
	must.NoError(b, err)
	sealer, err := NewSealer([]Key{key})
	must.NoError(b, err)
	token := sealer.Seal(Owner{Endpoint: 1, Incarnation: 2}, 3)
	opener := sealer.NewOpener()
	b.ReportAllocs()
	for b.Loop() {
		opener.Open(token[:])
	}
}

// BenchmarkHome compares algorithms that choose the home of a new flow.
func BenchmarkHome(b *testing.B) {
	for _, endpoints := range []int{4, 11, 100, 1000} {
		weights := make([]uint32, endpoints)
		for i := range weights {
			weights[i] = 100
		}
		uniform := NewService(ticketOf(0, 1, weights...), AlwaysAvailable{})
		weights[0] = 50
		weighted := NewService(ticketOf(0, 1, weights...), AlwaysAvailable{})
		slots := newSlotTable(weighted, 4096)
		run := func(name string, home func(FlowKey) *Endpoint) {
			b.Run(fmt.Sprintf("%s/endpoints=%d", name, endpoints), func(b *testing.B) {
				flow := uint64(0)
				for b.Loop() {
					flow += 0x9e3779b97f4a7c15
					home(FlowKey(flow))
				}
			})
		}
		run("uniform", uniform.Home)
		run("weighted", weighted.Home)
		run("float", weighted.floatHome)
		run("slots", slots.home)
	}
}

// BenchmarkSlotTable measures the time to build a slot table, and how unevenly
// it distributes flows.
func BenchmarkSlotTable(b *testing.B) {
	for _, count := range []int{1024, 4096, 16384} {
		b.Run(fmt.Sprintf("slots=%d", count), func(b *testing.B) {
			service := NewService(ticketOf(0, 1, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100), AlwaysAvailable{})
			var table *slotTable
			for b.Loop() {
				table = newSlotTable(service, count)
			}
			b.ReportMetric(table.unevenness(), "max/mean")
		})
	}
}

// BenchmarkUpdate measures the cost of a change of one endpoint's liveness, if
// the changed service is named ("flip") and if all services are scanned for the
// change ("flip, all services scanned"), and of building the whole table.
func BenchmarkUpdate(b *testing.B) {
	register := newRegister(fullServices, fullEndpoints)
	availability := fakeAvailability{suspected: make(map[ticket.EndpointKey]bool)}
	flip := func(b *testing.B, services ...ticket.ServiceKey) {
		s := NewState()
		s.Update(start, register, availability)
		b.ReportAllocs()
		for b.Loop() {
			availability.suspected[keyOf(7, 3)] = !availability.suspected[keyOf(7, 3)]
			s.Update(start, register, availability, services...)
		}
	}
	b.Run("flip", func(b *testing.B) { flip(b, ticketOf(7, 1).Key()) })
	b.Run("flip, all services scanned", func(b *testing.B) { flip(b) })
	b.Run("whole table", func(b *testing.B) {
		for b.Loop() {
			NewState().Update(start, register, availability)
		}
	})
}

// BenchmarkTableMemory reports the memory of a table in bytes, without its
// tickets.
func BenchmarkTableMemory(b *testing.B) {
	for _, size := range []struct{ services, endpoints int }{{2100, 2100}, {2100, 24000}, {4200, 24000}, {4200, 48000}} {
		b.Run(fmt.Sprintf("services=%d/endpoints=%d", size.services, size.endpoints), func(b *testing.B) {
			register := newRegister(size.services, size.endpoints)
			before := heap()
			var s *State
			for b.Loop() {
				s = NewState()
				s.Update(start, register, AlwaysAvailable{})
			}
			b.ReportMetric(float64(heap()-before), "B/table")
			runtime.KeepAlive(s)
			runtime.KeepAlive(register)
		})
	}
}

func heap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
