package liveness

import (
	"time"

	"cactustray/membership"
	"cactustray/ticket"
)

const (
	// HeartbeatInterval is how often an agent reports to each balancer that watches it.
	HeartbeatInterval = 3 * time.Second
	// SuspectAfter is how long a watched process may fail to report before it is
	// suspected.
	SuspectAfter = 5 * HeartbeatInterval / 2
	// PauseThreshold is the gap between two ticks above which this process counts as
	// paused, so that missing reports are no evidence against other processes.
	PauseThreshold = 2 * time.Second
	// FactRetention is how long a fact is stored whose subject no ticket and no list
	// names.
	FactRetention = 10 * time.Minute
	// ignoreDivisor sets the share of a group, 1/ignoreDivisor, above which
	// suspicions point to a fault of the observer rather than of the group.
	ignoreDivisor = 2
)

// Change describes the effects of applying a fact.
type Change struct {
	// Disseminate is true if the stored fact should be sent to other balancers.
	Disseminate bool
	// Service is the service whose set of available endpoints has changed, or 0.
	Service ticket.ServiceKey
	// AllServices is true if the set of available endpoints of every service may have
	// changed.
	AllServices bool
	// Balancers is true if the set of balancers that accept new work may have
	// changed.
	Balancers bool
}

// group counts the processes whose suspicions are ignored together if too many of
// them are suspected.
type group struct {
	service ticket.ServiceKey
	size    int
	// stopping is the number of processes that are leaving or have stopped as
	// planned; suspected is the number of suspected ones among the rest.
	stopping, suspected int
}

// SuspicionsIgnored reports whether more than 1/ignoreDivisor of the processes that
// are not stopping are suspected. A fault of the observer is then the likelier
// cause, and the suspicions of the group are ignored. It is false for nil.
func (g *group) SuspicionsIgnored() bool {
	return g != nil && g.suspected*ignoreDivisor > g.size-g.stopping
}

// Observer stores the facts that a balancer has received about other processes. A
// process without a fact counts as accepting new work. It must be used by the
// control goroutine only.
type Observer struct {
	facts map[Subject]Fact
	// lastReport is when each process watched by this one last reported.
	lastReport map[Subject]time.Time
	// groups maps the subject of each endpoint that a ticket lists to its service's
	// group.
	groups   map[Subject]*group
	services map[ticket.ServiceKey][]Subject
	// allServices counts the endpoints of all services, as tickets list them.
	allServices *group
	// unlistedSince is when FactRetention began for a subject with a stored fact that
	// no ticket and no list names.
	unlistedSince map[Subject]time.Time
	balancers     map[Subject]bool
}

// NewObserver returns an observer without facts.
func NewObserver() *Observer {
	return &Observer{
		facts:         make(map[Subject]Fact),
		lastReport:    make(map[Subject]time.Time),
		groups:        make(map[Subject]*group),
		services:      make(map[ticket.ServiceKey][]Subject),
		allServices:   new(group),
		unlistedSince: make(map[Subject]time.Time),
		balancers:     make(map[Subject]bool),
	}
}

// Fact returns the stored fact about a subject, if there is one.
func (o *Observer) Fact(subject Subject) (Fact, bool) {
	fact, ok := o.facts[subject]
	return fact, ok
}

// Len returns the number of stored facts.
func (o *Observer) Len() int { return len(o.facts) }

// Watched returns the number of processes that this one watches.
func (o *Observer) Watched() int { return len(o.lastReport) }

// ReceiveReport applies a fact that a process reported about itself directly, and
// watches the process from now on.
func (o *Observer) ReceiveReport(now time.Time, fact Fact) Change {
	o.lastReport[fact.Subject] = now
	return o.Apply(now, fact)
}

// Unwatch stops watching a process, because it reports to other balancers from now
// on.
func (o *Observer) Unwatch(subject Subject) { delete(o.lastReport, subject) }

// Apply applies a fact received from another balancer, and ignores it unless it is
// newer than the stored one. If the ignored fact marks the process unavailable and the
// stored one does not, Change.Disseminate is true nevertheless, so that the balancers
// that still have the older fact receive the newer one.
func (o *Observer) Apply(now time.Time, fact Fact) Change {
	known, ok := o.facts[fact.Subject]
	if ok && !fact.Newer(known) {
		return Change{Disseminate: known.Newer(fact) && !fact.AcceptsNew() && known.AcceptsNew()}
	}
	before := o.effect(fact.Subject)
	o.set(now, fact)
	after := o.effect(fact.Subject)
	change := Change{
		Disseminate: !fact.AcceptsNew() || ok && !known.AcceptsNew(),
		AllServices: before.allIgnored != after.allIgnored,
		Balancers:   o.balancers[fact.Subject] && before != after,
	}
	if g := o.groups[fact.Subject]; g != nil && before != after {
		change.Service = g.service
	}
	return change
}

// set stores a fact and updates the counts of its group and of all services.
func (o *Observer) set(now time.Time, fact Fact) {
	o.count(o.facts[fact.Subject], -1)
	o.facts[fact.Subject] = fact
	o.count(fact, 1)
	if o.groups[fact.Subject] == nil && !o.balancers[fact.Subject] {
		o.unlistedSince[fact.Subject] = now
	}
}

