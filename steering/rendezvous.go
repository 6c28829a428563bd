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

// candidate is one endpoint in the contest for a flow.
type candidate struct {
	seed uint64
	// inverse is 1/weight, scaled to 64 bits.
	inverse  uint64
	endpoint *Endpoint
}

func newCandidate(endpoint *Endpoint) candidate {
	return candidate{
		seed:     uint64(endpoint.Key),
		inverse:  ^uint64(0) / uint64(max(endpoint.Weight, 1)),
		endpoint: endpoint,
	}
}

// Home returns the endpoint for a new flow, or nil, by weighted rendezvous
// hashing: the lowest -log2(u)/weight wins, where u is a hash of flow and
// endpoint. A change of the endpoints moves only flows to or from those that
// changed. All arithmetic is on integers, so nodes of any processor agree.
func (s *Service) Home(flow FlowKey) *Endpoint {
	if s.uniform {
		return s.uniformHome(flow)
	}
	var best *Endpoint
	lowest, highest := ^uint64(0), uint64(0)
	for i := range s.candidates {
		c := &s.candidates[i]
		hash := mix(uint64(flow) ^ c.seed)
		cost, _ := bits.Mul64(negativeLog2(hash), c.inverse)
		if best == nil || cost < lowest || cost == lowest && hash > highest {
			best, lowest, highest = c.endpoint, cost, hash
		}
	}
	return best
}

// uniformHome is Home where all weights are equal: the highest hash has the
// lowest logarithm.
func (s *Service) uniformHome(flow FlowKey) *Endpoint {
	var best *Endpoint
	highest := uint64(0)
	for i := range s.candidates {
		c := &s.candidates[i]
		if hash := mix(uint64(flow) ^ c.seed); best == nil || hash > highest {
			best, highest = c.endpoint, hash
		}
	}
	return best
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
