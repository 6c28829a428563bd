package ticket

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// FanOut is how many partners a balancer pushes changes to and compares
	// with. Partners are retained over time, so that connections stay open.
	FanOut = 5
	// CompareInterval is the mean time between two comparisons of summaries
	// with a partner.
	CompareInterval = 2 * time.Second
	// startInterval replaces CompareInterval until the first table is in force.
	startInterval = 300 * time.Millisecond
	// maxFailures is how many calls to a partner fail in a row before it is
	// replaced and avoided for about avoidTime.
	maxFailures = 3
	avoidTime   = 10 * time.Second
	// isolatedAfter is how long no peer responds before a node counts as
	// isolated.
	isolatedAfter = 10 * time.Second
	// maxPushServices bounds the number of services in one push. Larger changes
	// are left to comparisons, which fetch each document once.
	maxPushServices = 64
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Peer is another balancer, identified by its control address.
type Peer struct{ Name, Zone, Control string }

// Random is the source of random choices in decisions.
type Random = *rand.Rand

// Gossip decides which peers a balancer announces changed tickets to, which
// ones it compares its register with, and whether it reads the platform. At
// most one call per partner is in flight. The control goroutine owns it.
type Gossip struct {
	self   Peer
	seeds  []Peer
	listed []Peer
	// known are the peers from which partners are chosen.
	known    []Peer
	partners []*partner
	random   Random

	startedAt time.Time
	// lastRead is when any node last read the platform, as far as this node
	// knows.
	lastRead time.Time
	// ownRead is when this node itself last read the platform, lastAnswer when any
	// peer last responded, and lastConfirmed when a comparison with a peer last
	// ended without a difference to fetch.
	ownRead       time.Time
	lastAnswer    time.Time
	lastConfirmed time.Time
	// watchAfter is the age of the last read after which this node watches the
	// platform itself.
	watchAfter  time.Duration
	nextCompare time.Time
	// fetching is the partner from which differing buckets are being fetched:
	// one at a time, so that no document is transferred twice.
	fetching *partner
	avoided  map[string]time.Time
	ready    bool
}

// partner is a peer chosen for pushes and comparisons.
type partner struct {
	Peer
	// pending are services whose changed digest is still to be pushed to the
	// partner.
	pending map[ServiceKey]bool
	// busy is true while a call is in flight.
	busy bool
	// tried is true once the partner could not confirm the tickets: a call
	// failed, or the partner was starting.
	tried bool
	// failures counts the calls that failed in a row.
	failures int
	retryAt  time.Time
}

// NewGossip returns the state of a balancer that knows only its seeds.
func NewGossip(now time.Time, self Peer, seeds []Peer, random Random) *Gossip {
	g := &Gossip{self: self, random: random, startedAt: now, lastRead: now, lastAnswer: now, avoided: make(map[string]time.Time)}
	g.watchAfter = maxReadAge + g.jitter(maxReadAge)
	g.seeds = g.others(seeds)
	return g
}

// SetPeers sets the peers to the balancers of the platform's list of VMs. An
// empty list is ignored.
func (g *Gossip) SetPeers(balancers []Peer) {
	if len(balancers) == 0 {
		return
	}
	g.listed = g.others(balancers)
	g.known = g.listed
	g.choosePartners()
}

// RecordRead records that this node read the platform.
func (g *Gossip) RecordRead(now time.Time) {
	g.lastRead, g.ownRead = now, now
}

// recordReadAge records how long ago, according to another balancer, the
// platform was last read by any node. It ignores an age of 0, which means that
// none was reported.
func (g *Gossip) recordReadAge(now time.Time, age time.Duration) {
	if age <= 0 {
		return
	}
	if lastRead := now.Add(-age); lastRead.After(g.lastRead) {
		g.lastRead = lastRead
	}
}

// ReadAge returns how long ago the platform was last read by any node, as far
// as this node knows. It is at least 1 ms, because 0 means that no age is
// reported.
func (g *Gossip) ReadAge(now time.Time) time.Duration {
	return max(now.Sub(g.lastRead), time.Millisecond)
}

// others returns the peers without this node, sorted.
func (g *Gossip) others(peers []Peer) []Peer {
	var others []Peer
	for _, peer := range peers {
		if peer.Control != g.self.Control && (peer.Name == "" || peer.Name != g.self.Name) {
			others = append(others, peer)
		}
	}
	sortPeers(others)
	return others
}

// Announce records that the tickets of the given services changed and returns
// the calls that push the changes to partners. It does not announce them to the
// partner named sender, from which they were received.
func (g *Gossip) Announce(now time.Time, register *Register, sender string, keys ...ServiceKey) []Call {
	if len(keys) > maxPushServices {
		g.nextCompare = now
		return g.push(now, register)
	}
	for _, p := range g.partners {
		if p.Name == sender && sender != "" {
			continue
		}
		for _, key := range keys {
			p.pending[key] = true
		}
	}
	return g.push(now, register)
}

// Tick updates the partners and returns the calls that are due.
func (g *Gossip) Tick(now time.Time, register *Register) []Call {
	g.refreshPeers(now)
	calls := g.push(now, register)
	if now.Before(g.nextCompare) {
		return calls
	}
	interval := CompareInterval
	if !g.ready {
		interval = startInterval
	}
	g.nextCompare = now.Add(interval/2 + g.jitter(interval))
	for _, p := range g.comparisonPartners(now) {
		calls = append(calls, g.call(now, p, Request{Summary: register.Summary(), Summarized: true}))
	}
	return calls
}

