package fabric

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Direction is one of the two ways between the fabric and a balancer.
type Direction int

const (
	// To is from callers to a balancer.
	To Direction = iota
	// From is from a balancer to callers.
	From
)

// Noise is what happens to datagrams at random, each as a share from 0 to 1.
type Noise struct {
	Lost    float64
	Doubled float64
	// Delayed datagrams wait for a time below Delay, so that others overtake
	// them.
	Delayed float64
	Delay   time.Duration
}

type way struct {
	direction Direction
	balancer  netip.AddrPort
}

// Faults are what goes wrong between the fabric and the balancers, by a fixed
// seed. It is safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	random *rand.Rand
	cut    map[way]bool
	noise  Noise
}

func newFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, seed)), cut: make(map[way]bool)}
}

// Cut makes one way to a balancer carry nothing, or heals it.
func (f *Faults) Cut(direction Direction, balancer netip.AddrPort, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[way{direction, balancer}] = cut
}

// SetNoise changes what happens at random.
func (f *Faults) SetNoise(noise Noise) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noise = noise
}

func (f *Faults) pick(below int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(below)
}

// carry sends one datagram as often and as late as the faults have it.
func (f *Faults) carry(direction Direction, balancer netip.AddrPort, send func()) {
	for _, delay := range f.fates(way{direction, balancer}) {
		if delay == 0 {
			send()
			continue
		}
		time.AfterFunc(delay, send)
	}
}

// fates returns the delay of each copy of a datagram.
func (f *Faults) fates(w way) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[w] || f.random.Float64() < f.noise.Lost {
		return nil
	}
	copies := 1
	if f.random.Float64() < f.noise.Doubled {
		copies = 2
	}
	delays := make([]time.Duration, copies)
	for i := range delays {
		if f.random.Float64() < f.noise.Delayed {
			delays[i] = time.Duration(f.random.Int64N(int64(f.noise.Delay))) + 1
		}
	}
	return delays
}
