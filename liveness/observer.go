package liveness

import (
	"time"

	"cactustray/membership"
	"cactustray/ticket"
)

const (
	// HeartbeatInterval is how often an agent reports to each of its watchers.
	HeartbeatInterval = 3 * time.Second
	// SuspectAfter is how long a watched process may be silent.
	SuspectAfter = 5 * HeartbeatInterval / 2
	// PauseLimit is the gap between two ticks that shows that the process
	// was paused, so that silence says nothing of the others.
	PauseLimit = 2 * time.Second
	// ForgetAfter is how long a fact is kept that no ticket and no list names.
	ForgetAfter = 10 * time.Minute
	// doubtShare is the share of a group, 1 in doubtShare, beyond which its
	// suspicion says more about the observer than about the group.
	doubtShare = 2
)

// Change says what taking a fact in did.
type Change struct {
	// News: other balancers should learn the fact that is now held.
	News bool
	// Service is whose new work goes elsewhere now, or 0.
	Service ticket.ServiceKey
	// Fleet: every service's new work may go elsewhere now.
	Fleet bool
	// Balancers: the balancers that take new work may be others now.
	Balancers bool
}

// group counts the processes that are doubted together.
type group struct {
	service ticket.ServiceKey
	size    int
	// stopping leave as planned or have left; suspected are among the rest.
	stopping, suspected int
}

// Doubted tells whether so many look dead that the observer is doubted: the
// suspicions of the group then count for nothing.
func (g *group) Doubted() bool {
	return g != nil && g.suspected*doubtShare > g.size-g.stopping
}

// Observer holds what a balancer knows of the other processes. It trusts those
// it knows nothing of. The control goroutine owns it.
type Observer struct {
	facts map[Subject]Fact
	// heard says when each process watched by this one was last heard.
	heard map[Subject]time.Time
	// groups are the endpoints that tickets name, with their service's group.
	groups   map[Subject]*group
	services map[ticket.ServiceKey][]Subject
	fleet    *group
	// unnamed says since when no ticket and no list names a known subject.
	unnamed   map[Subject]time.Time
	balancers map[Subject]bool
}

// NewObserver returns an observer that trusts everyone.
func NewObserver() *Observer {
	return &Observer{
		facts:     make(map[Subject]Fact),
		heard:     make(map[Subject]time.Time),
		groups:    make(map[Subject]*group),
		services:  make(map[ticket.ServiceKey][]Subject),
		fleet:     new(group),
		unnamed:   make(map[Subject]time.Time),
		balancers: make(map[Subject]bool),
	}
}

// Fact returns what is known of a subject.
func (o *Observer) Fact(subject Subject) (Fact, bool) {
	fact, ok := o.facts[subject]
	return fact, ok
}

// Len returns how many subjects are known.
func (o *Observer) Len() int { return len(o.facts) }

// Watched returns how many processes this one watches.
func (o *Observer) Watched() int { return len(o.heard) }

// Heard takes in what a process said of itself directly; it is watched from
// now on.
func (o *Observer) Heard(now time.Time, fact Fact) Change {
	o.heard[fact.Subject] = now
	return o.Learn(now, fact)
}

// Unwatch stops watching a process that reports to others from now on.
func (o *Observer) Unwatch(subject Subject) { delete(o.heard, subject) }

// Learn takes in a fact that another balancer passed on. An older fact that
// still keeps a process from new work makes the newer one news again, so that
// whoever passed it on hears the truth.
func (o *Observer) Learn(now time.Time, fact Fact) Change {
	known, ok := o.facts[fact.Subject]
	if ok && !fact.Newer(known) {
		return Change{News: known.Newer(fact) && !fact.TakesNew() && known.TakesNew()}
	}
	before := o.effect(fact.Subject)
	o.set(now, fact)
	after := o.effect(fact.Subject)
	change := Change{
		News:      !fact.TakesNew() || ok && !known.TakesNew(),
		Fleet:     before.fleetDoubted != after.fleetDoubted,
		Balancers: o.balancers[fact.Subject] && before != after,
	}
	if g := o.groups[fact.Subject]; g != nil && before != after {
		change.Service = g.service
	}
	return change
}

func (o *Observer) set(now time.Time, fact Fact) {
	o.count(o.facts[fact.Subject], -1)
	o.facts[fact.Subject] = fact
	o.count(fact, 1)
	if o.groups[fact.Subject] == nil && !o.balancers[fact.Subject] {
		o.unnamed[fact.Subject] = now
	}
}

// effect is all that a fact can change of who takes new work.
type effect struct{ takesNew, groupDoubted, fleetDoubted bool }

