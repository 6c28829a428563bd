package ticket

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReadersPerZone is how many balancers of a failure domain watch the
	// platform.
	ReadersPerZone = 2
	// listEveryPeer and minListInterval set how often a balancer that does
	// not watch reads the list of VMs: the interval grows with the fleet, so
	// the fleet's reads of the list do not.
	listEveryPeer   = 100 * time.Millisecond
	minListInterval = 5 * time.Second
	// readPatience is how long ago anybody may have read the platform before
	// a balancer watches it itself; up to as much again is added at random,
	// so that a fleet does not begin to read at once. It is longer than a
	// watch without news and the way of its age through the fleet.
	readPatience = 25 * time.Second
)

// Reading says how a node reads the platform.
type Reading struct {
	// Watch asks for a watch on everything published.
	Watch bool
	// ListInterval is how often the list of VMs alone is read otherwise.
	ListInterval time.Duration
}

// IsReader tells whether self is one of the readers of its zone. Each node
// computes it alone by rendezvous hashing over the balancers it knows; nodes
// with different lists disagree harmlessly.
func IsReader(self Peer, peers []Peer) bool {
	before := 0
	own := readerRank(self)
	for _, peer := range peers {
		if peer.Zone != self.Zone || peer.Name == self.Name {
			continue
		}
		rank := readerRank(peer)
		if rank > own || rank == own && peer.Name < self.Name {
			before++
		}
	}
	return before < ReadersPerZone
}

func readerRank(p Peer) uint64 { return xxhash.Sum64String(p.Zone + "\x00" + p.Name) }

// Reading returns how this node is to read the platform now.
func (s *Spread) Reading(now time.Time) Reading {
	overdue := s.ReadAge(now) > s.patience
	listed := len(s.listed) > 0
	unknown := !listed && len(s.seeds) == 0
	if unknown || overdue || listed && IsReader(s.self, s.listed) {
		return Reading{Watch: true}
	}
	return Reading{ListInterval: listInterval(len(s.listed))}
}

// listInterval grows in steps of two, so that a node more or less does not
// change the order to the platform's reader.
func listInterval(peers int) time.Duration {
	interval := minListInterval
	for interval < time.Duration(peers)*listEveryPeer {
		interval *= 2
	}
	return interval
}

// sortPeers orders peers by name, so that a random choice among them depends
// on the random source alone.
func sortPeers(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Control, b.Control))
	})
}
