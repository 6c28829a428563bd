package placement

import (
	"cmp"
	"slices"
	"time"

	"cactustray/ticket"
)

const (
	// FreshFor is how long a load that was heard is acted upon.
	FreshFor = 1500 * time.Millisecond
	// reach bounds how many peers an endpoint reports to, so that control
	// traffic does not grow with the service.
	reach = 10
	// burst is how many peers one report goes to.
	burst = 5
	// busyInterval and idleInterval are the times between two reports.
	busyInterval = 200 * time.Millisecond
	idleInterval = 500 * time.Millisecond
)

// Heard brings a peer's load to the control goroutine.
type Heard struct{ Load Load }

type heardLoad struct {
	load Load
	at   time.Time
}

// State is what an agent knows of the load within its service. The control
// goroutine owns it. It holds loads only of endpoints that the ticket names.
type State struct {
	self  ticket.EndpointKey
	own   Load
	peer  Peer
	peers []Peer
	loads map[ticket.EndpointKey]heardLoad

	reported time.Time
	next     int
}

// NewState returns the state of the agent of one endpoint.
func NewState(self ticket.EndpointKey) *State {
	return &State{self: self, loads: make(map[ticket.EndpointKey]heardLoad)}
}

// SetPeers takes the endpoints of a new ticket in, this one included. Loads of
// endpoints that have left are forgotten.
func (s *State) SetPeers(peers []Peer) {
	s.peer = Peer{Key: s.self, Draining: true}
	s.peers = s.peers[:0:0]
	loads := make(map[ticket.EndpointKey]heardLoad, len(peers))
	for _, p := range peers {
		if p.Key == s.self {
			s.peer = p
			continue
		}
		s.peers = append(s.peers, p)
		if known, ok := s.loads[p.Key]; ok {
			loads[p.Key] = known
		}
	}
	slices.SortFunc(s.peers, func(a, b Peer) int { return cmp.Compare(a.Key, b.Key) })
	s.loads = loads
}

// Hear takes a peer's load in and tells whether it was new. Late and repeated
// reports change nothing, nor do those of endpoints the ticket does not name.
func (s *State) Hear(now time.Time, m Heard) bool {
	if !s.knows(m.Load.Endpoint) {
		return false
	}
	known, ok := s.loads[m.Load.Endpoint]
	if ok && !m.Load.Newer(known.load) {
		return false
	}
	s.loads[m.Load.Endpoint] = heardLoad{load: m.Load, at: now}
	return true
}

func (s *State) knows(key ticket.EndpointKey) bool {
	_, found := slices.BinarySearchFunc(s.peers, key, func(p Peer, key ticket.EndpointKey) int {
		return cmp.Compare(p.Key, key)
	})
	return found
}

// SetOwn takes this endpoint's own load in.
func (s *State) SetOwn(load Load) {
	load.Endpoint = s.self
	load.Sequence = s.own.Sequence
	s.own = load
}

// Own returns this endpoint's own load.
func (s *State) Own() Load { return s.own }

// Fresh returns the peers whose load was heard within FreshFor, ordered by key.
func (s *State) Fresh(now time.Time) []PeerLoad {
	var fresh []PeerLoad
	for _, p := range s.peers {
		known, ok := s.loads[p.Key]
		if ok && now.Sub(known.at) <= FreshFor {
			fresh = append(fresh, PeerLoad{Peer: p, Load: known.load, Heard: known.at})
		}
	}
	return fresh
}

// HandOver returns the fresh peers that may take over a waiting request, the
// one with the shortest expected wait first. A peer as loaded as this one is
// listed too: the caller compares the waits.
func (s *State) HandOver(now time.Time) []PeerLoad {
	peers := slices.DeleteFunc(s.Fresh(now), func(p PeerLoad) bool { return !p.takesNew() })
	slices.SortStableFunc(peers, func(a, b PeerLoad) int {
		if c := cmp.Compare(a.Load.ExpectedWait, b.Load.ExpectedWait); c != 0 {
			return c
		}
		return cmp.Compare(a.pressure(), b.pressure())
	})
	return peers
}

// Report returns the peers that a report is due to now and the load to send,
// or nobody. Reports go to the peers that follow this endpoint in the order of
// keys, a part of them in turn: an endpoint sends and, on average, receives
// the same number whatever the service's size.
func (s *State) Report(now time.Time) ([]Peer, Load) {
	interval := idleInterval
	if s.own.Busy() || s.own.Leaving {
		interval = busyInterval
	}
	if len(s.peers) == 0 || now.Sub(s.reported) < interval {
		return nil, Load{}
	}
	s.reported = now
	s.own.Sequence++
	return s.targets(), s.own
}

func (s *State) targets() []Peer {
	count := min(reach, len(s.peers))
	first, _ := slices.BinarySearchFunc(s.peers, s.self, func(p Peer, key ticket.EndpointKey) int {
		return cmp.Compare(p.Key, key)
	})
	var targets []Peer
	for range min(burst, count) {
		targets = append(targets, s.peers[(first+s.next%count)%len(s.peers)])
		s.next++
	}
	return targets
}
