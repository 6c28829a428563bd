package ticket

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// FanOut is how many peers a balancer pushes what is new to, and compares
	// with. They are kept for a while, so that connections stay open.
	FanOut = 5
	// CompareInterval is how often a balancer compares summaries with one of
	// its partners.
	CompareInterval = 2 * time.Second
	// startInterval is CompareInterval before the first table.
	startInterval = 300 * time.Millisecond
	// maxFailures is how many calls in a row fail before a partner is
	// replaced, for avoidTime.
	maxFailures = 3
	avoidTime   = 10 * time.Second
	// aloneAfter is how long no peer answers until a node counts as alone.
	aloneAfter = 10 * time.Second
	// maxNews bounds the services of one push; more than that is left to
	// comparisons, which fetch each document once.
	maxNews = 64
	// firstRetry and lastRetry bound the wait after failed calls.
	firstRetry = 200 * time.Millisecond
	lastRetry  = 5 * time.Second
)

// Peer is another balancer. Control is what it is known by.
type Peer struct{ Name, Zone, Control string }

// Random is the source of a decision's random choices.
type Random = *rand.Rand

// Spread decides whom a balancer tells of new tickets, whom it compares with,
// and whether it reads the platform. At most one call to each partner is under
// way. The control goroutine owns it.
type Spread struct {
	self   Peer
	seeds  []Peer
	listed []Peer
	// known are the peers that partners are chosen from.
	known    []Peer
	partners []*partner
	random   Random

	began time.Time
	read  time.Time
	// published is when this node itself read the platform, answered when
	// any peer last answered.
	published   time.Time
	answered    time.Time
	confirmed   time.Time
	patience    time.Duration
	nextCompare time.Time
	// fetching is the partner whose differing buckets are being fetched: one
	// at a time, so that no document comes twice.
	fetching *partner
	avoided  map[string]time.Time
	ready    bool
}

// partner is a peer chosen for pushes and comparisons.
type partner struct {
	Peer
	// news are services whose digest the partner has not been told.
	news     map[ServiceKey]bool
	busy     bool
	tried    bool
	failures int
	retryAt  time.Time
}

// NewSpread returns the state of a balancer that knows its seeds only.
func NewSpread(now time.Time, self Peer, seeds []Peer, random Random) *Spread {
	s := &Spread{self: self, random: random, began: now, read: now, answered: now, avoided: make(map[string]time.Time)}
	s.patience = readPatience + s.jitter(readPatience)
	s.seeds = s.others(seeds)
	return s
}

// Listed takes in the balancers of the platform's list.
func (s *Spread) Listed(balancers []Peer) {
	if len(balancers) == 0 {
		return
	}
	s.listed = s.others(balancers)
	s.known = s.listed
	s.choosePartners()
}

// Published notes that this node read the platform.
func (s *Spread) Published(now time.Time) {
	s.read, s.published = now, now
}

// heard takes in how long ago another balancer knows the platform to have been
// read by anybody.
func (s *Spread) heard(now time.Time, age time.Duration) {
	if age <= 0 {
		return
	}
	if read := now.Add(-age); read.After(s.read) {
		s.read = read
	}
}

// ReadAge returns how long ago the platform was last read by anybody, as far
// as this node knows. It is never 0, which tells nothing.
func (s *Spread) ReadAge(now time.Time) time.Duration {
	return max(now.Sub(s.read), time.Millisecond)
}

func (s *Spread) others(peers []Peer) []Peer {
	var others []Peer
	for _, peer := range peers {
		if peer.Control != s.self.Control && (peer.Name == "" || peer.Name != s.self.Name) {
			others = append(others, peer)
		}
	}
	sortPeers(others)
	return others
}

// News notes that what is known of a service changed, learned from the sender
// of that name, and returns the calls that tell the partners.
func (s *Spread) News(now time.Time, register *Register, sender string, keys ...ServiceKey) []Call {
	if len(keys) > maxNews {
		s.nextCompare = now
		return s.push(now, register)
	}
	for _, p := range s.partners {
		if p.Name == sender && sender != "" {
			continue
		}
		for _, key := range keys {
			p.news[key] = true
		}
	}
	return s.push(now, register)
}

// Tick chooses partners and returns the calls that are due.
func (s *Spread) Tick(now time.Time, register *Register) []Call {
	s.forgive(now)
	calls := s.push(now, register)
	if now.Before(s.nextCompare) {
		return calls
	}
	interval := CompareInterval
	if !s.ready {
		interval = startInterval
	}
	s.nextCompare = now.Add(interval/2 + s.jitter(interval))
	for _, p := range s.comparable(now) {
		calls = append(calls, s.call(now, p, Request{Summary: register.Summary(), Summarized: true}))
	}
	return calls
}

