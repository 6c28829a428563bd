package ticket

import "time"

// maxStartDelay is how long a starting balancer that has tickets waits for its
// peers. It is longer than the timeout of a call to each.
const maxStartDelay = 5 * time.Second

// Ready reports whether the node may accept traffic. It must have tickets, and
// either a peer that accepts traffic confirmed them or no peer can confirm
// them, because each one was tried and did not respond or is starting too.
// After maxStartDelay tickets alone suffice. Once true it stays true, so that a
// later outage does not withdraw the table.
func (s *Gossip) Ready(now time.Time, register *Register) bool {
	if s.ready || register.Len() == 0 {
		return s.ready
	}
	overdue := now.Sub(s.startedAt) >= maxStartDelay
	s.ready = !s.lastConfirmed.IsZero() || s.peersTried() || overdue
	return s.ready
}

// Started reports whether Ready has returned true.
func (s *Gossip) Started() bool { return s.ready }

// peersTried reports whether every partner was tried and could not confirm the
// tickets. It is true if no peer is known: the tickets then came from the
// platform, which delivers the list of peers first.
func (s *Gossip) peersTried() bool {
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
