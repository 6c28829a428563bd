package ticket

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

const (
	benchEndpoints = 11
	benchNodes     = 3200
)

var serviceCounts = []int{10, 100, 1000, 2100}

// documentOf returns the JSON text of a ticket with the given number of
// endpoints.
func documentOf(b *testing.B, service, endpoints int, number Number) []byte {
	t := sample(number, 0)
	t.Service = fmt.Sprintf("service-%04d", service)
	t.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(service >> 8), byte(service)}), 443)
	first := t.Endpoints[0]
	t.Endpoints = nil
	for i := range endpoints {
		first.Name = fmt.Sprintf("%s-%d", t.Service, i)
		t.Endpoints = append(t.Endpoints, first)
	}
	document, err := json.Marshal(t)
	if err != nil {
		b.Fatal(err)
	}
	return document
}

func filledState(b *testing.B, services int) (*State, Update) {
	s := NewState(epoch, Peer{Name: "entry-0000", Zone: "fd-0", Control: "entry-0000"}, nil, rand.New(rand.NewPCG(1, 1)))
	update := Update{}
	for i := range services {
		record, err := NewRecord(documentOf(b, i, benchEndpoints, 1), uint64(i+1), false)
		if err != nil {
			b.Fatal(err)
		}
		update.Records = append(update.Records, record)
	}
	s.Update(epoch, update)
	return s, update
}

func bySize(b *testing.B, run func(b *testing.B, services int)) {
	for _, n := range serviceCounts {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) { run(b, n) })
	}
}

// BenchmarkRegisterMemory reports the heap that a register needs per service,
// in bytes.
func BenchmarkRegisterMemory(b *testing.B) {
	bySize(b, func(b *testing.B, services int) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			s, _ := filledState(b, services)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(s)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(services), "heapB/service")
	})
}

// BenchmarkParse measures parsing one ticket, which happens off the control
// goroutine.
func BenchmarkParse(b *testing.B) {
	for _, endpoints := range []int{1, 11, 100} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			document := documentOf(b, 0, endpoints, 1)
			for b.Loop() {
				_, _ = NewRecord(document, 1, false)
			}
			b.ReportMetric(float64(len(document)), "documentB")
		})
	}
}

// BenchmarkJoin measures joining one new ticket on the control goroutine,
// including the resulting calls.
func BenchmarkJoin(b *testing.B) {
	bySize(b, func(b *testing.B, services int) {
		s, _ := filledState(b, services)
		s.SetPeers(peersOf(FanOut+1, 1))
		record, _ := NewRecord(documentOf(b, 0, benchEndpoints, 2), 1, false)
		changed := *record.Ticket
		for b.Loop() {
			changed.Number++
			next := changed
			record.Ticket = &next
			s.Query(epoch, Request{Records: []Record{record}})
		}
	})
}

// BenchmarkPublished measures handling one response of the platform, which
// repeats all tickets.
func BenchmarkPublished(b *testing.B) {
	bySize(b, func(b *testing.B, services int) {
		s, update := filledState(b, services)
		for b.Loop() {
			s.Update(epoch, update)
		}
	})
}

// BenchmarkTick measures a tick without messages.
func BenchmarkTick(b *testing.B) {
	bySize(b, func(b *testing.B, services int) {
		s, _ := filledState(b, services)
		now := epoch
		for b.Loop() {
			now = now.Add(100 * time.Millisecond)
			s.Tick(now)
		}
	})
}

// BenchmarkCompareEqual measures answering a peer with an equal register.
func BenchmarkCompareEqual(b *testing.B) {
	bySize(b, func(b *testing.B, services int) {
		s, _ := filledState(b, services)
		request := Request{Summary: s.Summary(), Summarized: true}
		for b.Loop() {
			s.Query(epoch, request)
		}
	})
}

// BenchmarkCompareBucket measures answering a peer's query about one bucket.
func BenchmarkCompareBucket(b *testing.B) {
	bySize(b, func(b *testing.B, services int) {
		s, _ := filledState(b, services)
		buckets := []Bucket{3}
		request := Request{Buckets: buckets, Digests: s.digestsIn(buckets)}
		for b.Loop() {
			s.Query(epoch, request)
		}
	})
}

// BenchmarkListed measures choosing partners among all balancers.
func BenchmarkListed(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, benchNodes} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			peers := peersOf(nodes, 10)
			s := stateOf(peers[0], nil)
			for b.Loop() {
				s.SetPeers(peers)
			}
		})
	}
}
