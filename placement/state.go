package placement

import (
	"cmp"
	"slices"
	"time"

	"cactustray/ticket"
)

const (
	// MaxLoadAge is how long a received load is used.
	MaxLoadAge = 1500 * time.Millisecond
	// maxTargets is the most peers that an endpoint reports to, so that control
	// traffic does not grow with the service.
	maxTargets = 10
	// targetsPerReport is the number of peers that one report is sent to.
	targetsPerReport = 5
	// busyInterval is the time between two reports of an endpoint that is busy or
	// leaving, idleInterval that of any other endpoint.
	busyInterval = 200 * time.Millisecond
	idleInterval = 500 * time.Millisecond
)

// LoadReceived is the message that brings a peer's load to the control goroutine.
type LoadReceived struct{ Load Load }

type receivedLoad struct {
	load       Load
	receivedAt time.Time
}

// State stores the load of an agent's own endpoint and the loads received from the
// other endpoints of its service, as far as the ticket lists them. It must be used by
// the control goroutine only.
type State struct {
	self     ticket.EndpointKey
	own      Load
	selfPeer Peer
	peers    []Peer
	loads    map[ticket.EndpointKey]receivedLoad

	reportedAt time.Time
	nextTarget int
}

// NewState returns the state of the agent of one endpoint.
func NewState(self ticket.EndpointKey) *State {
	return &State{self: self, loads: make(map[ticket.EndpointKey]receivedLoad)}
}

// SetPeers sets the endpoints that a new ticket lists, this one included, and
// removes the loads of endpoints that it does not list. If the ticket does not
// list this endpoint, it counts as draining.
func (s *State) SetPeers(peers []Peer) {
	s.selfPeer = Peer{Key: s.self, Draining: true}
	s.peers = s.peers[:0:0]
	loads := make(map[ticket.EndpointKey]receivedLoad, len(peers))
	for _, p := range peers {
		if p.Key == s.self {
			s.selfPeer = p
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

// ReceiveLoad stores a peer's load, received at now, and reports whether it did. It
// ignores outdated and repeated reports, and those of endpoints that the ticket
// does not list.
func (s *State) ReceiveLoad(now time.Time, m LoadReceived) bool {
	if !s.isPeer(m.Load.Endpoint) {
		return false
	}
	known, ok := s.loads[m.Load.Endpoint]
	if ok && !m.Load.Newer(known.load) {
		return false
	}
	s.loads[m.Load.Endpoint] = receivedLoad{load: m.Load, receivedAt: now}
	return true
}

// isPeer reports whether the ticket lists the key for another endpoint than this.
func (s *State) isPeer(key ticket.EndpointKey) bool {
	_, found := slices.BinarySearchFunc(s.peers, key, func(p Peer, key ticket.EndpointKey) int {
		return cmp.Compare(p.Key, key)
	})
	return found
}

// SetOwn sets this endpoint's own load. Its endpoint and sequence are ignored.
func (s *State) SetOwn(load Load) {
	load.Endpoint = s.self
	load.Sequence = s.own.Sequence
	s.own = load
}

// Own returns this endpoint's own load.
func (s *State) Own() Load { return s.own }

// Fresh returns the peers whose load was received within the last MaxLoadAge,
// ordered by key.
func (s *State) Fresh(now time.Time) []PeerLoad {
	var fresh []PeerLoad
	for _, p := range s.peers {
		known, ok := s.loads[p.Key]
		if ok && now.Sub(known.receivedAt) <= MaxLoadAge {
			fresh = append(fresh, PeerLoad{Peer: p, Load: known.load, ReceivedAt: known.receivedAt})
		}
	}
	return fresh
}

// Report returns the peers to send a report to now and the load to send, or no
// peers if no report is due. Reports go round-robin to the maxTargets peers that
// follow this endpoint in the order of keys, targetsPerReport at a time. So the
// number of reports that an endpoint sends and, on average, receives does not
// depend on the service's size.
func (s *State) Report(now time.Time) ([]Peer, Load) {
	interval := idleInterval
	if s.own.Busy() || s.own.Leaving {
		interval = busyInterval
	}
	if len(s.peers) == 0 || now.Sub(s.reportedAt) < interval {
		return nil, Load{}
	}
	s.reportedAt = now
	s.own.Sequence++
	return s.targets(), s.own
}

// targets returns the next peers to report to and advances nextTarget.
func (s *State) targets() []Peer {
	count := min(maxTargets, len(s.peers))
	first, _ := slices.BinarySearchFunc(s.peers, s.self, func(p Peer, key ticket.EndpointKey) int {
		return cmp.Compare(p.Key, key)
	})
	var targets []Peer
	for range min(targetsPerReport, count) {
		targets = append(targets, s.peers[(first+s.nextTarget%count)%len(s.peers)])
		s.nextTarget++
	}
	return targets
}
