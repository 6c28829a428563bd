package hedging

import (
	"slices"
	"time"

	"cactustray/ticket"
)

// Snapshot is what traffic goroutines need to offer copies. It is immutable. A nil Snapshot
// offers none.
type Snapshot struct {
	timings map[Class]Timing
	peers   []Peer
}

// Delay returns how long the first copy of a request may wait for its answer before a
// second is offered. ok is false if no second copy is to be offered: too little is known of
// the class, or a copy that begins then would not be expected to be answered in time.
func (s *Snapshot) Delay(class Class, left time.Duration) (delay time.Duration, ok bool) {
	if s == nil {
		return 0, false
	}
	timing, known := s.timings[class]
	if !known {
		timing, known = s.timings[otherClasses]
	}
	return timing.Delay, known && timing.Delay+timing.Typical < left
}

// Choose returns the peer to offer the second copy of a request to. first is the endpoint
// that has the first copy, zone its failure domain, and tried are the peers that have
// refused this copy. A peer of another failure domain is preferred as long as one has room,
// and among equals the choice is random.
func (s *Snapshot) Choose(first ticket.EndpointKey, zone string, tried []ticket.EndpointKey, random uint64) (peer Peer, ok bool) {
	if s == nil {
		return Peer{}, false
	}
	var elsewhere, same []Peer
	for _, p := range s.peers {
		switch {
		case p.Key == first || !p.hasRoom() || slices.Contains(tried, p.Key):
		case p.Zone != zone:
			elsewhere = append(elsewhere, p)
		default:
			same = append(same, p)
		}
	}
	candidates := elsewhere
	if len(candidates) == 0 {
		candidates = same
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return candidates[random%uint64(len(candidates))], true
}
