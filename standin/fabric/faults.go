package fabric

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Direction is a direction between the fabric and a balancer.
type Direction int

const (
	// ToBalancer is the direction from callers to a balancer.
	ToBalancer Direction = iota
	// FromBalancer is the direction from a balancer to callers.
	FromBalancer
)

// Impairment holds the fractions, 0 to 1, of datagrams that are lost, duplicated or delayed at
// random.
type Impairment struct {
	Lost       float64
	Duplicated float64
	// Delayed datagrams wait for a random time of up to Delay, so that others overtake
	// them.
	Delayed float64
	Delay   time.Duration
}

// link is one direction of the connection between the fabric and a balancer.
type link struct {
	direction Direction
	balancer  netip.AddrPort
}

// Faults injects faults into the links between the fabric and the balancers, with random
// choices from a seed. It is safe for concurrent use.
type Faults struct {
	mu         sync.Mutex
	random     *rand.Rand
	cut        map[link]bool
	impairment Impairment
}

func newFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, seed)), cut: make(map[link]bool)}
}

// Cut cuts the link to or from a balancer, or restores it.
func (f *Faults) Cut(direction Direction, balancer netip.AddrPort, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[link{direction, balancer}] = cut
}

// SetImpairment sets the random faults of all links.
func (f *Faults) SetImpairment(impairment Impairment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.impairment = impairment
}

func (f *Faults) pick(below int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(below)
}

// transmit calls send for each copy of a datagram that the faults leave, after its delay.
func (f *Faults) transmit(direction Direction, balancer netip.AddrPort, send func()) {
	for _, delay := range f.copyDelays(link{direction, balancer}) {
		if delay == 0 {
			send()
			continue
		}
		time.AfterFunc(delay, send)
	}
}

// copyDelays returns the delay of each copy of a datagram, or nil if it is lost.
func (f *Faults) copyDelays(l link) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[l] || f.random.Float64() < f.impairment.Lost {
		return nil
	}
	copies := 1
	if f.random.Float64() < f.impairment.Duplicated {
		copies = 2
	}
	delays := make([]time.Duration, copies)
	for i := range delays {
		if f.random.Float64() < f.impairment.Delayed {
			delays[i] = time.Duration(f.random.Int64N(int64(f.impairment.Delay))) + 1
		}
	}
	return delays
}
