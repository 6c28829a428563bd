package ticket

import "time"

// startBound is how long a starting balancer that holds tickets waits for its
// peers. It covers the timeout of a call to each.
const startBound = 5 * time.Second

// Ready tells whether the node may take traffic: it holds tickets, and a peer
// that takes traffic confirmed them, or no peer can: each was tried and did
// not answer or is starting too. Once true it stays true, so a later outage
// takes no table away.
func (s *Spread) Ready(now time.Time, register *Register) bool {
	if s.ready || register.Len() == 0 {
		return s.ready
	}
	overdue := now.Sub(s.began) >= startBound
	s.ready = !s.confirmed.IsZero() || s.peersTried() || overdue
	return s.ready
}

// Started tells whether Ready has been true.
func (s *Spread) Started() bool { return s.ready }

// peersTried tells whether every partner was asked in vain. Without any peer
// it is true: the tickets then came from the platform, which lists the peers
// first.
func (s *Spread) peersTried() bool {
	if !s.hasPeers() {
		return true
	}
	for _, p := range s.partners {
		if !p.tried {
			return false
		}
	}
	return len(s.partners) > 0
}
