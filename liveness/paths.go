package liveness

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Watchers is how many balancers an agent reports to.
	Watchers = 3
	// MaxPaths is how many balancers an agent spreads its replies over.
	MaxPaths = 32
	// silentFor is how long a balancer that missed an answer is left alone.
	silentFor = 10 * time.Second
)

// Peer is a balancer as agents know it.
type Peer struct {
	// Datagram is where it takes replies.
	Datagram netip.AddrPort
	// Control is where it takes heartbeats.
	Control netip.AddrPort
}

// PathsDigest is the hash of a list of peers; the empty list has 0.
func PathsDigest(peers []Peer) uint64 {
	if len(peers) == 0 {
		return 0
	}
	var raw []byte
	for _, p := range peers {
		for _, address := range []netip.AddrPort{p.Datagram, p.Control} {
			ip := address.Addr().As16()
			raw = binary.BigEndian.AppendUint16(append(raw, ip[:]...), address.Port())
		}
	}
	return xxhash.Sum64(raw)
}

// Paths are the balancers through which an agent reports and replies. The
// control goroutine owns it.
type Paths struct {
	seeds  []netip.AddrPort
	peers  []Peer
	digest uint64
	// silent says when a balancer's control address missed an answer.
	silent map[netip.AddrPort]time.Time
}

// NewPaths returns paths that know only the control addresses of the settings.
func NewPaths(seeds []netip.AddrPort) *Paths {
	return &Paths{seeds: seeds, silent: make(map[netip.AddrPort]time.Time)}
}

// Digest names the list held.
func (p *Paths) Digest() uint64 { return p.digest }

// Learn replaces the list. An empty one changes nothing: replies need a way.
func (p *Paths) Learn(peers []Peer) {
	if len(peers) == 0 {
		return
	}
	p.peers = peers
	p.digest = PathsDigest(peers)
}

// Answered learns whether a balancer answered a heartbeat.
func (p *Paths) Answered(now time.Time, control netip.AddrPort, ok bool) {
	if ok {
		delete(p.silent, control)
		return
	}
	p.silent[control] = now
}

// Resume forgets all silence after a pause of this process.
func (p *Paths) Resume() { clear(p.silent) }

func (p *Paths) isSilent(now time.Time, control netip.AddrPort) bool {
	since, ok := p.silent[control]
	return ok && now.Sub(since) < silentFor
}

// Targets returns the balancers to report to: the first of the list that
// answer, then the settings' own, then whoever else there is.
func (p *Paths) Targets(now time.Time) []netip.AddrPort {
	var targets []netip.AddrPort
	add := func(control netip.AddrPort, silentToo bool) {
		if len(targets) < Watchers && !slices.Contains(targets, control) && (silentToo || !p.isSilent(now, control)) {
			targets = append(targets, control)
		}
	}
	for _, peer := range p.peers {
		add(peer.Control, false)
	}
	if len(targets) > 0 {
		return targets
	}
	for _, seed := range p.seeds {
		add(seed, false)
	}
	for _, seed := range p.seeds {
		add(seed, true)
	}
	return targets
}

// Replies returns the balancers to spread replies over: those not silent, or
// all when most are.
func (p *Paths) Replies(now time.Time) []netip.AddrPort {
	var all, answering []netip.AddrPort
	for _, peer := range p.peers {
		all = append(all, peer.Datagram)
		if !p.isSilent(now, peer.Control) {
			answering = append(answering, peer.Datagram)
		}
	}
	g := group{size: len(all), suspected: len(all) - len(answering)}
	if g.Doubted() {
		return all
	}
	return answering
}
