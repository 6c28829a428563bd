package liveness

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Watchers is the number of balancers that an agent reports to.
	Watchers = 3
	// MaxPaths is the most balancers that an agent distributes its replies over.
	MaxPaths = 32
	// silentRetryAfter is how long a balancer that did not answer a heartbeat is
	// avoided.
	silentRetryAfter = 10 * time.Second
)

// BalancerAddresses holds the addresses of a balancer that an agent uses.
type BalancerAddresses struct {
	// Datagram is the address that receives replies.
	Datagram netip.AddrPort
	// Control is the address that receives heartbeats.
	Control netip.AddrPort
}

// PathsDigest returns the hash of a list of balancers, or 0 for an empty list.
func PathsDigest(balancers []BalancerAddresses) uint64 {
	if len(balancers) == 0 {
		return 0
	}
	var raw []byte
	for _, b := range balancers {
		for _, address := range []netip.AddrPort{b.Datagram, b.Control} {
			ip := address.Addr().As16()
			raw = binary.BigEndian.AppendUint16(append(raw, ip[:]...), address.Port())
		}
	}
	return xxhash.Sum64(raw)
}

// Paths selects the balancers that an agent reports to and sends replies through.
// It must be used by the control goroutine only.
type Paths struct {
	seeds     []netip.AddrPort
	balancers []BalancerAddresses
	digest    uint64
	// missedAt is when the balancer with a control address last failed to answer;
	// there is no entry if it has answered since.
	missedAt map[netip.AddrPort]time.Time
}

// NewPaths returns paths without a list of balancers, which use the control addresses
// from the settings.
func NewPaths(seeds []netip.AddrPort) *Paths {
	return &Paths{seeds: seeds, missedAt: make(map[netip.AddrPort]time.Time)}
}

// Digest returns the digest of the current list of balancers.
func (p *Paths) Digest() uint64 { return p.digest }

// SetBalancers replaces the list of balancers. An empty list is ignored, since replies
// need at least one.
func (p *Paths) SetBalancers(balancers []BalancerAddresses) {
	if len(balancers) == 0 {
		return
	}
	p.balancers = balancers
	p.digest = PathsDigest(balancers)
}

// RecordAnswer records whether the balancer with a control address answered a
// heartbeat.
func (p *Paths) RecordAnswer(now time.Time, control netip.AddrPort, ok bool) {
	if ok {
		delete(p.missedAt, control)
		return
	}
	p.missedAt[control] = now
}

// Resume clears all recorded failures to answer after a pause of this process.
func (p *Paths) Resume() { clear(p.missedAt) }

// isSilent reports whether a balancer failed to answer within silentRetryAfter.
func (p *Paths) isSilent(now time.Time, control netip.AddrPort) bool {
	since, ok := p.missedAt[control]
	return ok && now.Sub(since) < silentRetryAfter
}

// HeartbeatTargets returns the control addresses of up to Watchers balancers to report
// to: the first of the list that are not silent. If all are silent or the list is empty,
// it returns addresses from the settings, those that are not silent first.
func (p *Paths) HeartbeatTargets(now time.Time) []netip.AddrPort {
	var targets []netip.AddrPort
	add := func(control netip.AddrPort, includeSilent bool) {
		if len(targets) < Watchers && !slices.Contains(targets, control) && (includeSilent || !p.isSilent(now, control)) {
			targets = append(targets, control)
		}
	}
	for _, balancer := range p.balancers {
		add(balancer.Control, false)
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

// ReplyTargets returns the datagram addresses of the balancers to distribute replies
// over: all that are not silent, or all if most are silent.
func (p *Paths) ReplyTargets(now time.Time) []netip.AddrPort {
	var all, answering []netip.AddrPort
	for _, balancer := range p.balancers {
		all = append(all, balancer.Datagram)
		if !p.isSilent(now, balancer.Control) {
			answering = append(answering, balancer.Datagram)
		}
	}
	g := group{size: len(all), suspected: len(all) - len(answering)}
	if g.SuspicionsIgnored() {
		return all
	}
	return answering
}
