package steering

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// floatHome is weighted rendezvous hashing by floating-point logarithms. The
// benchmarks compare it with Service.Home, which was chosen over it.
func (s *Service) floatHome(flow FlowKey) *Endpoint {
	var best *Endpoint
	lowest := math.Inf(1)
	for i, endpoint := range s.candidates.endpoints {
		var pair [16]byte
		binary.LittleEndian.PutUint64(pair[:], uint64(flow))
		binary.LittleEndian.PutUint64(pair[8:], s.candidates.seeds[i])
		const unit = 1 << 53
		uniform := (float64(xxhash.Sum64(pair[:])>>11) + 0.5) / unit
		cost := -math.Log(uniform) / float64(endpoint.Weight)
		if cost < lowest {
			best, lowest = endpoint, cost
		}
	}
	return best
}

// slotTable assigns a home to each of a fixed number of slots in advance. The
// benchmarks compare it with hashing every flow, which was chosen over it.
type slotTable struct{ slots []*Endpoint }

func newSlotTable(s *Service, count int) *slotTable {
	t := &slotTable{slots: make([]*Endpoint, count)}
	for i := range t.slots {
		t.slots[i] = s.Home(FlowKey(mix(uint64(i))))
	}
	return t
}

func (t *slotTable) home(flow FlowKey) *Endpoint { return t.slots[uint64(flow)%uint64(len(t.slots))] }

// unevenness returns the largest number of slots of an endpoint, divided by the
// mean.
func (t *slotTable) unevenness() float64 {
	counts := make(map[*Endpoint]int)
	most := 0
	for _, endpoint := range t.slots {
		counts[endpoint]++
		most = max(most, counts[endpoint])
	}
	return float64(most*len(counts)) / float64(len(t.slots))
}
