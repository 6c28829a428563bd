package contact

import (
	"iter"
	"maps"
	"time"

	"cactustray/flow"
)

const (
	// SlowInterval is the interval between hello messages, and between reports, of an agent in
	// another failure domain while the own domain has room. MediumInterval is the step before
	// it.
	SlowInterval   = time.Second
	MediumInterval = 500 * time.Millisecond
	// FastInterval requests no interval: the agent reports as to balancers of its own domain.
	FastInterval time.Duration = 0
	// subsetSize is how many agents of a service in all other failure domains together a
	// balancer keeps in touch with; widerSubsetSize is the step before all of them. Two
	// domains of eight agents each are twice what a flow prefers (flow.placementChoices).
	subsetSize      = 8
	widerSubsetSize = 32
	// minLocal is how many endpoints of its own failure domain a service needs for a subset of
	// the others to suffice: as many as a flow prefers.
	minLocal = 4
	// minUsable is how many endpoints of a service must be usable for new flows; with fewer,
	// the subset grows.
	minUsable = 4
	// freeShare is the part of the local endpoints, 1 in freeShare, that must have a free slot
	// for the own failure domain to have room.
	freeShare = 8
	// widenInterval is how long a shortage lasts before each step to a larger subset: an agent that
	// runs answers the first hello message within milliseconds, one that starts with the balancer
	// within 0.5 s.
	widenInterval = time.Second
	// narrowInterval and slowDownInterval are how long a larger subset, or a faster step of
	// the reports, must have been unnecessary before the next step back.
	narrowInterval   = 5 * time.Second
	slowDownInterval = 2 * time.Second
	// answerTimeout is how long after the first contact an agent that does not report counts
	// as failing.
	answerTimeout = time.Second
)

// Width is how many agents of other failure domains a balancer keeps in touch with.
type Width int

// Widths, in the order of their size.
const (
	Narrow Width = iota
	Wider
	All
)

func (w Width) String() string { return [...]string{"narrow", "wider", "all"}[w] }

func (w Width) limit(agents int) int {
	switch w {
	case Narrow:
		return subsetSize
	case Wider:
		return widerSubsetSize
	}
	return agents
}

// Observation is what a balancer sees of a service.
type Observation struct {
	// LocalAccepting is how many endpoints of the balancer's failure domain accept new flows,
	// and LocalFree how many of them are usable and have a free slot.
	LocalAccepting, LocalFree int
	// Usable is how many endpoints are usable for new flows, of all that the balancer is in
	// touch with, and RemoteFree how many of those in other failure domains have a free slot.
	Usable, RemoteFree int
}

// isFull reports whether the balancer's failure domain is out of room.
func (o Observation) isFull() bool {
	return o.LocalAccepting < minLocal || o.LocalFree*freeShare < o.LocalAccepting
}

// needed returns the least width that leaves enough endpoints for new flows; width is the
// present one. While other domains are out of room too, more than widerSubsetSize agents
// would add bytes and no room.
func (o Observation) needed(width Width) Width {
	switch {
	case o.LocalAccepting < minLocal:
		return All
	case o.Usable < minUsable:
		return min(width+1, All)
	case o.isFull() && o.RemoteFree < minUsable:
		return Wider
	case o.isFull():
		return min(width, Wider)
	}
	return Narrow
}

// Service is the state of a balancer's contact with the agents of one service in other failure
// domains. The control goroutine owns it.
type Service struct {
	zone string
	// since is since when each agent in touch has been so.
	since    map[flow.Address]time.Duration
	width    Width
	interval time.Duration
	// widthAt and intervalAt are when width and interval were last necessary or changed.
	widthAt    time.Duration
	intervalAt time.Duration
}

// NewService returns the state at the start of a balancer in a failure domain.
func NewService(now time.Duration, zone string) *Service {
	return &Service{zone: zone, since: make(map[flow.Address]time.Duration), interval: SlowInterval, widthAt: now, intervalAt: now}
}

// Width returns how many agents are kept in touch with.
func (s *Service) Width() Width { return s.width }

// Interval returns the interval between reports to request; FastInterval leaves it to the agent.
func (s *Service) Interval() time.Duration { return s.interval }

// InTouch iterates over the agents in touch.
func (s *Service) InTouch() iter.Seq[flow.Address] { return maps.Keys(s.since) }

// Fails reports whether an agent was contacted long enough ago and is not alive by its reports.
func (s *Service) Fails(now time.Duration, agent flow.Address, alive bool) bool {
	since, inTouch := s.since[agent]
	return inTouch && !alive && now-since > answerTimeout
}

// Observe adapts width and interval to what the balancer sees, and reports whether either has
// changed. Fast reports begin at once, and so does contact with all agents if the own failure
// domain has few endpoints; otherwise a shortage must last for widenInterval before more agents
// are contacted. Steps back follow one after the other.
func (s *Service) Observe(now time.Duration, o Observation) (changed bool) {
	width, interval := s.width, s.interval
	s.adaptWidth(now, o)
	s.adaptInterval(now, o)
	return s.width != width || s.interval != interval
}

func (s *Service) adaptWidth(now time.Duration, o Observation) {
	needed := o.needed(s.width)
	switch {
	case needed > s.width:
		if o.LocalAccepting < minLocal || now-s.widthAt >= widenInterval {
			s.width, s.widthAt = needed, now
		}
	case needed == s.width:
		s.widthAt = now
	case now-s.widthAt >= narrowInterval:
		s.width--
		s.widthAt = now
	}
}

// spills reports whether new flows go to other failure domains: the own one is out of room, and
// others have some. While none has, fast reports would only cost bytes.
func (o Observation) spills() bool {
	return o.LocalAccepting < minLocal || o.isFull() && o.RemoteFree > 0
}

func (s *Service) adaptInterval(now time.Duration, o Observation) {
	switch {
	case o.spills():
		s.interval, s.intervalAt = FastInterval, now
	case s.interval != SlowInterval && now-s.intervalAt >= slowDownInterval:
		if s.interval == FastInterval {
			s.interval = MediumInterval
		} else {
			s.interval = SlowInterval
		}
		s.intervalAt = now
	}
}

// Chosen returns the agents to keep in touch with, without a change of the state.
func (s *Service) Chosen(agents []Agent) map[flow.Address]bool {
	return choose(s.zone, agents, s.width.limit(len(agents)))
}

// Differs reports whether Chosen would return other agents than those in touch.
func (s *Service) Differs(agents []Agent) bool {
	chosen := s.Chosen(agents)
	return len(chosen) != len(s.since) || !maps.EqualFunc(chosen, s.since, func(bool, time.Duration) bool { return true })
}

// Update makes the chosen agents those in touch. It returns whether an agent is in touch, and
// the agents that no longer are.
func (s *Service) Update(now time.Duration, agents []Agent) (chosen map[flow.Address]bool, dropped []flow.Address) {
	chosen = s.Chosen(agents)
	for agent := range s.since {
		if !chosen[agent] {
			delete(s.since, agent)
			dropped = append(dropped, agent)
		}
	}
	for agent := range chosen {
		if _, ok := s.since[agent]; !ok {
			s.since[agent] = now
		}
	}
	return chosen, dropped
}
