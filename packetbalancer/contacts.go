package packetbalancer

import (
	"time"

	"cactustray/contact"
	"cactustray/directory"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
)

// contacts is the control state of the balancer's contact with agents of other failure domains.
// Services with few endpoints have none: their agents count as if they were local.
type contacts struct {
	services map[string]*contact.Service
	hellos   contact.Hellos
	// doubtful are the agents of endpoints that the registry does not list, or may list wrongly.
	doubtful map[flow.Address]bool
	// dropped are the agents that were in touch before the last routing table.
	dropped   []flow.Address
	checkedAt time.Duration
}

// contactsInterval is the interval between two checks whether the agents in touch suffice.
const contactsInterval = 250 * time.Millisecond

// keepInTouch decides which agents of other failure domains the balancer keeps in touch with.
func (b *tableBuilder) keepInTouch(entries map[flow.Address]*directory.Entry) {
	c := &b.state.contacts
	c.doubtful = make(map[flow.Address]bool)
	for agent, e := range entries {
		if e.Doubtful(b.now) {
			c.doubtful[agent] = true
		}
	}
	for name, service := range b.services {
		if service.IsSmall() || name == introducedService {
			delete(c.services, name)
			continue
		}
		known := c.services[name]
		if known == nil {
			known = contact.NewService(b.now, b.state.settings.Zone)
			if c.services == nil {
				c.services = make(map[string]*contact.Service)
			}
			c.services[name] = known
		}
		chosen, dropped := known.Update(b.now, c.remoteAgents(b.now, service, known))
		c.dropped = append(c.dropped, dropped...)
		service.MarkDistant(func(e *flow.Endpoint) bool { return !e.Remote || chosen[e.Agent] })
	}
	for name := range c.services {
		if b.services[name] == nil {
			delete(c.services, name)
		}
	}
}

// remoteAgents returns the agents of a service in other failure domains.
func (c *contacts) remoteAgents(now time.Duration, service *flow.Service, known *contact.Service) []contact.Agent {
	var agents []contact.Agent
	for _, e := range service.Holders {
		if !e.Remote {
			continue
		}
		agents = append(agents, contact.Agent{
			Address: e.Agent, Accepts: e.Accepts, Doubtful: c.doubtful[e.Agent],
			Fails: known.Fails(now, e.Agent, e.AgentLoad.Alive(now)),
		})
	}
	return agents
}

// requested returns the interval between reports that the balancer requests of an agent, and
// whether the agent's contact is managed here: it is of another failure domain, in a service
// with many endpoints.
func (c *contacts) requested(endpoint *flow.Endpoint) (interval time.Duration, managed bool) {
	known := c.services[endpoint.Service.Name]
	if known == nil || !endpoint.Remote {
		return contact.FastInterval, false
	}
	return known.Interval(), true
}

// sendRemoteHellos sends a hello message to the agents of other failure domains that are due.
func (s *state) sendRemoteHellos(now time.Duration) {
	if len(s.contacts.services) == 0 {
		return
	}
	agents := s.traffic.table.Load().Agents
	for _, known := range s.contacts.services {
		for agent := range known.InTouch() {
			e := agents[agent]
			if e != nil && s.contacts.hellos.Due(now, agent, known.Interval(), e.AgentLoad.Interval()) {
				s.sendHello(e)
			}
		}
	}
}

// endContacts notifies agents that they are no longer in touch, so that they do not look for this
// balancer.
func (s *state) endContacts() {
	for _, agent := range s.contacts.dropped {
		s.contacts.hellos.Forget(agent)
		s.agentLoad(agent).EndContact()
		if endpoint := s.traffic.table.Load().Agents[agent]; endpoint != nil {
			s.traffic.counters.SendToNode(s.traffic.peers, wire.Encode(s.farewell(endpoint)), agent.AddrPort())
		}
	}
	s.contacts.dropped = nil
}

// farewell returns the message that ends the contact with an agent. An evacuation may be the reason,
// so it states that.
func (s *state) farewell(endpoint *flow.Endpoint) wire.Hello {
	hello := wire.Hello{Slots: endpoint.Slots, Leaving: true, Remote: true, ReportInterval: contact.SlowInterval}
	s.addStatement(&hello, endpoint)
	return hello
}

// checkContacts adapts the contact with agents of other failure domains to the room in this
// one, and publishes a routing table if other agents are in touch from now on.
func (s *state) checkContacts(now time.Duration) {
	if len(s.contacts.services) == 0 || now-s.contacts.checkedAt < contactsInterval {
		return
	}
	s.contacts.checkedAt = now
	republish := false
	for _, service := range s.traffic.table.Load().Services {
		known := s.contacts.services[service.Name]
		if known == nil {
			continue
		}
		width, interval := known.Width(), known.Interval()
		seen := observe(now, service)
		if known.Observe(now, seen) {
			s.logContact(service, known, width, interval, seen)
		}
		republish = republish || known.Differs(s.contacts.remoteAgents(now, service, known))
	}
	if republish {
		s.publish(now)
		s.sendRemoteHellos(now)
	}
}

// observe returns what the balancer sees of a service.
func observe(now time.Duration, service *flow.Service) (o contact.Observation) {
	for _, e := range service.Accepting {
		if e.Usable(now) {
			o.Usable++
		}
		free := e.HasFreeSlot(now)
		switch {
		case e.Remote && free:
			o.RemoteFree++
		case !e.Remote:
			o.LocalAccepting++
			if free {
				o.LocalFree++
			}
		}
	}
	return o
}

func (s *state) logContact(service *flow.Service, known *contact.Service, width contact.Width, interval time.Duration, seen contact.Observation) {
	fields := event.Fields{
		"service": service.Name, "local": seen.LocalAccepting, "free": seen.LocalFree, "usable": seen.Usable, "remote_free": seen.RemoteFree,
		"width": known.Width().String(), "interval_ms": known.Interval().Milliseconds(),
	}
	if known.Width() != width {
		s.log.Emit(EventContactWidth, fields)
	}
	if known.Interval() != interval {
		s.log.Emit(EventContactInterval, fields)
	}
}

// recordDomains sets for the traffic counters which nodes are in other failure domains.
func (s *state) recordDomains() {
	remote := make(map[[4]byte]bool)
	for agent, endpoint := range s.traffic.table.Load().Agents {
		if endpoint.Remote {
			remote[agent.IP] = true
		}
	}
	for peer := range s.dissemination.Zones() {
		if s.dissemination.IsRemote(peer) {
			remote[peer.Addr().As4()] = true
		}
	}
	s.traffic.counters.Domains.SetRemote(remote)
}
