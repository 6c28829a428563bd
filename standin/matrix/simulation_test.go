package matrix

import (
	"fmt"
	"net/netip"
	"time"

	"cactustray/liveness"
	"cactustray/membership"
	"cactustray/steering"
	"cactustray/ticket"
)

const (
	service          = "orders"
	step             = time.Second
	firstIncarnation = 1
)

var (
	start   = time.Unix(1000, 0)
	address = netip.MustParseAddrPort("10.0.0.1:443")
)

type agent struct {
	name     string
	self     *liveness.Self
	drain    liveness.Drain
	snapshot *steering.AgentSnapshot
	paths    *liveness.Paths
	dead     bool
	frozen   bool
}

type balancer struct {
	name     string
	control  netip.AddrPort
	observer *liveness.Observer
	register *ticket.Register
	steering *steering.State
	// stale is true if the balancer receives no new tickets from the platform or its peers.
	stale  bool
	dead   bool
	frozen bool
	ticked time.Time
}

func (a *agent) runs() bool    { return !a.dead && !a.frozen }
func (b *balancer) runs() bool { return !b.dead && !b.frozen }

// simulation is two balancers and three agents of one service.
type simulation struct {
	now       time.Time
	agents    []*agent
	balancers []*balancer
	// cut holds the links that lose every message, by the names of sender and receiver.
	cut map[[2]string]bool
	// dropNext is the number of following datagrams that are lost.
	dropNext int
	// copies is how many times each datagram arrives.
	copies       int
	nextBalancer int
}

func newSimulation() *simulation {
	s := &simulation{now: start, cut: make(map[[2]string]bool), copies: 1}
	for i := range 3 {
		name := fmt.Sprintf("orders-%d", i)
		owner := steering.Owner{Endpoint: ticket.EndpointKeyOf(service, name), Incarnation: firstIncarnation}
		s.agents = append(s.agents, &agent{
			name:     name,
			self:     liveness.NewSelf(liveness.EndpointSubject(owner.Endpoint), firstIncarnation),
			snapshot: &steering.AgentSnapshot{Owner: owner, Service: ticket.ServiceKeyOf(service)},
			paths:    liveness.NewPaths(nil),
		})
	}
	for i := range 2 {
		control := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1)
		s.balancers = append(s.balancers, &balancer{
			name:     fmt.Sprintf("entry-%d", i),
			control:  control,
			observer: liveness.NewObserver(),
			register: ticket.NewRegister(),
			steering: steering.NewState(),
			ticked:   start,
		})
	}
	s.setPaths()
	s.publish(s.ticket(1))
	s.advance(time.Second)
	return s
}

func (s *simulation) setPaths() {
	var addresses []liveness.BalancerAddresses
	for _, b := range s.balancers {
		addresses = append(addresses, liveness.BalancerAddresses{Datagram: b.control, Control: b.control})
	}
	for _, a := range s.agents {
		a.paths.SetBalancers(addresses)
	}
}

func (s *simulation) ticket(number ticket.Number, draining ...string) *ticket.Ticket {
	t := &ticket.Ticket{Number: number, Service: service, Address: address}
	for i, a := range s.agents {
		e := ticket.Endpoint{Name: a.name, Weight: 1, Datagram: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 1)}
		for _, name := range draining {
			e.Draining = e.Draining || e.Name == name
		}
		t.Endpoints = append(t.Endpoints, e)
	}
	return t
}

// publish delivers a ticket to every running node that is not stale.
func (s *simulation) publish(t *ticket.Ticket) {
	for _, b := range s.balancers {
		if b.stale || !b.runs() {
			continue
		}
		b.register.Join(s.now, ticket.Record{Ticket: t, Content: uint64(t.Number), Index: uint64(t.Number)})
		var keys []ticket.EndpointKey
		for _, e := range t.Endpoints {
			keys = append(keys, ticket.EndpointKeyOf(service, e.Name))
		}
		b.observer.SetService(s.now, t.Key(), keys)
	}
	for _, a := range s.agents {
		if a.runs() && t.Number > a.snapshot.Ticket() {
			a.snapshot = a.snapshot.WithTicket(t)
			s.setDrain(a, liveness.CauseTicket, !t.AcceptsNew(a.name))
		}
	}
}

// setDrain sets or clears a cause of an agent's drain and updates the agent's state.
func (s *simulation) setDrain(a *agent, cause liveness.Cause, holds bool) {
	if !a.drain.Set(s.now, cause, holds) {
		return
	}
	state := liveness.Ready
	if holds {
		state = liveness.Leaving
	}
	a.self.SetState(state)
}