// Behind makes the next comparison due at once: somebody knows more.
func (s *Spread) Behind(now time.Time) { s.nextCompare = now }

// comparable returns the partners to compare with: one at random, or all
// before the first table.
func (s *Spread) comparable(now time.Time) []*partner {
	var idle []*partner
	for _, p := range s.partners {
		if p.idle(now) {
			idle = append(idle, p)
		}
	}
	if s.ready && len(idle) > 1 {
		i := s.random.IntN(len(idle))
		return idle[i : i+1]
	}
	return idle
}

func (p *partner) idle(now time.Time) bool { return !p.busy && !now.Before(p.retryAt) }

func (s *Spread) push(now time.Time, register *Register) []Call {
	var calls []Call
	for _, p := range s.partners {
		if len(p.news) == 0 || !p.idle(now) {
			continue
		}
		request := Request{}
		for key := range p.news {
			if entry := register.Entry(key); entry != nil {
				request.Services = append(request.Services, key)
				request.Digests = append(request.Digests, entry.digests()...)
			}
		}
		clear(p.news)
		slices.Sort(request.Services)
		calls = append(calls, s.call(now, p, request))
	}
	return calls
}

// digests names the rivals, and last the ticket in force.
func (e *Entry) digests() []Digest { return append(slices.Clone(e.Rivals), DigestOf(e.Held)) }

func (s *Spread) call(now time.Time, p *partner, request Request) Call {
	p.busy = true
	request.ReadAge = s.ReadAge(now)
	request.Sender = s.self.Name
	return Call{Peer: p.Peer, Request: request}
}

// Answered takes in the end of a call, after the tickets of its response were
// joined, and returns the calls that follow.
func (s *Spread) Answered(now time.Time, register *Register, m Answered) []Call {
	p := s.partner(m.Call.Peer)
	if p == nil {
		return nil
	}
	p.busy = false
	if s.fetching == p {
		s.fetching = nil
	}
	if m.Failure != nil {
		s.failed(now, p, m.Call.Request)
		return s.push(now, register)
	}
	p.failures = 0
	s.answered = now
	s.heard(now, m.Response.ReadAge)
	if next, more := s.following(now, p, register, m); more {
		return []Call{s.call(now, p, next)}
	}
	p.tried = p.tried || m.Response.Starting
	return s.push(now, register)
}

// following returns the request that a response calls for. A comparison that
// ends without a difference to fetch confirms what is in force.
func (s *Spread) following(now time.Time, p *partner, register *Register, m Answered) (Request, bool) {
	request, response := m.Call.Request, m.Response
	switch {
	case response.Sums != nil && s.fetching != nil:
		return Request{}, false
	case response.Sums != nil:
		return s.fetch(p, register, register.differing(*response.Sums))
	case len(response.Wanted) > 0:
		return s.given(register, response.Wanted), true
	case response.More:
		return s.fetch(p, register, request.Buckets)
	}
	if (request.Summarized || len(request.Buckets) > 0) && !response.Starting {
		s.confirmed = now
	}
	return Request{}, false
}

// fetch asks a partner for what it holds in the given buckets beyond ours.
func (s *Spread) fetch(p *partner, register *Register, buckets []Bucket) (Request, bool) {
	if len(buckets) == 0 {
		return Request{}, false
	}
	s.fetching = p
	return Request{Buckets: buckets, Digests: register.digestsIn(buckets)}, true
}

func (s *Spread) given(register *Register, wanted []ServiceKey) Request {
	request := Request{Held: register.give(wanted)}
	for _, h := range request.Held {
		request.Digests = append(request.Digests, register.entries[h.Ticket.Key()].Rivals...)
	}
	return request
}

func (s *Spread) failed(now time.Time, p *partner, request Request) {
	p.tried = true
	p.failures++
	backoff := min(firstRetry<<(p.failures-1), lastRetry)
	p.retryAt = now.Add(backoff/2 + s.jitter(backoff))
	for _, key := range request.Services {
		p.news[key] = true
	}
	for _, h := range request.Held {
		p.news[h.Ticket.Key()] = true
	}
	if p.failures >= maxFailures {
		s.avoid(now, p)
	}
}

// Confirmed returns when a comparison with a peer last ended without a
// difference. Without a peer that answers, this node's own reading of the
// platform has to do.
func (s *Spread) Confirmed(now time.Time) Confirmation {
	if now.Sub(s.answered) < aloneAfter && s.hasPeers() {
		return Confirmation{At: s.confirmed}
	}
	return Confirmation{At: s.published, Alone: true}
}

func (s *Spread) hasPeers() bool { return len(s.listed)+len(s.seeds) > 0 }

func (s *Spread) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}
