package hedging

import (
	"maps"
	"slices"
	"time"

	"cactustray/ticket"
)

const (
	// maxClasses bounds the classes that are distinguished, and thereby the memory: two
	// windows of each class take 8 KiB. Further classes share one sketch.
	maxClasses = 64
	// otherClasses is the class of requests beyond maxClasses.
	otherClasses Class = "*"
	// peerTimingLifetime is how long the delay that a peer has named is used.
	peerTimingLifetime = time.Minute
	// refusedBackoff is how long no copy is offered to a peer after it refused one.
	refusedBackoff = 500 * time.Millisecond
)

// Peer is another endpoint of the service, as far as it may get copies.
type Peer struct {
	Key  ticket.EndpointKey
	Zone string
	// FreeSlots is the number of free slots by its last load report; Known is false if there
	// is no recent one.
	FreeSlots int
	Known     bool
}

// hasRoom reports whether the peer may have a free slot.
func (p Peer) hasRoom() bool { return !p.Known || p.FreeSlots > 0 }

// peerTiming is the delay that a peer has named for a class.
type peerTiming struct {
	delay time.Duration
	at    time.Time
}

type peerClass struct {
	peer  ticket.EndpointKey
	class Class
}

// State holds the sketches of one agent, the budget of its backend server, and what the
// peers answered to offers. Only the control goroutine uses it.
type State struct {
	settings Settings
	sketches map[Class]*sketch
	budget   budget
	peers    []Peer
	timings  map[peerClass]peerTiming
	// refused is until when no copies are offered to a peer.
	refused map[ticket.EndpointKey]time.Time
}

// NewState returns a state with an empty budget and no sketches.
func NewState(settings Settings) *State {
	return &State{
		settings: settings,
		sketches: make(map[Class]*sketch),
		timings:  make(map[peerClass]peerTiming),
		refused:  make(map[ticket.EndpointKey]time.Time),
	}
}

// Answered records an ordinary request that this agent's backend server has answered. A
// refusal must not be recorded: quick refusals would lower the delays.
func (s *State) Answered(now time.Time, m Answered) {
	if !s.settings.Enabled() {
		return
	}
	class := s.known(m.Class)
	if timing, ok := s.timing(now, class); ok {
		slow := float64(m.Took) > slowFactor*float64(s.sketches[class].reference)
		s.budget.earn(s.settings.Percent, m.Took, timing.Typical, slow)
	}
	if s.sketches[class] == nil {
		s.sketches[class] = newSketch(now)
	}
	s.sketches[class].add(now, m.Took)
}

// known returns the class itself, or otherClasses if too many classes are known.
func (s *State) known(class Class) Class {
	if s.sketches[class] == nil && len(s.sketches) >= maxClasses {
		return otherClasses
	}
	return class
}

func (s *State) timing(now time.Time, class Class) (Timing, bool) {
	known := s.sketches[class]
	if known == nil {
		return Timing{}, false
	}
	return known.at(now)
}

// Admit decides on a copy that a peer offers to this agent's backend server.
func (s *State) Admit(now time.Time, class Class, room Room) Admission {
	timing, known := s.timing(now, s.known(class))
	admission := Admission{Delay: timing.Delay}
	switch {
	case !s.settings.Enabled():
		admission.Verdict = Off
	case room.Queued > 0 || room.Free <= 0 || float64(100*room.Free) < s.settings.FreePercent*float64(room.Slots):
		admission.Verdict = NoRoom
	case !known || !s.budget.spend(timing.Typical):
		admission.Verdict = OverBudget
	default:
		admission.Expected = timing.Typical
	}
	return admission
}

// Slow returns whether the backend server as a whole is slow, so that no copies run, and the
// recent share of its slow requests.
func (s *State) Slow() (slow bool, share float64) { return s.budget.slow, s.budget.slowShare }

// CopyEnded records that an admitted copy no longer runs, whether it was answered,
// cancelled or has failed.
func (s *State) CopyEnded(m CopyEnded) { s.budget.settle(m.Expected, m.Took) }

// Offered records a peer's answer to the offer of a copy.
func (s *State) Offered(now time.Time, m Offered) {
	if m.Verdict != Admitted {
		s.refused[m.Peer] = now.Add(refusedBackoff)
	}
	if m.Delay > 0 {
		s.timings[peerClass{m.Peer, s.known(m.Class)}] = peerTiming{delay: m.Delay, at: now}
	}
}

// SetPeers sets the other endpoints that may get copies.
func (s *State) SetPeers(peers []Peer) { s.peers = peers }

// Snapshot returns what traffic goroutines need to offer copies, or nil if none are
// offered.
func (s *State) Snapshot(now time.Time) *Snapshot {
	if !s.settings.Enabled() {
		return nil
	}
	s.forget(now)
	snapshot := &Snapshot{timings: make(map[Class]Timing, len(s.sketches))}
	for class := range s.sketches {
		if timing, ok := s.timing(now, class); ok {
			timing.Delay = s.commonDelay(class, timing.Delay)
			snapshot.timings[class] = timing
		}
	}
	for _, p := range s.peers {
		if !now.Before(s.refused[p.Key]) {
			snapshot.peers = append(snapshot.peers, p)
		}
	}
	return snapshot
}

// forget removes what is too old to be used. Classes without recent requests make room for
// others, so that the first maxClasses don't keep all places.
func (s *State) forget(now time.Time) {
	maps.DeleteFunc(s.sketches, func(_ Class, known *sketch) bool { return known.isEmpty(now) })
	maps.DeleteFunc(s.timings, func(_ peerClass, t peerTiming) bool { return now.Sub(t.at) > peerTimingLifetime })
	maps.DeleteFunc(s.refused, func(_ ticket.EndpointKey, until time.Time) bool { return !now.Before(until) })
}

// commonDelay returns the delay of a class in the service: the agent's own, or the median
// of the peers' if that is shorter, as it is for the agent of a slow endpoint.
func (s *State) commonDelay(class Class, own time.Duration) time.Duration {
	var named []time.Duration
	for of, timing := range s.timings {
		if of.class == class {
			named = append(named, timing.delay)
		}
	}
	if len(named) == 0 {
		return own
	}
	slices.Sort(named)
	return min(own, named[len(named)/2])
}
