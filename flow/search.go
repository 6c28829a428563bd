package flow

import (
	"slices"
	"time"
)

const (
	// searchTime bounds how long answers to a search are put together.
	searchTime = 2 * time.Second
	// searchPause is how long a flow is searched for with one packet: a caller
	// sends it again after 200 ms.
	searchPause = 150 * time.Millisecond
	// maxKept bounds the packets of a flow that wait for a search to end; callers
	// have 16 in flight. maxKeptInAll bounds those of all flows, 1.2 KB each.
	maxKept      = 16
	maxKeptInAll = 512
	// searchOverhead is what a search sends to an agent beside the packet, in
	// bytes: envelope, UDP and IP headers.
	searchOverhead = 48
	// defaultSearchRate is how many bytes a second searches may take unless the
	// settings name the machine's link: a quarter of 10 Mbit/s, the slowest link.
	defaultSearchRate = 312_500
)

// search is a flow that is asked for.
type search struct {
	// denied are the agents that don't hold the flow.
	denied       map[Address]bool
	acknowledged uint32
	began        Stamp
	last         Stamp
	// sent is when agents were asked last, or 0, and packet what they got.
	sent   Stamp
	packet []byte
	// wave is whom that went to.
	wave wave
	// kept are the packets that wait for the flow's agent.
	kept [][]byte
}

// searches are the flows that are asked for.
//
// Invariant: searches take no more than their rate, so that they never take the
// link from the packets of known flows, however many flows have moved here.
type searches struct {
	flows map[Key]*search
	kept  int
	// rate is in bytes a second; tokens is what may be sent at the moment filled.
	rate   float64
	tokens float64
	filled Stamp
}

func newSearches() searches {
	return searches{flows: make(map[Key]*search), rate: defaultSearchRate, tokens: defaultSearchRate}
}

// SetSearchRate sets how many bytes a second searches may take.
func (p *Picks) SetSearchRate(bytes float64) { p.searches.rate = bytes }

// take spends bytes of the rate, if it allows.
func (s *searches) take(now Stamp, bytes int) bool {
	s.tokens = min(s.tokens+s.rate*(now-s.filled).Seconds(), s.rate)
	s.filled = now
	if s.tokens < float64(bytes) && s.tokens < s.rate {
		return false
	}
	s.tokens -= float64(bytes)
	return true
}

// at returns the search for a flow, begun anew if the last one is too old.
func (s *searches) at(now Stamp, key Key) *search {
	found := s.flows[key]
	if found == nil || now-found.began > searchTime {
		s.end(key)
		found = &search{denied: make(map[Address]bool), began: now}
		s.flows[key] = found
	}
	return found
}

func (s *searches) keep(to *search, datagram []byte) {
	if len(to.kept) < maxKept && s.kept < maxKeptInAll {
		to.kept = append(to.kept, append([]byte(nil), datagram...))
		s.kept++
	}
}

// end forgets a search and returns the packets that waited for it.
func (s *searches) end(key Key) [][]byte {
	ended := s.flows[key]
	if ended == nil {
		return nil
	}
	delete(s.flows, key)
	s.kept -= len(ended.kept)
	return ended.kept
}

func (s *searches) sweep(now Stamp) {
	for key, found := range s.flows {
		if now-found.last > searchTime {
			s.end(key)
		}
	}
}

// search sends a packet to the agents that may hold its flow, unless they were asked
// just now, in waves: first to few that the flow prefers, last to all. except has said
// already that it does not hold it.
func (p *Picks) search(now Stamp, packet Packet, m *Map, except Address, datagram []byte) Decision {
	route := m.Routes[packet.Flow.Service]
	if route == nil {
		return Decision{Reason: UnknownAddress}
	}
	s := p.searches.at(now, packet.Flow)
	s.acknowledged, s.last = packet.Acknowledged, now
	if !except.IsZero() {
		s.denied[except] = true
	}
	if s.sent != 0 && now-s.sent < searchPause {
		p.searches.keep(s, datagram)
		return Decision{Reason: SearchWaits}
	}
	s.packet = slices.Clone(datagram)
	if s.sent != 0 {
		// The caller sends again: whoever was asked may not have got it.
		s.wave = max(s.wave, preferredWave)
	}
	d := p.ask(now, packet.Flow, s, route)
	switch {
	case len(d.All) == 0 && d.Reason != SearchWaits:
		return p.conclude(now, packet.Flow, m)
	case d.Reason == SearchWaits:
		p.searches.keep(s, datagram)
	}
	return d
}

// send sends the packet of a search to agents, if the rate of searches allows it.
func (p *Picks) send(now Stamp, s *search, route *Route, to []Address) Decision {
	d := Decision{Reason: Searched, Tag: tagOf(route), All: to}
	if len(to) == 0 {
		return d
	}
	if !p.searches.take(now, len(to)*(len(s.packet)+searchOverhead)) {
		return Decision{Reason: SearchWaits}
	}
	s.sent = now
	return d
}

// tagOf returns the tag of a route's only service, or 0.
func tagOf(r *Route) uint16 {
	if len(r.Shares) != 1 {
		return 0
	}
	return r.Shares[0].Service.Tag
}

// asked returns the agents that may hold the flow and have not denied it.
func (s *search) asked(r *Route) []Address {
	var asked []Address
	for _, share := range r.Shares {
		for _, site := range share.Service.Holders {
			if !s.denied[site.Agent] {
				asked = append(asked, site.Agent)
			}
		}
	}
	return asked
}

// Denied takes in that an agent does not hold a flow that was searched for. Once all
// of a wave have denied it the next one is asked, with the datagram that is returned;
// when none holds it the flow is over.
func (p *Picks) Denied(now Stamp, key Key, agent Address, m *Map) (Decision, []byte) {
	s, route := p.searches.flows[key], m.Routes[key.Service]
	if s == nil {
		return Decision{Reason: NotHeld}, nil
	}
	s.denied[agent] = true
	if route != nil && s.wave < everyWave && s.packet != nil && !s.awaits(now, key, route, m) {
		if d := p.ask(now, key, s, route); len(d.All) > 0 {
			return d, s.packet
		}
	}
	return p.conclude(now, key, m), nil
}

// conclude ends a flow once every endpoint that may hold it has denied it.
func (p *Picks) conclude(now Stamp, key Key, m *Map) Decision {
	s, route := p.searches.flows[key], m.Routes[key.Service]
	switch {
	case route == nil:
		return Decision{Reason: UnknownAddress}
	case len(s.asked(route)) > 0 || !m.Complete:
		return Decision{Reason: Searched}
	case !route.held():
		return Decision{Reason: NoEndpoint}
	}
	p.searches.end(key)
	p.flows[key] = pick{ended: true, last: now}
	return Decision{End: true, Reset: Reset{Flow: key, Acknowledged: s.acknowledged}, Reason: NobodyHolds}
}

// Concluded returns the flows that are over by a map which has become complete.
func (p *Picks) Concluded(now Stamp, m *Map) []Decision {
	var ended []Decision
	for key := range p.searches.flows {
		if d := p.conclude(now, key, m); d.End {
			ended = append(ended, d)
		}
	}
	return ended
}

// held tells whether any endpoint may hold flows of the route.
func (r *Route) held() bool {
	for _, share := range r.Shares {
		if len(share.Service.Holders) > 0 {
			return true
		}
	}
	return false
}
