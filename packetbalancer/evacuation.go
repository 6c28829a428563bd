package packetbalancer

import (
	"time"

	"cactustray/control/clock"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/settings"
)

// loggedEvacuations has the failure domains whose evacuation was logged, and whether the directory
// had endpoints in them at that time.
type loggedEvacuations map[string]bool

// isEvacuated reports whether the endpoints of a failure domain get no new flows. Without the
// setting, orders are ignored.
func (s *state) isEvacuated(zone string) bool {
	return s.settings.Packets.HasEvacuations() && s.directory.IsEvacuated(zone)
}

// evacuatedZones returns the failure domains that are evacuated.
func (s *state) evacuatedZones() []string {
	if !s.settings.Packets.HasEvacuations() {
		return nil
	}
	return s.directory.EvacuatedZones()
}

// publishSettings publishes a routing table if changed settings say otherwise which endpoints get
// new flows. before are the settings that were in force.
func (s *state) publishSettings(now time.Duration, before *settings.PacketSettings) {
	p := s.settings.Packets
	isSame := p.EvacuateMillis == before.EvacuateMillis && p.ColdExcess == before.ColdExcess && p.ColdSlack == before.ColdSlack
	if s.directory.Known() && !isSame {
		s.publish(now)
		s.sendHellos(now)
	}
}

// settleEvacuations marks the services that have no endpoint outside of evacuated failure
// domains: their callers are refused at once.
func (b *tableBuilder) settleEvacuations() {
	for _, service := range b.services {
		service.Evacuated = service.Evacuated && len(service.Accepting) == 0
	}
}

// addStatement adds to a hello message what the directory says of the agent's endpoint, and at
// which position.
func (s *state) addStatement(hello *wire.Hello, endpoint *flow.Endpoint) {
	hello.Evacuated, hello.Position = s.isEvacuated(endpoint.Zone), s.directory.Position()
	hello.ColdLeft, hello.ColdRate = max(endpoint.ColdUntil-clock.Now(), 0), endpoint.ColdRate
}

// zoneUsage counts what a routing table has in an evacuated failure domain.
type zoneUsage struct {
	endpoints int
	// services are those without an endpoint elsewhere.
	services map[*flow.Service]bool
}

// recordEvacuations logs the evacuations that a routing table is the first to have, and those that
// have ended, and updates the metrics. An order for a failure domain without endpoints is logged
// again once the domain has some.
func (s *state) recordEvacuations(table *flow.RoutingTable) {
	zones, usage := s.evacuatedZones(), make(map[string]*zoneUsage)
	for _, zone := range zones {
		usage[zone] = &zoneUsage{services: make(map[*flow.Service]bool)}
	}
	evacuated := 0
	for _, endpoint := range table.Agents {
		if u := usage[endpoint.Zone]; u != nil && endpoint.Evacuated {
			evacuated++
			u.endpoints++
			if endpoint.Service.Evacuated {
				u.services[endpoint.Service] = true
			}
		}
	}
	s.metricValues.evacuations.Store(int64(len(zones)))
	s.metricValues.evacuated.Store(int64(evacuated))
	for _, zone := range zones {
		s.logEvacuation(zone, usage[zone])
	}
	for zone := range s.loggedEvacuations {
		if usage[zone] == nil {
			delete(s.loggedEvacuations, zone)
			s.log.Emit(EventEvacuationEnded, event.Fields{"zone": zone, "revision": s.directory.Revision()})
		}
	}
}

func (s *state) logEvacuation(zone string, usage *zoneUsage) {
	hadEndpoints, logged := s.loggedEvacuations[zone]
	hasEndpoints := usage.endpoints > 0
	if logged && (hadEndpoints || !hasEndpoints) {
		return
	}
	s.loggedEvacuations[zone] = hasEndpoints
	fields := event.Fields{"zone": zone, "revision": s.directory.Revision()}
	if !hasEndpoints {
		s.log.Emit(EventEvacuationUnknown, fields)
		return
	}
	fields["endpoints"], fields["services_without"] = usage.endpoints, len(usage.services)
	s.log.Emit(EventEvacuationBegun, fields)
}

// evacuatedFlows returns how many flows are open at endpoints of evacuated failure domains, by the
// reports of the agents that the balancer is in touch with: all of its own domain.
func (f *forwarder) evacuatedFlows() (flows int64) {
	now := clock.Now()
	for _, endpoint := range f.table.Load().Agents {
		if endpoint.Evacuated && !endpoint.Distant && endpoint.AgentLoad.Alive(now) {
			flows += endpoint.AgentLoad.Flows()
		}
	}
	return flows
}
