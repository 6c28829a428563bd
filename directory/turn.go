package directory

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readInterval is the pause between two readings of the reader whose turn
	// it is: several fit into the three seconds within which a change must be
	// in force.
	readInterval = 400 * time.Millisecond
	// turnBase is how old the directory may be before the next balancer reads
	// it too: two readings and a pause, so that one late reading is no cause.
	turnBase = 1000 * time.Millisecond
	// turnStep is how much later each further balancer follows.
	turnStep = 200 * time.Millisecond
	// retryBase and retryMost are the pauses after failed readings, doubled
	// from one to the other.
	retryBase = 200 * time.Millisecond
	retryMost = 1600 * time.Millisecond
	// retryUnknown is the pause while nothing is known: no caller is served until
	// the source answers.
	retryUnknown = 100 * time.Millisecond
	// helloFor is how long a balancer counts as alive after it was heard of.
	helloFor = 2 * time.Second
	// maxPeers bounds how many balancers are told of news directly.
	maxPeers = 64
)

// Turn decides when this balancer reads the source. Every balancer reads when
// what it holds has grown older than its place in a common order allows, so one
// reads while all is well and others follow where its news do not arrive:
// nothing is elected. The control goroutine owns it.
type Turn struct {
	self  netip.AddrPort
	order uint64
	peers map[netip.AddrPort]time.Duration

	reading  bool
	ended    time.Duration
	failures int
}

// NewTurn returns the turn of the balancer that others reach at an address.
func NewTurn(self netip.AddrPort) *Turn {
	return &Turn{self: self, order: orderOf(self), peers: make(map[netip.AddrPort]time.Duration)}
}

func orderOf(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }

// Met takes in that a balancer was heard of.
func (t *Turn) Met(now time.Duration, peer netip.AddrPort) {
	if peer != t.self && peer.IsValid() && (len(t.peers) < maxPeers || t.peers[peer] != 0) {
		t.peers[peer] = now
	}
}

// Peers returns the addresses of the other balancers that are alive.
func (t *Turn) Peers(now time.Duration) []netip.AddrPort {
	var alive []netip.AddrPort
	for peer, met := range t.peers {
		if now-met > helloFor {
			delete(t.peers, peer)
			continue
		}
		alive = append(alive, peer)
	}
	return alive
}

// rank returns how many living balancers come first in the common order.
func (t *Turn) rank(now time.Duration) int {
	rank := 0
	for peer, met := range t.peers {
		if now-met <= helloFor && orderOf(peer) < t.order {
			rank++
		}
	}
	return rank
}

// Due tells whether to read now, given when the directory was last known to be
// the newest. After true, Ended must follow.
func (t *Turn) Due(now, asOf time.Duration, known bool) bool {
	if t.reading || now-t.ended < t.pause(known) {
		return false
	}
	if known {
		rank := t.rank(now)
		if rank > 0 && now-asOf < turnBase+time.Duration(rank)*turnStep {
			return false
		}
	}
	t.reading = true
	return true
}

// Ended takes the end of a reading in.
func (t *Turn) Ended(now time.Duration, failed bool) {
	t.reading, t.ended = false, now
	if failed {
		t.failures++
	} else {
		t.failures = 0
	}
}

// Again lets the next reading follow at once, when the last one told only that
// another is needed.
func (t *Turn) Again() { t.reading, t.ended = false, 0 }

func (t *Turn) pause(known bool) time.Duration {
	if t.ended == 0 {
		return 0
	}
	if !known {
		return retryUnknown
	}
	if t.failures == 0 {
		return readInterval
	}
	return min(retryBase<<min(t.failures-1, 8), retryMost)
}
