package admission

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// BenchmarkDecision measures one request that arrives, runs and ends.
func BenchmarkDecision(b *testing.B) {
	s := NewState(start, Limits{Slots: 4, QueueTime: time.Minute}, rand.New(rand.NewPCG(1, 1)), func(Violation) {})
	now := start
	for i := range b.N {
		id := RequestID(i + 1)
		now = now.Add(time.Millisecond)
		s.Arrive(now, Request{ID: id, Deadline: now.Add(time.Second)})
		s.Finish(now, id)
	}
}

// BenchmarkClaim measures one keyed request at the key's owner.
func BenchmarkClaim(b *testing.B) {
	k := NewKeyTable(start, 1)
	now := start.Add(DedupWindow)
	for i := range b.N {
		key := Key(fmt.Sprint(i % maxRecords))
		now = now.Add(time.Microsecond)
		k.Claim(now, key, 1, nil)
		k.RecordOutcome(now, key, testAnswer("confirmed"))
	}
}

// BenchmarkMemory reports the heap of one queued request and of one record.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		before := heap()
		s := NewState(start, Limits{QueueTime: time.Hour}, rand.New(rand.NewPCG(1, 1)), func(Violation) {})
		for i := range maxQueue {
			s.Arrive(start, Request{ID: RequestID(i + 1), Deadline: start.Add(time.Hour)})
		}
		b.ReportMetric(float64(heap()-before)/maxQueue, "B/queued")
		before = heap()
		k := NewKeyTable(start, 1)
		for i := range maxRecords {
			k.AddReplica(start, Key(fmt.Sprintf("truck-%08d", i)), KeyQuery{Owner: 2})
		}
		b.ReportMetric(float64(heap()-before)/maxRecords, "B/record")
		runtime.KeepAlive(s)
		runtime.KeepAlive(k)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