// advance runs the simulation for d: heartbeats, ticks and gossip of facts.
func (s *simulation) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		for _, a := range s.agents {
			s.report(a)
		}
		for _, b := range s.balancers {
			s.tick(b)
		}
	}
}

// report sends an agent's heartbeats to the balancers and applies their answers.
func (s *simulation) report(a *agent) {
	if !a.runs() {
		return
	}
	for _, b := range s.balancers {
		received := b.runs() && !s.cut[[2]string{a.name, b.name}]
		if received {
			b.observer.ReceiveReport(s.now, a.self.Fact())
		}
		answered := received && !s.cut[[2]string{b.name, a.name}]
		a.paths.RecordAnswer(s.now, b.control, answered)
		if answered {
			believed, _ := b.observer.Fact(a.self.Fact().Subject)
			a.self.Refute(believed)
		}
	}
}

// tick runs a balancer's periodic work and gossips its facts to the other balancers.
func (s *simulation) tick(b *balancer) {
	if !b.runs() {
		return
	}
	for _, fact := range b.observer.Tick(s.now, s.now.Sub(b.ticked)) {
		b.observer.Apply(s.now, fact)
	}
	b.ticked = s.now
	for _, other := range s.balancers {
		if other == b || !other.runs() || s.cut[[2]string{b.name, other.name}] {
			continue
		}
		for _, subject := range append(b.observer.Unavailable(), s.subjects()...) {
			if fact, ok := b.observer.Fact(subject); ok {
				other.observer.Apply(s.now, fact)
			}
		}
	}
	b.steering.Update(s.now, b.register, b.observer)
}

func (s *simulation) subjects() []liveness.Subject {
	var subjects []liveness.Subject
	for _, a := range s.agents {
		subjects = append(subjects, a.self.Fact().Subject)
	}
	return subjects
}

// send sends one datagram through the next balancer, as many times as the faults require,
// and returns the agents that accept it.
func (s *simulation) send(p steering.Packet) []*agent {
	var accepted []*agent
	for range s.copies {
		b := s.balancers[s.nextBalancer%len(s.balancers)]
		s.nextBalancer++
		if s.dropNext > 0 {
			s.dropNext--
			continue
		}
		if !b.runs() {
			continue
		}
		verdict := b.steering.Table().Decide(p)
		if verdict.Dropped() {
			continue
		}
		if a := s.receive(b, verdict, p); a != nil {
			accepted = append(accepted, a)
		}
	}
	return accepted
}

// receive delivers a balancer's datagram and returns the agent that accepts it, or nil. An
// agent that would forward the datagram to another agent counts as accepting it.
func (s *simulation) receive(b *balancer, v steering.Verdict, p steering.Packet) *agent {
	for _, a := range s.agents {
		if a.snapshot.Owner.Endpoint != v.Endpoint.Key || !a.runs() || s.cut[[2]string{b.name, a.name}] {
			continue
		}
		reception := a.snapshot.Receive(steering.Arrival{
			Service:  v.Service.Key,
			Endpoint: v.Endpoint.Key,
			Ticket:   v.Service.Ticket,
			Packet:   p,
		})
		if reception.Action == steering.Drop {
			return nil
		}
		return a
	}
	return nil
}

// sendUntilAccepted repeats a datagram, as QUIC does, until an agent accepts it. It returns
// nil after the limit.
func (s *simulation) sendUntilAccepted(p steering.Packet, limit time.Duration) []*agent {
	for end := s.now.Add(limit); s.now.Before(end); s.advance(step) {
		if accepted := s.send(p); len(accepted) > 0 {
			return accepted
		}
	}
	return nil
}

// opening returns the first packet of a flow, which carries no token.
func opening(flow uint64) steering.Packet {
	return steering.Packet{Address: address, Flow: steering.FlowKey(flow), Opening: true}
}

// owned returns a later packet of a flow, whose token names the agent as its owner.
func owned(a *agent) steering.Packet {
	return steering.Packet{Address: address, Owner: a.snapshot.Owner, HasOwner: true}
}

// nodeList returns a list of VMs that names all balancers, also stopped ones.
func (s *simulation) nodeList() []membership.Node {
	var nodes []membership.Node
	for _, b := range s.balancers {
		nodes = append(nodes, membership.Node{Name: b.name, Role: membership.RoleBalancer})
	}
	return nodes
}
