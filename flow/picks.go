package flow

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxTried bounds how many endpoints an opening packet is offered to
	// through one balancer.
	maxTried = 3
	// openingTime bounds the opening of a flow: callers give up after 1.4 s.
	openingTime = 2 * time.Second
	// lastCopy is the last repetition of an opening packet that callers send.
	lastCopy = 2
	// maxPicks bounds the table of a balancer: 94 bytes each, by PickMemory.
	maxPicks = 1 << 18
	// currentFor is how old the map may be for a refusal: twice the longest
	// pause between two readings.
	currentFor = 2 * time.Second
	// lastPrecision is how exactly it is known when a flow was last seen: flows
	// are kept for a minute, so not every packet need write the table.
	lastPrecision = time.Second
	// endedKeep is how long a flow that was reset is answered by resets.
	endedKeep = 3 * time.Second
)

// pick is where a balancer placed or found a flow.
type pick struct {
	agent Address
	// tag is the service's of the agent, or 0 where it is not known.
	tag uint16
	// placed is when the flow was offered to the agent.
	placed Stamp
	last   Stamp
	tried  [maxTried]Address
	tries  uint8
	// refused tells that an endpoint gave the opening packet back.
	refused bool
	ended   bool
}

// Picks is what a balancer remembers of the flows that came by. It is only a
// memory: without it flows are found by a search.
type Picks struct {
	flows    map[Key]pick
	searches searches
	openings openings
	lifetime time.Duration
	random   *rand.Rand
}

// NewPicks returns an empty memory; lifetime is the longest life of a flow.
func NewPicks(lifetime time.Duration, random *rand.Rand) *Picks {
	return &Picks{
		flows: make(map[Key]pick), searches: newSearches(), lifetime: lifetime, random: random,
	}
}

// SetLifetime sets the longest life of a flow.
func (p *Picks) SetLifetime(lifetime time.Duration) { p.lifetime = lifetime }

// Len returns how many flows are remembered.
func (p *Picks) Len() int { return len(p.flows) }

// Decision is made at a balancer: to which agents a caller's packet goes, or
// that the flow ends. Without either the packet is dropped.
type Decision struct {
	// To is the agent that gets the packet, or zero.
	To Address
	// All are the agents that may hold a flow that is searched for.
	All []Address
	// Tag is that of the service whose endpoint gets the packet, or 0 where it is not
	// known.
	Tag uint16
	// Alternative is the agent for an opening packet if To's endpoint is busy.
	Alternative Address
	// AlternativeRunning is how many requests that endpoint had in progress.
	AlternativeRunning uint8
	// End tells that the caller gets the reset.
	End    bool
	Reset  Reset
	Reason Reason
}

// FromCaller decides on a packet that the fabric brought. datagram is copied if the
// packet may have to be sent again.
func (p *Picks) FromCaller(now Stamp, packet Packet, m *Map, datagram []byte) Decision {
	if packet.Opening {
		return p.open(now, packet, m, datagram)
	}
	known, ok := p.flows[packet.Flow]
	switch {
	case ok && known.ended:
		return Decision{End: true, Reset: resetOf(packet), Reason: EndpointLost}
	case ok:
		if now-known.last > lastPrecision {
			known.last = now
			p.flows[packet.Flow] = known
		}
		return Decision{To: known.agent, Tag: known.tag, Reason: Known}
	case packet.Reset:
		return Decision{Reason: NotHeld}
	}
	return p.search(now, packet, m, Address{}, datagram)
}

func resetOf(packet Packet) Reset {
	return Reset{Flow: packet.Flow, Acknowledged: packet.Acknowledged}
}

// open places a new flow, or a copy of its opening packet.
func (p *Picks) open(now Stamp, packet Packet, m *Map, datagram []byte) Decision {
	known, ok := p.flows[packet.Flow]
	if ok && now-known.placed > openingTime {
		known, ok = pick{}, false // the caller uses its port again
	}
	if ok && !known.ended && known.stays(packet, m) {
		known.last = now
		p.flows[packet.Flow] = known
		return p.again(m, known)
	}
	route := m.Routes[packet.Flow.Service]
	if route == nil {
		return Decision{End: now-m.Current() < currentFor, Reset: resetOf(packet), Reason: UnknownAddress}
	}
	d := p.place(now, packet, route.Service(packet.Flow), known)
	p.openings.keep(now, packet, d.To, m, datagram)
	if d.To.IsZero() && ok && !known.ended {
		return p.again(m, known)
	}
	return d
}

