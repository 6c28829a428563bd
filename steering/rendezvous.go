package steering

import "math/bits"

// FlowKey is a hash that identifies a flow.
type FlowKey uint64

const (
	// logBits is the number of fraction bits of a fixed-point logarithm.
	logBits = 57
	// logOne is 1 as a fixed-point logarithm.
	logOne = 1 << logBits
	// segmentBits is the binary logarithm of segments. The logarithm is
	// interpolated linearly within each segment of the logarithm table.
	segmentBits = 8
	segments    = 1 << segmentBits
	// interpolationBits is the number of fraction bits of the interpolation.
	interpolationBits = 32
)

// candidates are the endpoints eligible for new flows. The values read for
// every new flow are stored contiguously.
type candidates struct {
	seeds []uint64
	// inverses are 1/weight, scaled to 64 bits; nil if all weights are equal.
	inverses  []uint64
	endpoints []*Endpoint
}

func newCandidates(endpoints []*Endpoint) candidates {
	c := candidates{seeds: make([]uint64, len(endpoints)), endpoints: endpoints}
	inverses := make([]uint64, len(endpoints))
	for i, endpoint := range endpoints {
		c.seeds[i] = uint64(endpoint.Key)
		inverses[i] = ^uint64(0) / uint64(max(endpoint.Weight, 1))
		if inverses[i] != inverses[0] {
			c.inverses = inverses
		}
	}
	return c
}

// Home returns the endpoint for a new flow by weighted rendezvous hashing, or
// nil if no endpoint is eligible. The endpoint with the lowest -log2(u)/weight
// wins, where u is a hash of flow and endpoint. A change of endpoints moves
// only flows to or from the endpoints that changed. The arithmetic uses
// integers only, so that nodes of all processor types agree.
func (s *Service) Home(flow FlowKey) *Endpoint {
	if len(s.candidates.seeds) == 0 {
		return nil
	}
	if s.candidates.inverses == nil {
		return s.candidates.uniformHome(flow)
	}
	return s.candidates.weightedHome(flow)
}

func (c *candidates) weightedHome(flow FlowKey) *Endpoint {
	best := 0
	lowest, highest := ^uint64(0), uint64(0)
	for i, seed := range c.seeds {
		hash := mix(uint64(flow) ^ seed)
		cost, _ := bits.Mul64(negativeLog2(hash), c.inverses[i])
		if cost < lowest || cost == lowest && hash > highest {
			best, lowest, highest = i, cost, hash
		}
	}
	return c.endpoints[best]
}

// uniformHome is weightedHome for equal weights, where the highest hash has the
// lowest -log2(u). The first loop has no branch that the processor could
// mispredict; the second finds the endpoint with the highest hash.
func (c *candidates) uniformHome(flow FlowKey) *Endpoint {
	highest := uint64(0)
	for _, seed := range c.seeds {
		highest = max(highest, mix(uint64(flow)^seed))
	}
	for i, seed := range c.seeds {
		if mix(uint64(flow)^seed) == highest {
			return c.endpoints[i]
		}
	}
	return nil
}

// mix is the finalizer of MurmurHash3, a bijection in which every input bit
// affects every output bit.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// negativeLog2 returns -log2(u / 2^64) with logBits fraction bits. It never
// increases with u.
func negativeLog2(u uint64) uint64 {
	u |= 1
	zeros := bits.LeadingZeros64(u)
	fraction := u << zeros << 1
	segment := fraction >> (64 - segmentBits)
	remainder := fraction << segmentBits >> (64 - interpolationBits)
	low, high := logTable[segment], logTable[segment+1]
	productHigh, productLow := bits.Mul64(high-low, remainder)
	log := low + productHigh<<(64-interpolationBits) + productLow>>interpolationBits
	return uint64(zeros+1)<<logBits - log
}

// logTable holds log2(1 + i/segments).
var logTable = makeLogTable()

func makeLogTable() (table [segments + 1]uint64) {
	for i := range segments {
		table[i] = log2(1<<63 + uint64(i)<<(63-segmentBits))
	}
	table[segments] = logOne
	return table
}

// log2 returns log2(x / 2^63), where x / 2^63 lies in [1, 2). It computes one
// bit at a time: squaring x doubles its logarithm.
func log2(x uint64) (log uint64) {
	for range logBits {
		log <<= 1
		high, low := bits.Mul64(x, x)
		if high>>63 == 1 {
			log |= 1
			x = high
		} else {
			x = high<<1 | low>>63
		}
	}
	return log
}