// CompareNow makes the next comparison due at once, because another node has
// newer tickets.
func (g *Gossip) CompareNow(now time.Time) { g.nextCompare = now }

// comparisonPartners returns the partners to compare with: a random one, or all
// until the first table is in force.
func (g *Gossip) comparisonPartners(now time.Time) []*partner {
	var idle []*partner
	for _, p := range g.partners {
		if p.idle(now) {
			idle = append(idle, p)
		}
	}
	if g.ready && len(idle) > 1 {
		i := g.random.IntN(len(idle))
		return idle[i : i+1]
	}
	return idle
}

func (p *partner) idle(now time.Time) bool { return !p.busy && !now.Before(p.retryAt) }

// push returns a call to every idle partner that has pending services.
func (g *Gossip) push(now time.Time, register *Register) []Call {
	var calls []Call
	for _, p := range g.partners {
		if len(p.pending) == 0 || !p.idle(now) {
			continue
		}
		request := Request{}
		for key := range p.pending {
			if entry := register.Entry(key); entry != nil {
				request.Services = append(request.Services, key)
				request.Digests = append(request.Digests, entry.digests()...)
			}
		}
		clear(p.pending)
		slices.Sort(request.Services)
		calls = append(calls, g.call(now, p, request))
	}
	return calls
}

// digests returns the digests of the conflicting tickets, followed by that of
// the ticket in force.
func (e *Entry) digests() []Digest { return append(slices.Clone(e.Conflicting), DigestOf(e.Record)) }

func (g *Gossip) call(now time.Time, p *partner, request Request) Call {
	p.busy = true
	request.ReadAge = g.ReadAge(now)
	request.Sender = g.self.Name
	return Call{Peer: p.Peer, Request: request}
}

// CallEnded handles the result of a call after the tickets of its response were
// joined, and returns the calls that follow.
func (g *Gossip) CallEnded(now time.Time, register *Register, m CallEnded) []Call {
	p := g.partner(m.Call.Peer)
	if p == nil {
		return nil
	}
	p.busy = false
	if g.fetching == p {
		g.fetching = nil
	}
	if m.Failure != nil {
		g.recordFailure(now, p, m.Call.Request)
		return g.push(now, register)
	}
	p.failures = 0
	g.lastAnswer = now
	g.recordReadAge(now, m.Response.ReadAge)
	if next, more := g.nextRequest(now, p, register, m); more {
		return []Call{g.call(now, p, next)}
	}
	p.tried = p.tried || m.Response.Starting
	return g.push(now, register)
}

// nextRequest returns the request that has to follow a response, and false if
// there is none. A comparison that ends without a difference to fetch confirms
// the tickets in force.
func (g *Gossip) nextRequest(now time.Time, p *partner, register *Register, m CallEnded) (Request, bool) {
	request, response := m.Call.Request, m.Response
	switch {
	case response.Sums != nil && g.fetching != nil:
		return Request{}, false
	case response.Sums != nil:
		return g.fetchRequest(p, register, register.differing(*response.Sums))
	case len(response.Wanted) > 0:
		return g.wantedTickets(register, response.Wanted), true
	case response.More:
		return g.fetchRequest(p, register, request.Buckets)
	}
	if (request.Summarized || len(request.Buckets) > 0) && !response.Starting {
		g.lastConfirmed = now
	}
	return Request{}, false
}

// fetchRequest returns the request for the tickets of the given buckets that
// the partner has and this node lacks.
func (g *Gossip) fetchRequest(p *partner, register *Register, buckets []Bucket) (Request, bool) {
	if len(buckets) == 0 {
		return Request{}, false
	}
	g.fetching = p
	return Request{Buckets: buckets, Digests: register.digestsIn(buckets)}, true
}

// wantedTickets returns the request that delivers the wanted tickets, with the
// digests of conflicting ones.
func (g *Gossip) wantedTickets(register *Register, wanted []ServiceKey) Request {
	request := Request{Records: register.ticketsOf(wanted)}
	for _, record := range request.Records {
		request.Digests = append(request.Digests, register.entries[record.Ticket.Key()].Conflicting...)
	}
	return request
}

// recordFailure schedules the retry of a failed call and marks its services as
// pending again.
func (g *Gossip) recordFailure(now time.Time, p *partner, request Request) {
	p.tried = true
	p.failures++
	backoff := min(minRetryDelay<<(p.failures-1), maxRetryDelay)
	p.retryAt = now.Add(backoff/2 + g.jitter(backoff))
	for _, key := range request.Services {
		p.pending[key] = true
	}
	for _, record := range request.Records {
		p.pending[record.Ticket.Key()] = true
	}
	if p.failures >= maxFailures {
		g.avoid(now, p)
	}
}

// Confirmed returns when a comparison with a peer last ended without a
// difference to fetch. If no peer responds, it returns when this node itself
// last read the platform.
func (g *Gossip) Confirmed(now time.Time) Confirmation {
	if now.Sub(g.lastAnswer) < isolatedAfter && g.hasPeers() {
		return Confirmation{At: g.lastConfirmed}
	}
	return Confirmation{At: g.ownRead, Isolated: true}
}

func (g *Gossip) hasPeers() bool { return len(g.listed)+len(g.seeds) > 0 }

func (g *Gossip) jitter(d time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(d)))
}
