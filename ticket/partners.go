package ticket

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// seedDelay is how long a starting balancer waits for the list of VMs before it
// queries its seeds. If many balancers start at once and all query the seeds,
// they overload them.
const seedDelay = 4 * time.Second

// peers returns all known peers: the list of VMs or, once seedDelay has passed
// without a list, the seeds.
func (g *Gossip) peers(now time.Time) []Peer {
	if len(g.listed) > 0 || now.Sub(g.startedAt) < seedDelay {
		return g.listed
	}
	return g.seeds
}

// choosePartners chooses the next peer that is not avoided on each of FanOut
// gossip rings; each ring orders all balancers by a different hash. Nodes with
// the same list have as many callers as partners, and each one is reached;
// nodes with different lists differ in few partners. Partners that remain keep
// their state, and what was pending for a removed partner becomes pending for
// all current ones.
func (g *Gossip) choosePartners() {
	old := g.partners
	g.partners = nil
	peers := g.known
	for ring := range uint64(FanOut) {
		if peer, ok := g.successor(ring, peers); ok && g.partner(peer) == nil {
			g.partners = append(g.partners, reusePartner(old, peer))
		}
	}
	for _, removed := range old {
		if !slices.Contains(g.partners, removed) {
			g.inherit(removed)
		}
	}
}

func reusePartner(old []*partner, peer Peer) *partner {
	for _, p := range old {
		if p.Peer == peer {
			return p
		}
	}
	return &partner{Peer: peer, pending: make(map[ServiceKey]bool)}
}

// inherit marks the unannounced services of a removed partner as pending for
// all current partners.
func (g *Gossip) inherit(removed *partner) {
	if g.fetching == removed {
		g.fetching = nil
	}
	for _, p := range g.partners {
		for key := range removed.pending {
			p.pending[key] = true
		}
	}
}

// successor returns the next peer after this node on a gossip ring, skipping
// avoided peers.
func (g *Gossip) successor(ring uint64, peers []Peer) (Peer, bool) {
	var best Peer
	found := false
	least := uint64(0)
	own := ringPosition(ring, g.self)
	for _, peer := range peers {
		if _, avoided := g.avoided[peer.Control]; avoided {
			continue
		}
		distance := ringPosition(ring, peer) - own
		if !found || distance < least {
			best, least, found = peer, distance, true
		}
	}
	return best, found
}

func ringPosition(ring uint64, p Peer) uint64 {
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], ring)
	digest := xxhash.New()
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(p.Control)
	return digest.Sum64()
}

// avoid excludes a failing partner from the choice for a random time around
// avoidTime. If it is the only peer left, it stays a partner.
func (g *Gossip) avoid(now time.Time, p *partner) {
	g.avoided[p.Control] = now.Add(avoidTime/2 + g.jitter(avoidTime))
	g.choosePartners()
	if len(g.partners) == 0 {
		delete(g.avoided, p.Control)
		g.choosePartners()
	}
}

// refreshPeers ends the avoidance of peers whose time has expired, and switches
// to the seeds when they are due.
func (g *Gossip) refreshPeers(now time.Time) {
	known := g.peers(now)
	changed := len(known) != len(g.known)
	g.known = known
	for control, until := range g.avoided {
		if !now.Before(until) {
			delete(g.avoided, control)
			changed = true
		}
	}
	if changed {
		g.choosePartners()
	}
}

func (g *Gossip) partner(peer Peer) *partner {
	for _, p := range g.partners {
		if p.Control == peer.Control {
			return p
		}
	}
	return nil
}
