package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// relaysPerDomain is how many balancers of each other failure domain are sent an
	// announcement, and relay it within theirs: at 3% loss, both datagrams are lost once in
	// 1,100, and the reader repeats its announcement at most 0.7 s later.
	relaysPerDomain = 2
	// echoes is how many balancers of its own failure domain a balancer notifies of a change that
	// it has from one of them. They reach those that the first announcement did not.
	echoes = 3
	// smallFleet is the largest number of other balancers that are all sent every
	// announcement: relays would save little.
	smallFleet = 12
	// relayInterval is the least pause between two relays of a position whose content has
	// not changed. A reader announces it more rarely.
	relayInterval = 300 * time.Millisecond
	// introductionInterval is the least pause between two announcements that tell a balancer
	// the failure domain of this one.
	introductionInterval = 10 * time.Second
)

// Dissemination decides which balancers get an announcement of the directory. The zero value
// is that of a balancer whose failure domain is not known. The control goroutine owns it.
//
// Invariant: an announcement crosses failure domains once, and is relayed once: to the balancers
// of the sender's failure domain and a few of each other, and from these within theirs. Each
// balancer notifies a few others of its domain, once, of a change that it has from one of them. A
// balancer of an unknown failure domain counts as one of the own: it gets every announcement and
// relays none.
type Dissemination struct {
	self netip.AddrPort
	zone string
	// zones has the failure domains of other balancers, by their announcements.
	zones map[netip.AddrPort]string
	// introducedAt is when a balancer was last told the failure domain of this one.
	introducedAt map[netip.AddrPort]time.Duration
	// relayed is what was relayed last, and relayedAt when.
	relayed       Position
	relayedDigest uint64
	relayedAt     time.Duration
}

// NewDissemination returns the dissemination of the balancer with the given address and
// failure domain.
func NewDissemination(self netip.AddrPort, zone string) Dissemination {
	return Dissemination{
		self: self, zone: zone,
		zones: make(map[netip.AddrPort]string), introducedAt: make(map[netip.AddrPort]time.Duration),
	}
}

// RecordZone records the failure domain that a balancer states, and reports whether it is new.
// Balancers of older builds state none.
func (d *Dissemination) RecordZone(peer netip.AddrPort, zone string) (changed bool) {
	if zone == "" || d.zones == nil || d.zones[peer] == zone {
		return false
	}
	if _, known := d.zones[peer]; !known && len(d.zones) >= 2*maxPeers {
		clear(d.zones) // balancers that have stopped; the others state theirs again
	}
	d.zones[peer] = zone
	return true
}

// Zones returns the failure domains of other balancers, as far as they are known.
func (d *Dissemination) Zones() map[netip.AddrPort]string { return d.zones }

// IsRemote reports whether a balancer is known to be in another failure domain.
func (d *Dissemination) IsRemote(peer netip.AddrPort) bool {
	zone := d.zones[peer]
	return zone != "" && d.zone != "" && zone != d.zone
}

// FromReader returns which of the live balancers get the announcement of a balancer that has
// read the source, or whose content no other balancer has announced.
func (d *Dissemination) FromReader(peers []netip.AddrPort) []netip.AddrPort {
	if len(peers) <= smallFleet {
		return peers
	}
	targets := d.local(peers)
	domains := make(map[string][]netip.AddrPort)
	for _, peer := range peers {
		if d.IsRemote(peer) {
			domains[d.zones[peer]] = append(domains[d.zones[peer]], peer)
		}
	}
	for _, members := range domains {
		targets = append(targets, d.preferred(members, relaysPerDomain)...)
	}
	return targets
}

// AfterFetch returns which of the live balancers get the announcement of a balancer that has
// fetched a change from another one.
func (d *Dissemination) AfterFetch(now time.Duration, from netip.AddrPort, p Position, digest uint64, peers []netip.AddrPort) []netip.AddrPort {
	switch {
	case len(peers) <= smallFleet:
		return peers
	case d.IsRemote(from):
		d.recordRelay(now, p, digest)
		return d.local(peers)
	case d.zones[from] != "":
		return d.preferred(d.local(peers), echoes)
	}
	return d.local(peers) // its build may not relay
}

// Relay returns which of the live balancers get an announcement that confirms this balancer's
// directory: those of its own failure domain if the announcement is from another one and was
// not relayed yet.
func (d *Dissemination) Relay(now time.Duration, from netip.AddrPort, p Position, digest uint64, peers []netip.AddrPort) []netip.AddrPort {
	isNew := p != d.relayed || digest != d.relayedDigest
	if len(peers) <= smallFleet || !d.IsRemote(from) || !isNew && now-d.relayedAt < relayInterval {
		return nil
	}
	d.recordRelay(now, p, digest)
	return d.local(peers)
}

func (d *Dissemination) recordRelay(now time.Duration, p Position, digest uint64) {
	d.relayed, d.relayedDigest, d.relayedAt = p, digest, now
}

// StatesDomain reports whether to send a balancer an announcement that states the failure domain
// of this one: at first, while its own is not known, and if it is in another one and has sent
// an announcement, since it may count this balancer as one of its own domain.
func (d *Dissemination) StatesDomain(now time.Duration, peer netip.AddrPort, announced bool) bool {
	if d.zones == nil || d.zone == "" || peer == d.self || d.zones[peer] != "" && !(announced && d.IsRemote(peer)) {
		return false
	}
	if last, ok := d.introducedAt[peer]; ok && now-last < introductionInterval {
		return false
	}
	if len(d.introducedAt) >= 2*maxPeers {
		clear(d.introducedAt)
	}
	d.introducedAt[peer] = now
	return true
}

// local returns the balancers that are not known to be in another failure domain.
func (d *Dissemination) local(peers []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(peers), d.IsRemote)
}

// preferred returns the first few balancers in an order that differs between senders, so that
// the work of relaying is spread.
func (d *Dissemination) preferred(peers []netip.AddrPort, limit int) []netip.AddrPort {
	self := d.self.String()
	score := func(peer netip.AddrPort) uint64 { return xxhash.Sum64String(self + peer.String()) }
	slices.SortFunc(peers, func(a, b netip.AddrPort) int { return cmp.Compare(score(a), score(b)) })
	return peers[:min(limit, len(peers))]
}
