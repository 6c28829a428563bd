package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"cactustray/event"
	"cactustray/liveness"
	"cactustray/liveness/heartbeat"
	"cactustray/membership"
	"cactustray/settings"
	"cactustray/steering"
	"cactustray/ticket"
)

const (
	// listInterval is the least time between two lists of balancers to agents
	// that already have one.
	listInterval = 250 * time.Millisecond
	// refreshLimit bounds how long a balancer that was paused waits for news
	// before it places new work by what it holds.
	refreshLimit = 5 * time.Second
	// maxCalls is how many calls to other balancers wait to be made.
	maxCalls = 64
)

// peers is what a balancer knows of itself and the balancers around it. Only
// the control goroutine touches it, but for healthy and calls.
type peers struct {
	self     *liveness.Self
	spreader *liveness.Spreader
	// live are the balancers that agents may use.
	live []membership.Node
	// paths are the lists of agents that report here; a change of live
	// empties it.
	paths      map[string]pathList
	listedAt   time.Time
	refreshBy  time.Time
	refreshing bool
	// stale are services whose table no longer fits the facts; allStale
	// stands for every service.
	stale    map[ticket.ServiceKey]bool
	allStale bool
	// moved tells that the live balancers may have changed since the last
	// tick.
	moved bool

	calls   chan liveness.Batch
	healthy atomic.Bool
}

type pathList struct {
	digest uint64
	peers  []liveness.Peer
}

func newPeers(node string) *peers {
	incarnation := steering.Incarnation(time.Now().Unix())
	return &peers{
		self:     liveness.NewSelf(liveness.BalancerSubject(node), incarnation),
		spreader: liveness.NewSpreader(),
		paths:    make(map[string]pathList),
		stale:    make(map[ticket.ServiceKey]bool),
		calls:    make(chan liveness.Batch, maxCalls),
	}
}

func selfNode(s *settings.Settings) membership.Node {
	return membership.Node{
		Name:     s.Node,
		Role:     membership.RoleBalancer,
		Zone:     s.Zone,
		Datagram: s.Datagram.String(),
		Control:  s.Control.String(),
	}
}

// heard takes an agent's heartbeat in.
func (s *state) heard(now time.Time, m heartbeat.Heard) {
	s.took(s.observer.Heard(now, m.Fact), m.Fact.Subject, "")
	if m.Last {
		s.observer.Unwatch(m.Fact.Subject)
	}
	answer := heartbeat.Answer{Leaving: s.members.Leaving(m.Node)}
	answer.Believed, _ = s.observer.Fact(m.Fact.Subject)
	answer.Balancers = s.listFor(now, m)
	if entry := s.tickets.Entry(m.Service); entry != nil {
		answer.Ticket, answer.Content = entry.Ticket.Number, entry.Content
	}
	m.Reply <- answer
}

// listFor returns the balancers an agent should use, unless it knows them.
// Lists are spread over time; an agent without any gets one at once.
func (s *state) listFor(now time.Time, m heartbeat.Heard) []liveness.Peer {
	list, known := s.peers.paths[m.Node]
	if !known {
		list = s.choosePaths(m.Node)
		s.peers.paths[m.Node] = list
	}
	if list.digest == m.Paths {
		return nil
	}
	if m.Paths != 0 && now.Sub(s.peers.listedAt) < listInterval {
		return nil
	}
	s.peers.listedAt = now
	return list.peers
}

func (s *state) choosePaths(agent string) pathList {
	var list pathList
	for _, node := range membership.Choose(agent, s.peers.live, liveness.MaxPaths) {
		datagram, ok := membership.Address(node.Datagram)
		control, valid := membership.Address(node.Control)
		if ok && valid {
			list.peers = append(list.peers, liveness.Peer{Datagram: datagram, Control: control})
		}
	}
	list.digest = liveness.PathsDigest(list.peers)
	return list
}

// passed takes in what another balancer passed on.
func (s *state) passed(now time.Time, m heartbeat.Passed) {
	s.took(s.observer.Learn(now, m.Sender), m.Sender.Subject, m.Node)
	for _, fact := range m.Facts {
		if s.peers.self.Refute(fact) {
			s.announce(now)
			continue
		}
		s.took(s.observer.Learn(now, fact), fact.Subject, m.Node)
	}
	believed, _ := s.observer.Fact(m.Sender.Subject)
	m.Reply <- heartbeat.Beliefs{Self: s.peers.self.Fact(), Sender: believed}
}

// called takes in how a call to another balancer ended.
func (s *state) called(now time.Time, m called) {
	silent := s.peers.spreader.Called(m.to, m.cause == nil)
	if m.cause == nil {
		s.refreshed()
		s.took(s.observer.Learn(now, m.beliefs.Self), m.beliefs.Self.Subject, m.to)
		if s.peers.self.Refute(m.beliefs.Sender) {
			s.announce(now)
		}
		return
	}
	if !silent {
		return
	}
	subject := liveness.BalancerSubject(m.to)
	fact, _ := s.observer.Fact(subject)
	if !fact.TakesNew() {
		return
	}
	fact.Subject, fact.Suspected = subject, true
	s.log.Emit(EventBalancerSuspected, event.Fields{"balancer": m.to, "cause": m.cause})
	s.took(s.observer.Learn(now, fact), subject, "")
}