// effect holds everything that a fact can change about which processes accept new
// work.
type effect struct{ acceptsNew, groupIgnored, allIgnored bool }

func (o *Observer) effect(subject Subject) effect {
	return effect{
		acceptsNew:   o.subjectAcceptsNew(subject),
		groupIgnored: o.groups[subject].SuspicionsIgnored(),
		allIgnored:   o.allServices.SuspicionsIgnored(),
	}
}

// count adds delta to the counts of a fact's group and of all services.
func (o *Observer) count(fact Fact, delta int) {
	g := o.groups[fact.Subject]
	switch {
	case g == nil:
	case fact.Stopping():
		g.stopping += delta
		o.allServices.stopping += delta
	case fact.Suspected:
		g.suspected += delta
		o.allServices.suspected += delta
	}
}

// Tick returns a suspicion of each watched process that has not reported for
// SuspectAfter; gap is the time since the last tick. Such a process is not watched
// until it reports again, so that one broken path causes one suspicion. After a
// pause of this process nothing is suspected, and all waits begin again. Tick also
// removes expired facts.
func (o *Observer) Tick(now time.Time, gap time.Duration) []Fact {
	var suspected []Fact
	o.expire(now)
	for subject, lastReport := range o.lastReport {
		if gap > PauseThreshold {
			o.lastReport[subject] = now
			continue
		}
		if now.Sub(lastReport) <= SuspectAfter {
			continue
		}
		delete(o.lastReport, subject)
		if fact := o.facts[subject]; fact.AcceptsNew() {
			fact.Suspected = true
			suspected = append(suspected, fact)
		}
	}
	return suspected
}

// SetService sets the endpoints that a service's ticket in force lists; a removed
// service has none.
func (o *Observer) SetService(now time.Time, service ticket.ServiceKey, endpoints []ticket.EndpointKey) {
	for _, subject := range o.services[service] {
		o.count(o.facts[subject], -1)
		delete(o.groups, subject)
		o.markUnlisted(now, subject)
	}
	o.allServices.size += len(endpoints) - len(o.services[service])
	g := &group{service: service, size: len(endpoints)}
	subjects := make([]Subject, len(endpoints))
	for i, key := range endpoints {
		subjects[i] = EndpointSubject(key)
		o.groups[subjects[i]] = g
		o.count(o.facts[subjects[i]], 1)
		delete(o.unlistedSince, subjects[i])
	}
	o.services[service] = subjects
}

// SetBalancers sets the balancers that the platform lists.
func (o *Observer) SetBalancers(now time.Time, nodes []membership.Node) {
	before := o.balancers
	o.balancers = make(map[Subject]bool, len(nodes))
	for _, node := range nodes {
		subject := BalancerSubject(node.Name)
		o.balancers[subject] = true
		delete(o.unlistedSince, subject)
	}
	for subject := range before {
		if !o.balancers[subject] {
			o.markUnlisted(now, subject)
		}
	}
}

// markUnlisted starts the retention time of a subject's fact, if there is one.
func (o *Observer) markUnlisted(now time.Time, subject Subject) {
	if _, known := o.facts[subject]; known {
		o.unlistedSince[subject] = now
	}
}

// expire removes the facts of subjects that nothing has named for
// FactRetention.
func (o *Observer) expire(now time.Time) {
	for subject, since := range o.unlistedSince {
		if now.Sub(since) > FactRetention {
			delete(o.unlistedSince, subject)
			delete(o.facts, subject)
			delete(o.lastReport, subject)
		}
	}
}

// AcceptsNew reports whether an endpoint accepts new work: it is false if the
// endpoint is leaving, has stopped or is suspected. If most endpoints of its
// service or of all services are suspected, suspicions are ignored: sending work to
// endpoints that may have failed is better than relying on an observer that is
// probably cut off itself.
func (o *Observer) AcceptsNew(key ticket.EndpointKey) bool {
	return o.subjectAcceptsNew(EndpointSubject(key))
}

func (o *Observer) subjectAcceptsNew(subject Subject) bool {
	fact := o.facts[subject]
	if fact.Suspected && !fact.Stopping() {
		return o.groups[subject].SuspicionsIgnored() || o.allServices.SuspicionsIgnored()
	}
	return fact.AcceptsNew()
}

// Live returns those of the given balancers that accept new work. If most of them
// are suspected, it returns all that are not leaving.
func (o *Observer) Live(balancers []membership.Node) []membership.Node {
	var live, staying []membership.Node
	for _, node := range balancers {
		fact := o.facts[BalancerSubject(node.Name)]
		if fact.Stopping() {
			continue
		}
		staying = append(staying, node)
		if fact.AcceptsNew() {
			live = append(live, node)
		}
	}
	g := group{size: len(staying), suspected: len(staying) - len(live)}
	if g.SuspicionsIgnored() {
		return staying
	}
	return live
}

// Unavailable returns the subjects whose facts keep them from new work. These facts
// are all that a balancer without facts has to receive.
func (o *Observer) Unavailable() []Subject {
	var subjects []Subject
	for subject, fact := range o.facts {
		if !fact.AcceptsNew() {
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
