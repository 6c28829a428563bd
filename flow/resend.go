package flow

import (
	"slices"
	"time"
)

const (
	// openingExpiry is how long the first opening packet sent to an unresponsive agent is
	// stored: after that its caller retransmits it. The caller's pause doubles with each copy.
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

// lifetime returns how long the caller waits before it sends the next copy or gives up.
func (o opening) lifetime() time.Duration { return openingExpiry << min(o.packet.Copy, lastCopy) }

// openings stores recent opening packets, oldest first.
type openings struct{ list []opening }

// add stores an opening packet if its agent may not have received it.
func (o *openings) add(now Timestamp, packet Packet, agent Address, routing *RoutingTable, datagram []byte) {
	endpoint := routing.Agents[agent]
	if endpoint == nil || endpoint.AgentLoad.Alive(now) {
		return
	}
	o.expire(now)
	if len(o.list) < maxOpenings {
		o.list = append(o.list, opening{packet: packet, agent: agent, at: now, datagram: slices.Clone(datagram)})
	}
}

// expire removes the packets whose callers have sent another copy or given up.
func (o *openings) expire(now Timestamp) {
	o.list = slices.DeleteFunc(o.list, func(stored opening) bool { return now-stored.at > stored.lifetime() })
}

// Resend is a packet to send once more.
type Resend struct {
	Packet   Packet
	Decision Decision
	Datagram []byte
}

// AgentReported returns the packets to resend when an agent has reported for the first
// time, or again after a gap: it may have started after packets were sent to it. They are
// the packets of flows that are searched for, the stored opening packets assigned to this
// agent, and those of its service assigned to agents that are still unresponsive.
func (a *Assignments) AgentReported(now Timestamp, agent Address, routing *RoutingTable) []Resend {
	endpoint := routing.Agents[agent]
	if endpoint == nil {
		return nil
	}
	return append(a.resendSearches(now, endpoint, routing), a.resendOpenings(now, endpoint, routing)...)
}

func (a *Assignments) resendSearches(now Timestamp, endpoint *Endpoint, routing *RoutingTable) []Resend {
	var resends []Resend
	for key, s := range a.searches.flows {
		route := routing.Routes[key.Service]
		if route == nil || s.packet == nil || s.denied[endpoint.Agent] || !route.includes(endpoint.Service) {
			continue
		}
		if s.wave < route.lastWave() && !slices.Contains(s.remainingIn(s.wave, key, route), endpoint.Agent) {
			continue
		}
		d := a.sendSearch(now, key, s, route, routing, []Address{endpoint.Agent})
		if d.Reason == SearchWaits {
			break // the rate of searches is used up; RetrySearches continues
		}
		if !d.searches() {
			continue
		}
		resends = append(resends, Resend{Packet: Packet{Flow: key, Acknowledged: s.acknowledged}, Decision: d, Datagram: s.packet})
	}
	return resends
}

// includes reports whether endpoints of the service may hold flows of the route.
func (r *Route) includes(service *Service) bool {
	for holder := range r.holders {
		if holder == service {
			return true
		}
	}
	return false
}

func (a *Assignments) resendOpenings(now Timestamp, endpoint *Endpoint, routing *RoutingTable) []Resend {
	a.openings.expire(now)
	var resends []Resend
	a.openings.list = slices.DeleteFunc(a.openings.list, func(stored opening) bool {
		known := a.flows[stored.packet.Flow]
		placed := routing.Agents[stored.agent]
		route := routing.Routes[stored.packet.Flow.Service]
		if route == nil || !route.mayPlace(stored.packet.Flow, endpoint.Service) {
			return false // the route has moved
		}
		if placed == nil || placed.Service != endpoint.Service || known.agent != stored.agent || !known.matchesService(placed) {
			return false
		}
		d := repeatAt(placed)
		if stored.agent != endpoint.Agent || endpoint.Evacuated {
			d = a.place(now, stored.packet, route, endpoint.Service, known)
		}
		if !d.To.IsZero() {
			resends = append(resends, Resend{Packet: stored.packet, Decision: d.withNaming(routing).withClass(now, routing, stored.packet.Flow, false), Datagram: stored.datagram})
		}
		return true
	})
	return resends
}
