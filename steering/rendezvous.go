package steering

import "math/bits"

// FlowKey is the hash of what a front end knows a flow by.
type FlowKey uint64

const (
	// logBits is the number of fraction bits of a logarithm.
	logBits = 57
	// logOne is 1 as a logarithm.
	logOne = 1 << logBits
	// segmentBits is the size of the logarithm table: the function is linear
	// between its entries.
	segmentBits = 8
	segments    = 1 << segmentBits
	// restBits is the precision of the interpolation.
	restBits = 32
)

// contest is what the endpoints that take new flows compete with. What each
// flow reads lies close together.
type contest struct {
	seeds []uint64
	// inverses are 1/weight, scaled to 64 bits; nil when all weights are equal.
	inverses  []uint64
	endpoints []*Endpoint
}

func newContest(endpoints []*Endpoint) contest {
	c := contest{seeds: make([]uint64, len(endpoints)), endpoints: endpoints}
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

// Home returns the endpoint for a new flow, or nil, by weighted rendezvous
// hashing: the lowest -log2(u)/weight wins, where u is a hash of flow and
// endpoint. A change of the endpoints moves only flows to or from those that
// changed. All arithmetic is on integers, so nodes of any processor agree.
func (s *Service) Home(flow FlowKey) *Endpoint {
	if len(s.contest.seeds) == 0 {
		return nil
	}
	if s.contest.inverses == nil {
		return s.contest.uniformHome(flow)
	}
	return s.contest.weightedHome(flow)
}

func (c *contest) weightedHome(flow FlowKey) *Endpoint {
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

// uniformHome is weightedHome where all weights are equal: the highest hash has
// the lowest logarithm. The first loop has no branch for the processor to mispredict;
// the second finds whose hash it was.
func (c *contest) uniformHome(flow FlowKey) *Endpoint {
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

// mix is the finalizer of MurmurHash3: a bijection that spreads every bit.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// negativeLog2 returns -log2(u / 2^64) with logBits fraction bits. It never
// rises with u.
func negativeLog2(u uint64) uint64 {
	u |= 1
	zeros := bits.LeadingZeros64(u)
	fraction := u << zeros << 1
	segment := fraction >> (64 - segmentBits)
	rest := fraction << segmentBits >> (64 - restBits)
	low, high := logTable[segment], logTable[segment+1]
	up, down := bits.Mul64(high-low, rest)
	log := low + up<<(64-restBits) + down>>restBits
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

// log2 returns the logarithm of x / 2^63, which lies in [1, 2), bit by bit: the
// square of x has twice the logarithm.
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