func (o *Observer) effect(subject Subject) effect {
	return effect{
		takesNew:     o.takesNew(subject),
		groupDoubted: o.groups[subject].Doubted(),
		fleetDoubted: o.fleet.Doubted(),
	}
}

func (o *Observer) count(fact Fact, by int) {
	g := o.groups[fact.Subject]
	switch {
	case g == nil:
	case fact.Stopping():
		g.stopping += by
		o.fleet.stopping += by
	case fact.Suspected:
		g.suspected += by
		o.fleet.suspected += by
	}
}

// Tick suspects watched processes that have fallen silent and returns them.
// Each is then unwatched until it is heard again, so that one cut path causes
// one suspicion. After a pause of this process nobody is suspected.
func (o *Observer) Tick(now time.Time, gap time.Duration) []Fact {
	var suspected []Fact
	o.forget(now)
	for subject, heard := range o.heard {
		if gap > PauseLimit {
			o.heard[subject] = now
			continue
		}
		if now.Sub(heard) <= SuspectAfter {
			continue
		}
		delete(o.heard, subject)
		if fact := o.facts[subject]; fact.TakesNew() {
			fact.Suspected = true
			suspected = append(suspected, fact)
		}
	}
	return suspected
}

// SetService learns which endpoints the ticket in force names; a removed
// service has none.
func (o *Observer) SetService(now time.Time, service ticket.ServiceKey, endpoints []ticket.EndpointKey) {
	for _, subject := range o.services[service] {
		o.count(o.facts[subject], -1)
		delete(o.groups, subject)
		o.unname(now, subject)
	}
	o.fleet.size += len(endpoints) - len(o.services[service])
	g := &group{service: service, size: len(endpoints)}
	subjects := make([]Subject, len(endpoints))
	for i, key := range endpoints {
		subjects[i] = EndpointSubject(key)
		o.groups[subjects[i]] = g
		o.count(o.facts[subjects[i]], 1)
		delete(o.unnamed, subjects[i])
	}
	o.services[service] = subjects
}

// SetBalancers learns which balancers are listed.
func (o *Observer) SetBalancers(now time.Time, nodes []membership.Node) {
	before := o.balancers
	o.balancers = make(map[Subject]bool, len(nodes))
	for _, node := range nodes {
		subject := BalancerSubject(node.Name)
		o.balancers[subject] = true
		delete(o.unnamed, subject)
	}
	for subject := range before {
		if !o.balancers[subject] {
			o.unname(now, subject)
		}
	}
}

func (o *Observer) unname(now time.Time, subject Subject) {
	if _, known := o.facts[subject]; known {
		o.unnamed[subject] = now
	}
}

// forget drops the facts of subjects that nothing has named for ForgetAfter.
func (o *Observer) forget(now time.Time) {
	for subject, since := range o.unnamed {
		if now.Sub(since) > ForgetAfter {
			delete(o.unnamed, subject)
			delete(o.facts, subject)
			delete(o.heard, subject)
		}
	}
}

// TakesNew is false for an endpoint that is leaving, gone or suspected. When
// most endpoints of its service, or of the fleet, look dead, suspicion counts
// for nothing: serving on is better than trusting a blind observer.
func (o *Observer) TakesNew(key ticket.EndpointKey) bool {
	return o.takesNew(EndpointSubject(key))
}

func (o *Observer) takesNew(subject Subject) bool {
	fact := o.facts[subject]
	if fact.Suspected && !fact.Stopping() {
		return o.groups[subject].Doubted() || o.fleet.Doubted()
	}
	return fact.TakesNew()
}

// Live returns the balancers that take new work. When most look dead, it
// returns all that do not leave.
func (o *Observer) Live(balancers []membership.Node) []membership.Node {
	var live, staying []membership.Node
	for _, node := range balancers {
		fact := o.facts[BalancerSubject(node.Name)]
		if fact.Stopping() {
			continue
		}
		staying = append(staying, node)
		if fact.TakesNew() {
			live = append(live, node)
		}
	}
	g := group{size: len(staying), suspected: len(staying) - len(live)}
	if g.Doubted() {
		return staying
	}
	return live
}

// Withheld returns the facts that keep processes from new work: all that a
// balancer must learn that knows nothing yet.
func (o *Observer) Withheld() []Subject {
	var subjects []Subject
	for subject, fact := range o.facts {
		if !fact.TakesNew() {
			subjects = append(subjects, subject)
		}
	}
	return subjects
}

// SuspectedBalancers returns the given balancers that are suspected.
func (o *Observer) SuspectedBalancers(balancers []membership.Node) []membership.Node {
	var suspected []membership.Node
	for _, node := range balancers {
		if o.facts[BalancerSubject(node.Name)].Suspected {
			suspected = append(suspected, node)
		}
	}
	return suspected
}
