package directory

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readInterval is the pause between two reads by the first balancer in the
	// order. Several reads fit into the three seconds within which a change
	// must be in force.
	readInterval = 400 * time.Millisecond
	// takeoverBase is how old the directory may be before the next balancer in
	// the order reads it too: two reads and a pause, so that one late read does
	// not cause it.
	takeoverBase = 1000 * time.Millisecond
	// takeoverStep is how much later each following balancer reads, up to the one of rank
	// lastRank. Those that follow read takeoverSpread after it at the latest, each at a
	// time of its own, so that no directory is older than lastTakeover while the source
	// answers: a change must be in force within three seconds and more.
	takeoverStep   = 200 * time.Millisecond
	lastRank       = 8
	takeoverSpread = 400 * time.Millisecond
	lastTakeover   = takeoverBase + lastRank*takeoverStep + takeoverSpread
	// retryBase and retryMax are the shortest and the longest pause after
	// failed reads; the pause doubles with each failure.
	retryBase = 200 * time.Millisecond
	retryMax  = 1600 * time.Millisecond
	// retryEmpty is the pause while no directory was received: callers are not
	// served until the source answers.
	retryEmpty = 100 * time.Millisecond
	// peerLifetime is how long a balancer counts as alive after the last sign
	// of life.
	peerLifetime = 2 * time.Second
	// maxPeers bounds how many other balancers are recorded and notified of
	// changes directly.
	maxPeers = 512
)

// ReaderSchedule decides when this balancer reads the source. All balancers
// have a rank in a common order, and each one reads when its directory is older
// than its rank allows. Normally only the first one reads; others take over if
// its updates do not arrive. No election is needed. The control goroutine owns
// it.
type ReaderSchedule struct {
	self     netip.AddrPort
	position uint64
	peers    map[netip.AddrPort]time.Duration

	reading   bool
	lastEnded time.Duration
	failures  int
}

// NewReaderSchedule returns the reader schedule of the balancer with the given
// address.
func NewReaderSchedule(self netip.AddrPort) *ReaderSchedule {
	return &ReaderSchedule{self: self, position: positionOf(self), peers: make(map[netip.AddrPort]time.Duration)}
}

// positionOf returns the position of a balancer in the common order.
func positionOf(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }

// RecordPeer records a sign of life of another balancer.
func (s *ReaderSchedule) RecordPeer(now time.Duration, peer netip.AddrPort) {
	if peer != s.self && peer.IsValid() && (len(s.peers) < maxPeers || s.peers[peer] != 0) {
		s.peers[peer] = now
	}
}

// Peers returns the addresses of the other balancers that are alive, and
// removes the others.
func (s *ReaderSchedule) Peers(now time.Duration) []netip.AddrPort {
	var alive []netip.AddrPort
	for peer, lastSeen := range s.peers {
		if now-lastSeen > peerLifetime {
			delete(s.peers, peer)
			continue
		}
		alive = append(alive, peer)
	}
	return alive
}

// rank returns how many live balancers precede this one in the common order.
func (s *ReaderSchedule) rank(now time.Duration) int {
	rank := 0
	for peer, lastSeen := range s.peers {
		if now-lastSeen <= peerLifetime && positionOf(peer) < s.position {
			rank++
		}
	}
	return rank
}

// Due reports whether to read now. asOf is when the directory was last known to
// be the newest; known is false while no directory was received. After true,
// Ended or RetryNow must be called.
func (s *ReaderSchedule) Due(now, asOf time.Duration, known bool) bool {
	if s.reading || now-s.lastEnded < s.pause(known) {
		return false
	}
	if known {
		rank := s.rank(now)
		if rank > 0 && now-asOf < s.takeover(rank) {
			return false
		}
	}
	s.reading = true
	return true
}

// takeover returns the age of the directory from which a balancer of the given rank reads.
func (s *ReaderSchedule) takeover(rank int) time.Duration {
	if rank <= lastRank {
		return takeoverBase + time.Duration(rank)*takeoverStep
	}
	return takeoverBase + lastRank*takeoverStep + time.Duration(s.position%uint64(takeoverSpread))
}

// Ended records the end of a read.
func (s *ReaderSchedule) Ended(now time.Duration, failed bool) {
	s.reading, s.lastEnded = false, now
	if failed {
		s.failures++
	} else {
		s.failures = 0
	}
}

// RetryNow records the end of a read that showed only that another one is
// needed, and makes that one due at once.
func (s *ReaderSchedule) RetryNow() { s.reading, s.lastEnded = false, 0 }

// pause returns the least time between the end of the last read and the next
// one.
func (s *ReaderSchedule) pause(known bool) time.Duration {
	if s.lastEnded == 0 {
		return 0
	}
	if !known {
		return retryEmpty
	}
	if s.failures == 0 {
		return readInterval
	}
	return min(retryBase<<min(s.failures-1, 8), retryMax)
}
