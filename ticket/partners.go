package ticket

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// seedPatience is how long a starting balancer waits for the list of VMs
// before it asks its seeds: a fleet that starts at once would overwhelm them.
const seedPatience = 4 * time.Second

// peers returns everybody known: the list, or late the seeds while there is
// none.
func (s *Spread) peers(now time.Time) []Peer {
	if len(s.listed) > 0 || now.Sub(s.began) < seedPatience {
		return s.listed
	}
	return s.seeds
}

// choosePartners takes the next live peer on each of FanOut rings, in which
// hashes order all balancers. Nodes with one list so have as many callers as
// partners, and each is reached; nodes with different lists disagree in few.
// Partners that stay keep their state, and the news of those that go are
// told to those that come.
func (s *Spread) choosePartners() {
	old := s.partners
	s.partners = nil
	peers := s.known
	for ring := range uint64(FanOut) {
		if peer, ok := s.successor(ring, peers); ok && s.partner(peer) == nil {
			s.partners = append(s.partners, keep(old, peer))
		}
	}
	for _, gone := range old {
		if !slices.Contains(s.partners, gone) {
			s.inherit(gone)
		}
	}
}

func keep(old []*partner, peer Peer) *partner {
	for _, p := range old {
		if p.Peer == peer {
			return p
		}
	}
	return &partner{Peer: peer, news: make(map[ServiceKey]bool)}
}

func (s *Spread) inherit(gone *partner) {
	if s.fetching == gone {
		s.fetching = nil
	}
	for _, p := range s.partners {
		for key := range gone.news {
			p.news[key] = true
		}
	}
}

// successor returns the peer after this node on a ring.
func (s *Spread) successor(ring uint64, peers []Peer) (Peer, bool) {
	var best Peer
	found := false
	least := uint64(0)
	own := ringPlace(ring, s.self)
	for _, peer := range peers {
		if _, avoided := s.avoided[peer.Control]; avoided {
			continue
		}
		distance := ringPlace(ring, peer) - own
		if !found || distance < least {
			best, least, found = peer, distance, true
		}
	}
	return best, found
}

func ringPlace(ring uint64, p Peer) uint64 {
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], ring)
	digest := xxhash.New()
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(p.Control)
	return digest.Sum64()
}

// avoid looks for another partner for a while.
func (s *Spread) avoid(now time.Time, p *partner) {
	s.avoided[p.Control] = now.Add(avoidTime/2 + s.jitter(avoidTime))
	s.choosePartners()
	if len(s.partners) == 0 {
		delete(s.avoided, p.Control)
		s.choosePartners()
	}
}

// forgive ends the avoidance of peers whose time is over, and notices that the
// seeds are to be asked.
func (s *Spread) forgive(now time.Time) {
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

func (s *Spread) partner(peer Peer) *partner {
	for _, p := range s.partners {
		if p.Control == peer.Control {
			return p
		}
	}
	return nil
}