// took acts on what taking a fact in did. Tables, neighbours and paths follow
// at the next tick, so that many facts cost one change.
func (s *state) took(change liveness.Change, subject liveness.Subject, from string) {
	if change.News {
		s.peers.spreader.Add(subject, from)
	}
	if change.Service != 0 {
		s.peers.stale[change.Service] = true
	}
	s.learnEnd(subject)
	if change.Fleet {
		s.peers.allStale = true
		s.log.Emit(EventFleetDoubted, nil)
	}
	if change.Balancers {
		s.peers.moved = true
	}
}

// announce tells peers what this balancer now says of itself.
func (s *state) announce(now time.Time) {
	fact := s.peers.self.Fact()
	s.observer.Learn(now, fact)
	s.peers.spreader.Add(fact.Subject, "")
	s.refreshBalancers()
}

// listed takes the platform's list in.
func (s *state) listed(now time.Time, m membership.Listed) {
	if m.Refused != nil {
		s.log.Emit(EventListRefused, event.Fields{"cause": m.Refused})
	}
	s.members.Learn(m)
	s.observer.SetBalancers(now, s.members.Balancers())
	s.refreshBalancers()
}

// refreshBalancers chooses neighbours and agents' paths anew when the live
// balancers have changed.
func (s *state) refreshBalancers() {
	live := s.observer.Live(s.members.Balancers())
	if slices.Equal(live, s.peers.live) {
		return
	}
	s.peers.live = live
	s.tellTickets(live)
	clear(s.peers.paths)
	s.peers.spreader.SetNeighbours(membership.Successors(s.node, live, liveness.Rings), s.observer.Withheld)
}

// followTickets learns which endpoints the tickets newly in force name.
func (s *state) followTickets(now time.Time, joined []ticket.Joined) {
	for _, j := range joined {
		entry := s.tickets.Entry(ticket.ServiceKeyOf(j.Service))
		var keys []ticket.EndpointKey
		for _, e := range entry.Ticket.Endpoints {
			keys = append(keys, ticket.EndpointKeyOf(entry.Ticket.Service, e.Name))
		}
		s.observer.SetService(now, entry.Ticket.Key(), keys)
	}
}

// tickLiveness suspects the silent, passes facts on and notices pauses.
func (s *state) tickLiveness(now time.Time, gap time.Duration) {
	if gap > liveness.PauseLimit {
		s.paused(now, gap)
	}
	for _, fact := range s.observer.Tick(now, gap) {
		s.log.Emit(EventEndpointSuspected, event.Fields{"endpoint": uint64(fact.Subject)})
		s.took(s.observer.Learn(now, fact), fact.Subject, "")
	}
	if s.peers.moved {
		s.peers.moved = false
		s.refreshBalancers()
	}
	s.callPeers(now)
	if s.peers.refreshing && now.After(s.peers.refreshBy) {
		s.refreshed()
	}
	s.publishStale()
	s.peers.healthy.Store(s.serving())
}

// publishStale brings the table up to the facts. A node without tickets has
// none to publish.
func (s *state) publishStale() {
	switch {
	case s.tickets.Len() == 0:
	case s.peers.allStale:
		s.publish()
	case len(s.peers.stale) > 0:
		s.publish(slices.Collect(maps.Keys(s.peers.stale))...)
	}
	clear(s.peers.stale)
	s.peers.allStale = false
}

func (s *state) callPeers(now time.Time) {
	self := s.peers.self.Fact()
	due := s.peers.spreader.Due(now, self, s.observer)
	suspected := s.observer.SuspectedBalancers(s.members.Balancers())
	due = append(due, s.peers.spreader.Probe(now, self, s.observer, suspected, rand.IntN)...)
	for _, batch := range due {
		select {
		case s.peers.calls <- batch:
		default:
			s.peers.spreader.Called(batch.To.Name, false)
		}
	}
}

// paused makes all that this process holds old: silence it did not watch says
// nothing, and new flows wait for news.
func (s *state) paused(now time.Time, gap time.Duration) {
	s.log.Emit(EventPaused, event.Fields{"gap": gap.String()})
	s.peers.spreader.Resume()
	s.peers.refreshing = true
	s.peers.refreshBy = now.Add(refreshLimit)
	s.peers.healthy.Store(false)
}

// refreshed ends the wait after a pause.
func (s *state) refreshed() {
	s.peers.refreshing = false
}

// serving tells whether the fabric should send datagrams.
func (s *state) serving() bool {
	return s.table.Load() != nil && !s.peers.refreshing && s.peers.self.Fact().TakesNew()
}
