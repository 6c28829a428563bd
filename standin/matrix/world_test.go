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
	service    = "orders"
	step       = time.Second
	incarnated = 1
)

var (
	start   = time.Unix(1000, 0)
	address = netip.MustParseAddrPort("10.0.0.1:443")
)

type agent struct {
	name      string
	self      *liveness.Self
	drain     liveness.Drain
	residence *steering.Residence
	paths     *liveness.Paths
	dead      bool
	frozen    bool
}

type balancer struct {
	name     string
	control  netip.AddrPort
	observer *liveness.Observer
	register *ticket.Register
	steering *steering.State
	// stale tells that the platform and its peers bring it no new ticket.
	stale  bool
	dead   bool
	frozen bool
	ticked time.Time
}

func (a *agent) runs() bool    { return !a.dead && !a.frozen }
func (b *balancer) runs() bool { return !b.dead && !b.frozen }

// world is two balancers and three agents of one service.
type world struct {
	now       time.Time
	agents    []*agent
	balancers []*balancer
	// cut is the ways that carry nothing, by the names of their ends.
	cut map[[2]string]bool
	// drop is how many of the next datagrams are lost.
	drop int
	// copies is how often each datagram arrives.
	copies int
	turn   int
}

func newWorld() *world {
	w := &world{now: start, cut: make(map[[2]string]bool), copies: 1}
	for i := range 3 {
		name := fmt.Sprintf("orders-%d", i)
		owner := steering.Owner{Endpoint: ticket.EndpointKeyOf(service, name), Incarnation: incarnated}
		w.agents = append(w.agents, &agent{
			name:      name,
			self:      liveness.NewSelf(liveness.EndpointSubject(owner.Endpoint), incarnated),
			residence: &steering.Residence{Owner: owner, Service: ticket.ServiceKeyOf(service)},
			paths:     liveness.NewPaths(nil),
		})
	}
	for i := range 2 {
		control := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1)
		w.balancers = append(w.balancers, &balancer{
			name:     fmt.Sprintf("entry-%d", i),
			control:  control,
			observer: liveness.NewObserver(),
			register: ticket.NewRegister(),
			steering: steering.NewState(),
			ticked:   start,
		})
	}
	w.learnPaths()
	w.publish(w.ticket(1))
	w.pass(time.Second)
	return w
}

func (w *world) learnPaths() {
	var peers []liveness.Peer
	for _, b := range w.balancers {
		peers = append(peers, liveness.Peer{Datagram: b.control, Control: b.control})
	}
	for _, a := range w.agents {
		a.paths.Learn(peers)
	}
}

func (w *world) ticket(number ticket.Number, draining ...string) *ticket.Ticket {
	t := &ticket.Ticket{Number: number, Service: service, Address: address}
	for i, a := range w.agents {
		e := ticket.Endpoint{Name: a.name, Weight: 1, Datagram: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 1)}
		for _, name := range draining {
			e.Draining = e.Draining || e.Name == name
		}
		t.Endpoints = append(t.Endpoints, e)
	}
	return t
}

// publish brings a ticket to every node that can hear of it.
func (w *world) publish(t *ticket.Ticket) {
	for _, b := range w.balancers {
		if b.stale || !b.runs() {
			continue
		}
		b.register.Join(w.now, ticket.Held{Ticket: t, Content: uint64(t.Number), Index: uint64(t.Number)})
		var keys []ticket.EndpointKey
		for _, e := range t.Endpoints {
			keys = append(keys, ticket.EndpointKeyOf(service, e.Name))
		}
		b.observer.SetService(w.now, t.Key(), keys)
	}
	for _, a := range w.agents {
		if a.runs() && t.Number > a.residence.Ticket() {
			a.residence = a.residence.Next(t)
			w.leave(a, liveness.ByTicket, !t.TakesNew(a.name))
		}
	}
}

func (w *world) leave(a *agent, cause liveness.Cause, holds bool) {
	if !a.drain.Set(w.now, cause, holds) {
		return
	}
	state := liveness.Ready
	if holds {
		state = liveness.Leaving
	}
	a.self.SetState(state)
}

// pass lets time pass: heartbeats, ticks and the spread of facts.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		for _, a := range w.agents {
			w.report(a)
		}
		for _, b := range w.balancers {
			w.tick(b)
		}
	}
}

func (w *world) report(a *agent) {
	if !a.runs() {
		return
	}
	for _, b := range w.balancers {
		heard := b.runs() && !w.cut[[2]string{a.name, b.name}]
		if heard {
			b.observer.Heard(w.now, a.self.Fact())
		}
		answered := heard && !w.cut[[2]string{b.name, a.name}]
		a.paths.Answered(w.now, b.control, answered)
		if answered {
			believed, _ := b.observer.Fact(a.self.Fact().Subject)
			a.self.Refute(believed)
		}
	}
}

func (w *world) tick(b *balancer) {
	if !b.runs() {
		return
	}
	for _, fact := range b.observer.Tick(w.now, w.now.Sub(b.ticked)) {
		b.observer.Learn(w.now, fact)
	}
	b.ticked = w.now
	for _, other := range w.balancers {
		if other == b || !other.runs() || w.cut[[2]string{b.name, other.name}] {
			continue
		}
		for _, subject := range append(b.observer.Withheld(), w.subjects()...) {
			if fact, ok := b.observer.Fact(subject); ok {
				other.observer.Learn(w.now, fact)
			}
		}
	}
	b.steering.Update(w.now, b.register, b.observer)
}

func (w *world) subjects() []liveness.Subject {
	var subjects []liveness.Subject
	for _, a := range w.agents {
		subjects = append(subjects, a.self.Fact().Subject)
	}
	return subjects
}

// send carries one datagram by the next balancer in turn, as often as the
// faults have it, and returns the agents that take it.
func (w *world) send(p steering.Packet) []*agent {
	var took []*agent
	for range w.copies {
		b := w.balancers[w.turn%len(w.balancers)]
		w.turn++
		if w.drop > 0 {
			w.drop--
			continue
		}
		if !b.runs() {
			continue
		}
		verdict := b.steering.Table().Decide(p)
		if verdict.Dropped() {
			continue
		}
		if a := w.receive(b, verdict, p); a != nil {
			took = append(took, a)
		}
	}
	return took
}

func (w *world) receive(b *balancer, v steering.Verdict, p steering.Packet) *agent {
	for _, a := range w.agents {
		if a.residence.Owner.Endpoint != v.Endpoint.Key || !a.runs() || w.cut[[2]string{b.name, a.name}] {
			continue
		}
		reception := a.residence.Receive(steering.Arrival{
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

// persist repeats a datagram, as QUIC does, until an agent takes it.
func (w *world) persist(p steering.Packet, limit time.Duration) []*agent {
	for end := w.now.Add(limit); w.now.Before(end); w.pass(step) {
		if took := w.send(p); len(took) > 0 {
			return took
		}
	}
	return nil
}

func opening(flow uint64) steering.Packet {
	return steering.Packet{Address: address, Flow: steering.FlowKey(flow), Opening: true}
}

func owned(a *agent) steering.Packet {
	return steering.Packet{Address: address, Owner: a.residence.Owner, HasOwner: true}
}

// listed are the balancers as a lagging list names them.
func (w *world) listed() []membership.Node {
	var nodes []membership.Node
	for _, b := range w.balancers {
		nodes = append(nodes, membership.Node{Name: b.name, Role: membership.RoleBalancer})
	}
	return nodes
}
