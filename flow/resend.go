package flow

import (
	"slices"
	"time"
)

const (
	// openingExpiry is how long an opening packet sent to an unresponsive agent is
	// stored: after that its caller retransmits it.
	openingExpiry = 200 * time.Millisecond
	// maxOpenings bounds the stored opening packets, at 100 bytes each.
	maxOpenings = 512
)

// opening is an opening packet that was sent to an unresponsive agent.
type opening struct {
	packet   Packet
	agent    Address
	at       Timestamp
	datagram []byte
}

// openings stores recent opening packets, oldest first.
type openings struct{ list []opening }

// add stores an opening packet if its agent may not have received it.
func (o *openings) add(now Timestamp, packet Packet, agent Address, m *RoutingTable, datagram []byte) {
	site := m.Agents[agent]
	if site == nil || site.AgentLoad.Alive(now) {
		return
	}
	o.expire(now)
	if len(o.list) < maxOpenings {
		o.list = append(o.list, opening{packet: packet, agent: agent, at: now, datagram: slices.Clone(datagram)})
	}
}

// expire removes the packets that are older than openingExpiry.
func (o *openings) expire(now Timestamp) {
	o.list = slices.DeleteFunc(o.list, func(k opening) bool { return now-k.at > openingExpiry })
}

// Resend is a packet to send once more.
type Resend struct {
	Packet   Packet
	Decision Decision
	Datagram []byte
}

// AgentReported returns the packets to resend when an agent has reported for the first time, or
// again after a gap: it may have started after packets were sent to it. They are the
// packets of flows that are searched for, the stored opening packets assigned to this
// agent, and those of its service assigned to agents that are still unresponsive.
func (p *Assignments) AgentReported(now Timestamp, agent Address, m *RoutingTable) []Resend {
	site := m.Agents[agent]
	if site == nil {
		return nil
	}
	return append(p.resendSearches(now, site, m), p.resendOpenings(now, site, m)...)
}

func (p *Assignments) resendSearches(now Timestamp, site *Endpoint, m *RoutingTable) []Resend {
	var resends []Resend
	for key, s := range p.searches.flows {
		route := m.Routes[key.Service]
		if route == nil || s.packet == nil || s.denied[site.Agent] || !route.includes(site.Service) {
			continue
		}
		if s.wave < allWave && !slices.Contains(s.remainingIn(s.wave, key, route), site.Agent) {
			continue
		}
		if !p.searches.spend(now, len(s.packet)+searchOverhead) {
			break
		}
		d := Decision{Reason: Searched, Tag: routeTag(route), SearchAgents: []Address{site.Agent}}
		resends = append(resends, Resend{Packet: Packet{Flow: key, Acknowledged: s.acknowledged}, Decision: d, Datagram: s.packet})
	}
	return resends
}

func (r *Route) includes(service *Service) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

func (p *Assignments) resendOpenings(now Timestamp, site *Endpoint, m *RoutingTable) []Resend {
	p.openings.expire(now)
	var resends []Resend
	p.openings.list = slices.DeleteFunc(p.openings.list, func(k opening) bool {
		known := p.flows[k.packet.Flow]
		placed := m.Agents[k.agent]
		if placed == nil || placed.Service != site.Service || known.agent != k.agent || !known.matchesService(placed) {
			return false
		}
		d := Decision{To: k.agent, Tag: site.Service.Tag, Reason: Repeated}
		if k.agent != site.Agent {
			d = p.place(now, k.packet, site.Service, known)
		}
		if !d.To.IsZero() {
			resends = append(resends, Resend{Packet: k.packet, Decision: d, Datagram: k.datagram})
		}
		return true
	})
	return resends
}
