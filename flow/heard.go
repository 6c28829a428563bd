package flow

import (
	"slices"
	"time"
)

const (
	// openingKeep is how long an opening packet is kept that went to an agent which
	// is not heard: then its caller repeats it.
	openingKeep = 200 * time.Millisecond
	// maxOpenings bounds them, at 100 bytes each.
	maxOpenings = 512
)

// opening is an opening packet that went to an agent which was not heard.
type opening struct {
	packet   Packet
	agent    Address
	at       Stamp
	datagram []byte
}

// openings are those of the last moments, in order of their age.
type openings struct{ kept []opening }

// keep remembers an opening packet if its agent may not have got it.
func (o *openings) keep(now Stamp, packet Packet, agent Address, m *Map, datagram []byte) {
	site := m.Agents[agent]
	if site == nil || site.Gauge.Alive(now) {
		return
	}
	o.drop(now)
	if len(o.kept) < maxOpenings {
		o.kept = append(o.kept, opening{packet: packet, agent: agent, at: now, datagram: slices.Clone(datagram)})
	}
}

// drop forgets those that are too old.
func (o *openings) drop(now Stamp) {
	o.kept = slices.DeleteFunc(o.kept, func(k opening) bool { return now-k.at > openingKeep })
}

// Again is a packet that is sent once more.
type Again struct {
	Packet   Packet
	Decision Decision
	Datagram []byte
}

// Heard returns what an agent gets that is heard for the first time, or again: it
// may have started after packets were sent to it. Those are the packets of flows
// that are searched for, the opening packets that it was to get, and those that
// went to agents which are still not heard.
func (p *Picks) Heard(now Stamp, agent Address, m *Map) []Again {
	site := m.Agents[agent]
	if site == nil {
		return nil
	}
	return append(p.searchAgain(now, site, m), p.openAgain(now, site, m)...)
}

func (p *Picks) searchAgain(now Stamp, site *Site, m *Map) []Again {
	var again []Again
	for key, s := range p.searches.flows {
		route := m.Routes[key.Service]
		if route == nil || s.packet == nil || s.denied[site.Agent] || !route.leadsTo(site.Service) {
			continue
		}
		if s.wave < everyWave && !slices.Contains(s.askedBy(s.wave, key, route), site.Agent) {
			continue
		}
		if !p.searches.take(now, len(s.packet)+searchOverhead) {
			break
		}
		d := Decision{Reason: Searched, Tag: tagOf(route), All: []Address{site.Agent}}
		again = append(again, Again{Packet: Packet{Flow: key, Acknowledged: s.acknowledged}, Decision: d, Datagram: s.packet})
	}
	return again
}

func (r *Route) leadsTo(service *Service) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

func (p *Picks) openAgain(now Stamp, site *Site, m *Map) []Again {
	p.openings.drop(now)
	var again []Again
	p.openings.kept = slices.DeleteFunc(p.openings.kept, func(k opening) bool {
		known := p.flows[k.packet.Flow]
		placed := m.Agents[k.agent]
		if placed == nil || placed.Service != site.Service || known.agent != k.agent || !known.serves(placed) {
			return false
		}
		d := Decision{To: k.agent, Tag: site.Service.Tag, Reason: Repeated}
		if k.agent != site.Agent {
			d = p.place(now, k.packet, site.Service, known)
		}
		if !d.To.IsZero() {
			again = append(again, Again{Packet: k.packet, Decision: d, Datagram: k.datagram})
		}
		return true
	})
	return again
}
