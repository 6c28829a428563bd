package flow

import (
	"slices"
	"time"
)

// evacuatedZoneExpiry is how long a balancer places no flows in a failure domain after an agent
// gave it an opening packet back because the domain is evacuated. A balancer that does not know
// the order sends an opening packet there once in this time.
const evacuatedZoneExpiry = 500 * time.Millisecond

// evacuatedZones are the failure domains whose agents know of an order to evacuate them that the
// balancer does not know, and when one of them last gave an opening packet back.
type evacuatedZones map[string]Timestamp

// record records that an agent gave an opening packet back.
func (z evacuatedZones) record(now Timestamp, agent Address, d Delivery, routing *RoutingTable) {
	if endpoint := routing.Agents[agent]; endpoint != nil && d.Evacuated {
		z[endpoint.Zone] = now
	}
}

// has reports whether an agent of the endpoint's failure domain recently gave an opening packet
// back.
func (z evacuatedZones) has(now Timestamp, endpoint *Endpoint) bool {
	at, known := z[endpoint.Zone]
	return known && now-at < evacuatedZoneExpiry
}

// hasAll reports whether a service has endpoints, all of them in evacuated failure domains.
func (z evacuatedZones) hasAll(now Timestamp, service *Service) bool {
	if service == nil || len(service.Accepting) == 0 {
		return service != nil && service.Evacuated
	}
	return !slices.ContainsFunc(service.Accepting, func(e *Endpoint) bool { return !z.has(now, e) })
}

// SetEvacuated records whether the endpoint's failure domain is evacuated: then its agent gives
// opening packets back to their balancers, which know other endpoints. It returns the opening
// packets that wait, which go back too. Copies of an opening packet that the endpoint already
// has, and the packets of open flows, are delivered.
func (t *AgentTable) SetEvacuated(evacuated bool) []AdmittedOpening {
	t.evacuated = evacuated
	if !evacuated {
		return nil
	}
	return t.returnWaiting(Evacuated)
}

// returnWaiting returns the opening packets that wait, which go back to their balancers.
func (t *AgentTable) returnWaiting(reason Reason) []AdmittedOpening {
	var returned []AdmittedOpening
	for key, r := range t.flows {
		if r.state != delayed {
			continue
		}
		v := Verdict{Action: Return, To: r.balancer, Reason: reason, Balancer: r.balancer, Hops: r.hops + 1}
		returned = append(returned, AdmittedOpening{Verdict: v, Flow: key, Datagram: r.opening})
		t.waiting.remove(key)
		t.remove(key)
	}
	return returned
}
