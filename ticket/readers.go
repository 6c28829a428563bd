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
	// listIntervalPerPeer and minListInterval set how often a balancer that
	// does not watch the platform reads the list of VMs. The interval grows
	// with the number of balancers, so the total rate of reads does not.
	listIntervalPerPeer = 100 * time.Millisecond
	minListInterval     = 5 * time.Second
	// maxReadAge is how old the last known read of the platform by any node may
	// be before a balancer watches the platform itself. Each balancer adds a
	// random time up to the same length, so that they do not all begin to read
	// at once. It is longer than a watch without changes plus the time that
	// gossip takes to spread the age of the read to all nodes.
	maxReadAge = 25 * time.Second
)

// ReadMode says how a node reads the platform. The zero value means that it
// does not read.
type ReadMode struct {
	// Watch is true if the node watches everything that is published.
	Watch bool
	// ListInterval is how often the node reads the list of VMs alone if it does
	// not watch.
	ListInterval time.Duration
}

// IsReader reports whether self is one of the readers of its zone. Each node
// computes this independently by rendezvous hashing over the balancers it
// knows; if nodes have different lists, a zone has a few readers more or less
// for a while, which does no harm.
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

// ReadMode returns how this node should read the platform now. It watches if it
// knows no peers, if the last known read is too old, or if it is a reader of
// its zone.
func (g *Gossip) ReadMode(now time.Time) ReadMode {
	overdue := g.ReadAge(now) > g.watchAfter
	listed := len(g.listed) > 0
	unknown := !listed && len(g.seeds) == 0
	if unknown || overdue || listed && IsReader(g.self, g.listed) {
		return ReadMode{Watch: true}
	}
	return ReadMode{ListInterval: listInterval(len(g.listed))}
}

// listInterval grows in powers of two, so that one node more or less rarely
// changes the interval and with it the mode set in the platform's watcher.
func listInterval(peers int) time.Duration {
	interval := minListInterval
	for interval < time.Duration(peers)*listIntervalPerPeer {
		interval *= 2
	}
	return interval
}

// sortPeers sorts peers by name, so that a random choice among them depends
// only on the random source.
func sortPeers(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Control, b.Control))
	})
}
