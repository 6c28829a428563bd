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
	// listInterval is the minimum time between two lists of balancers that are sent
	// to agents that already have one.
	listInterval = 250 * time.Millisecond
	// refreshTimeout bounds how long a balancer that was paused waits for updates
	// before it accepts new flows again with the facts and tickets that it has.
	refreshTimeout = 5 * time.Second
	// maxQueuedCalls bounds the queue of calls to other balancers.
	maxQueuedCalls = 64
)

// peers holds a balancer's state about itself and the other balancers. It must be
// used by the control goroutine only, except healthy and calls.
type peers struct {
	self     *liveness.Self
	gossiper *liveness.Gossiper
	// live are the balancers that agents may use.
	live []membership.Node
	// paths holds, by agent, the list of balancers that an agent which reports here
	// should use. It is cleared when live changes.
	paths map[string]pathList
	// listSentAt is when an agent was last sent a list.
	listSentAt time.Time
	// refreshBy is when a balancer that was paused stops waiting for updates;
	// refreshing is true while it waits.
	refreshBy  time.Time
	refreshing bool
	// stale are services whose part of the table no longer matches the facts;
	// allStale is true if every service is stale.
	stale    map[ticket.ServiceKey]bool
	allStale bool
	// balancersChanged is true if the live balancers may have changed since the last
	// tick.
	balancersChanged bool

	// calls is the queue of gossip calls that peerCaller makes.
	calls chan liveness.Batch
	// healthy is the result of the health check that the fabric requests.
	healthy atomic.Bool
}

// pathList is a list of balancers and its digest.
type pathList struct {
	digest    uint64
	balancers []liveness.BalancerAddresses
}

