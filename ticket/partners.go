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
func (s *Gossip) peers(now time.Time) []Peer {
	if len(s.listed) > 0 || now.Sub(s.startedAt) < seedDelay {
		return s.listed
	}
	return s.seeds
}

// choosePartners chooses the next peer that is not avoided on each of FanOut
// gossip rings; each ring orders all balancers by a different hash. Nodes with
// the same list have as many callers as partners, and each one is reached;
// nodes with different lists differ in few partners. Partners that remain keep
// their state, and what was pending for a removed partner becomes pending for
// all current ones.
func (s *Gossip) choosePartners() {
	old := s.partners
	s.partners = nil
	peers := s.known
	for ring := range uint64(FanOut) {
		if peer, ok := s.successor(ring, peers); ok && s.partner(peer) == nil {
			s.partners = append(s.partners, reusePartner(old, peer))
		}
	}
	for _, removed := range old {
		if !slices.Contains(s.partners, removed) {
			s.inherit(removed)
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
func (s *Gossip) inherit(removed *partner) {
	if s.fetching == removed {
		s.fetching = nil
	}
	for _, p := range s.partners {
		for key := range removed.pending {
			p.pending[key] = true
		}
	}
}

// successor returns the next peer after this node on a gossip ring, skipping
// avoided peers.
func (s *Gossip) successor(ring uint64, peers []Peer) (Peer, bool) {
	var best Peer
	found := false
	least := uint64(0)
	own := ringPosition(ring, s.self)
	for _, peer := range peers {
		if _, avoided := s.avoided[peer.Control]; avoided {
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
func (s *Gossip) avoid(now time.Time, p *partner) {
	s.avoided[p.Control] = now.Add(avoidTime/2 + s.jitter(avoidTime))
	s.choosePartners()
	if len(s.partners) == 0 {
		delete(s.avoided, p.Control)
		s.choosePartners()
	}
}

// refreshPeers ends the avoidance of peers whose time has expired, and switches
// to the seeds when they are due.
func (s *Gossip) refreshPeers(now time.Time) {
	known := s.peers(now)
	changed := len(known) != len(s.known)
	s.known = known
	for control, until := range s.avoided {
		if !now.Before(until) {
			delete(s.avoided, control)
			changed = true
		}
	}
	if changed {
		s.choosePartners()
	}
}

func (s *Gossip) partner(peer Peer) *partner {
	for _, p := range s.partners {
		if p.Control == peer.Control {
			return p
		}
	}
	return nil
}