// stays tells whether an opening packet that comes again goes to the agent that has it
// already: not when that agent is silent, or its address went to another service.
func (k pick) stays(packet Packet, m *Map) bool {
	site := m.Agents[k.agent]
	if site == nil {
		return true
	}
	return k.serves(site) && (packet.Copy == 0 || site.Gauge.Heard() > k.placed)
}

// serves tells whether a site still belongs to the flow's service.
func (k pick) serves(site *Site) bool { return k.tag == 0 || k.tag == site.Service.Tag }

// again repeats an opening packet at the agent that has it already.
func (p *Picks) again(m *Map, known pick) Decision {
	site := m.Agents[known.agent]
	if site == nil || !known.serves(site) {
		return Decision{Reason: NoEndpoint}
	}
	return Decision{To: known.agent, Tag: site.Service.Tag, Reason: Repeated}
}

// place offers the flow to the best endpoint that it was not offered to.
func (p *Picks) place(now Stamp, packet Packet, service *Service, known pick) Decision {
	if service == nil || int(known.tries) >= maxTried || len(p.flows) >= maxPicks {
		return p.unplaced(packet, known)
	}
	first, second := p.choose(now, service, packet.Flow, known)
	if first < 0 {
		return p.unplaced(packet, known)
	}
	site := service.Takers[first]
	known.agent, known.tag, known.placed, known.last, known.ended = site.Agent, service.Tag, now, now, false
	known.tried[known.tries] = site.Agent
	known.tries++
	p.flows[packet.Flow] = known
	d := Decision{To: site.Agent, Tag: service.Tag, Reason: Opened}
	if second >= 0 {
		other := service.Takers[second]
		d.Alternative = other.Agent
		d.AlternativeRunning = uint8(min(other.Gauge.Running(), math.MaxUint8))
	}
	return d
}

// unplaced drops a packet that no endpoint takes: a copy of it follows. When an
// endpoint has refused the flow, or no copy follows, the caller is refused at
// once. A copy that went another way may have opened the flow meanwhile, so this
// reset acknowledges nothing.
func (p *Picks) unplaced(packet Packet, known pick) Decision {
	end := packet.Copy >= lastCopy || known.refused
	return Decision{End: end, Reset: resetOf(packet), Reason: NoEndpoint}
}

func (k pick) triedBefore(agent Address) bool {
	for _, tried := range k.tried[:k.tries] {
		if tried == agent {
			return true
		}
	}
	return false
}

// Found takes in that a flow is at an agent of the service with a tag, and returns the
// datagrams that waited for it.
func (p *Picks) Found(now Stamp, key Key, agent Address, tag uint16) [][]byte {
	kept := p.searches.end(key)
	known := p.flows[key]
	known.agent, known.tag, known.last, known.ended = agent, tag, now, false
	if known.placed == 0 {
		known.placed = now
	}
	if len(p.flows) < maxPicks {
		p.flows[key] = known
	}
	return kept
}

// Returned decides on a packet that an agent gave back: an opening packet goes
// to another endpoint, any other is searched for. d came with the packet.
func (p *Picks) Returned(now Stamp, packet Packet, agent Address, d Delivery, m *Map, datagram []byte) Decision {
	known, ok := p.flows[packet.Flow]
	if !packet.Opening {
		if ok && known.agent != agent && !known.ended && d.Hops <= 1 {
			return Decision{To: known.agent, Tag: known.tag, Reason: Known}
		}
		delete(p.flows, packet.Flow)
		return p.search(now, packet, m, agent, datagram)
	}
	route := m.Routes[packet.Flow.Service]
	if route == nil {
		return Decision{Reason: UnknownAddress}
	}
	known.failed(agent, d.Silent)
	return p.place(now, packet, route.Service(packet.Flow), known)
}

// failed notes that an endpoint gave the opening packet back, or left it unanswered.
func (k *pick) failed(agent Address, silent bool) {
	k.refused = k.refused || !silent
	if !k.triedBefore(agent) && int(k.tries) < maxTried {
		k.tried[k.tries] = agent
		k.tries++
	}
}

// Sweep forgets flows that were not seen for their lifetime; every few seconds
// is enough.
func (p *Picks) Sweep(now Stamp) {
	for key, known := range p.flows {
		age := now - known.last
		if age > p.lifetime || known.ended && age > endedKeep {
			delete(p.flows, key)
		}
	}
	p.searches.sweep(now)
}