func newPeers(node string) *peers {
	incarnation := steering.Incarnation(time.Now().Unix())
	return &peers{
		self:     liveness.NewSelf(liveness.BalancerSubject(node), incarnation),
		gossiper: liveness.NewGossiper(),
		paths:    make(map[string]pathList),
		stale:    make(map[ticket.ServiceKey]bool),
		calls:    make(chan liveness.Batch, maxQueuedCalls),
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

// receiveHeartbeat applies an agent's heartbeat and answers it.
func (s *state) receiveHeartbeat(now time.Time, m heartbeat.ReportReceived) {
	s.applyChange(s.observer.ReceiveReport(now, m.Fact), m.Fact.Subject, "")
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

// listFor returns the balancers that an agent should use, or nil if it already has
// that list. Updates of the list are spread over time, one agent per listInterval; an
// agent without a list gets one immediately.
func (s *state) listFor(now time.Time, m heartbeat.ReportReceived) []liveness.BalancerAddresses {
	list, known := s.peers.paths[m.Node]
	if !known {
		list = s.choosePaths(m.Node)
		s.peers.paths[m.Node] = list
	}
	if list.digest == m.Paths {
		return nil
	}
	if m.Paths != 0 && now.Sub(s.peers.listSentAt) < listInterval {
		return nil
	}
	s.peers.listSentAt = now
	return list.balancers
}

func (s *state) choosePaths(agent string) pathList {
	var list pathList
	for _, node := range membership.Choose(agent, s.peers.live, liveness.MaxPaths) {
		datagram, ok := membership.ParseAddress(node.Datagram)
		control, valid := membership.ParseAddress(node.Control)
		if ok && valid {
			list.balancers = append(list.balancers, liveness.BalancerAddresses{Datagram: datagram, Control: control})
		}
	}
	list.digest = liveness.PathsDigest(list.balancers)
	return list
}

// receiveGossip applies the facts in another balancer's gossip call and answers it.
func (s *state) receiveGossip(now time.Time, m heartbeat.FactsReceived) {
	s.applyChange(s.observer.Apply(now, m.Sender), m.Sender.Subject, m.Node)
	for _, fact := range m.Facts {
		if s.peers.self.Refute(fact) {
			s.announce(now)
			continue
		}
		s.applyChange(s.observer.Apply(now, fact), fact.Subject, m.Node)
	}
	believed, _ := s.observer.Fact(m.Sender.Subject)
	m.Reply <- heartbeat.SpreadAnswer{Self: s.peers.self.Fact(), Sender: believed}
}

// peerCallDone applies the result of a gossip call to another balancer, and suspects
// a balancer that has become unresponsive.
func (s *state) peerCallDone(now time.Time, m peerCallDone) {
	unresponsive := s.peers.gossiper.CallEnded(m.to, m.cause == nil)
	if m.cause == nil {
		s.endRefresh()
		s.applyChange(s.observer.Apply(now, m.answer.Self), m.answer.Self.Subject, m.to)
		if s.peers.self.Refute(m.answer.Sender) {
			s.announce(now)
		}
		return
	}
	if !unresponsive {
		return
	}
	subject := liveness.BalancerSubject(m.to)
	fact, _ := s.observer.Fact(subject)
	if !fact.AcceptsNew() {
		return
	}
	fact.Subject, fact.Suspected = subject, true
	s.log.Emit(EventBalancerSuspected, event.Fields{"balancer": m.to, "cause": m.cause})
	s.applyChange(s.observer.Apply(now, fact), subject, "")
}

// applyChange acts on the effects of a fact: it queues the fact for gossip and marks
// what must be updated. Tables, neighbours and paths are updated at the next tick, so
// that many facts cause one update.
func (s *state) applyChange(change liveness.Change, subject liveness.Subject, from string) {
	if change.Disseminate {
		s.peers.gossiper.Add(subject, from)
	}
	if change.Service != 0 {
		s.peers.stale[change.Service] = true
	}
	s.markStopped(subject)
	if change.AllServices {
		s.peers.allStale = true
		s.log.Emit(EventSuspicionsIgnored, nil)
	}
	if change.Balancers {
		s.peers.balancersChanged = true
	}
}

// announce sends this balancer's newest fact about itself to its peers.
func (s *state) announce(now time.Time) {
	fact := s.peers.self.Fact()
	s.observer.Apply(now, fact)
	s.peers.gossiper.Add(fact.Subject, "")
	s.refreshBalancers()
}

// applyNodeList applies the platform's list of VMs.
func (s *state) applyNodeList(now time.Time, m membership.NodeList) {
	if m.Err != nil {
		s.log.Emit(EventListRefused, event.Fields{"cause": m.Err})
	}
	for _, cause := range m.Refused {
		s.log.Emit(EventListRefused, event.Fields{"cause": cause})
	}
	s.members.SetList(m)
	s.observer.SetBalancers(now, s.members.Balancers())
	s.refreshBalancers()
}

// refreshBalancers updates the gossip neighbours and the agents' paths if the live
// balancers have changed.
func (s *state) refreshBalancers() {
	live := s.observer.Live(s.members.Balancers())
	if slices.Equal(live, s.peers.live) {
		return
	}
	s.peers.live = live
	s.setTicketPeers(live)
	clear(s.peers.paths)
	s.peers.gossiper.SetNeighbours(membership.Successors(s.node, live, liveness.GossipRings), s.observer.Unavailable)
}

// setServices sets the endpoints of the tickets newly in force in the observer.
func (s *state) setServices(now time.Time, joined []ticket.Joined) {
	for _, j := range joined {
		entry := s.tickets.Entry(ticket.ServiceKeyOf(j.Service))
		var keys []ticket.EndpointKey
		for _, e := range entry.Ticket.Endpoints {
			keys = append(keys, ticket.EndpointKeyOf(entry.Ticket.Service, e.Name))
		}
		s.observer.SetService(now, entry.Ticket.Key(), keys)
	}
}

// tickLiveness detects pauses of this process, suspects endpoints that have stopped
// reporting, starts gossip calls that are due and publishes stale tables.
func (s *state) tickLiveness(now time.Time, gap time.Duration) {
	if gap > liveness.PauseThreshold {
		s.paused(now, gap)
	}
	for _, fact := range s.observer.Tick(now, gap) {
		s.log.Emit(EventEndpointSuspected, event.Fields{"endpoint": uint64(fact.Subject)})
		s.applyChange(s.observer.Apply(now, fact), fact.Subject, "")
	}
	if s.peers.balancersChanged {
		s.peers.balancersChanged = false
		s.refreshBalancers()
	}
	s.callPeers(now)
	if s.peers.refreshing && now.After(s.peers.refreshBy) {
		s.endRefresh()
	}
	s.publishStale()
	s.peers.healthy.Store(s.serving())
}

// publishStale updates the table of services that are stale. Without tickets there is
// no table to publish.
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

// callPeers queues the gossip calls and probes that are due. A call that does not fit
// into the queue counts as unanswered.
func (s *state) callPeers(now time.Time) {
	self := s.peers.self.Fact()
	due := s.peers.gossiper.Due(now, self, s.observer)
	suspected := s.observer.SuspectedBalancers(s.members.Balancers())
	due = append(due, s.peers.gossiper.Probe(now, self, s.observer, suspected, rand.IntN)...)
	for _, batch := range due {
		select {
		case s.peers.calls <- batch:
		default:
			s.peers.gossiper.CallEnded(batch.To.Name, false)
		}
	}
}

// paused marks the process's information as outdated after a pause: unanswered calls
// from before it are no evidence against other balancers, and the health check fails,
// so that new flows go elsewhere, until updates arrive or refreshTimeout has passed.
func (s *state) paused(now time.Time, gap time.Duration) {
	s.log.Emit(EventPaused, event.Fields{"gap": gap.String()})
	s.peers.gossiper.Resume()
	s.peers.refreshing = true
	s.peers.refreshBy = now.Add(refreshTimeout)
	s.peers.healthy.Store(false)
}

// endRefresh ends the wait for updates after a pause.
func (s *state) endRefresh() {
	s.peers.refreshing = false
}

// serving reports whether the fabric should send datagrams to this balancer.
func (s *state) serving() bool {
	return s.table.Load() != nil && !s.peers.refreshing && s.peers.self.Fact().AcceptsNew()
}
