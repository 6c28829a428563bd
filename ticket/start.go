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
func (g *Gossip) Ready(now time.Time, register *Register) bool {
	if g.ready || register.Len() == 0 {
		return g.ready
	}
	overdue := now.Sub(g.startedAt) >= maxStartDelay
	g.ready = !g.lastConfirmed.IsZero() || g.peersTried() || overdue
	return g.ready
}

// Started reports whether Ready has returned true.
func (g *Gossip) Started() bool { return g.ready }

// peersTried reports whether every partner was tried and could not confirm the
// tickets. It is true if no peer is known: the tickets then came from the
// platform, which delivers the list of peers first.
func (g *Gossip) peersTried() bool {
	if !g.hasPeers() {
		return true
	}
	for _, p := range g.partners {
		if !p.tried {
			return false
		}
	}
	return len(g.partners) > 0
}
