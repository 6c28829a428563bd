package liveness

import (
	"cactustray/steering"
	"cactustray/ticket"
)

// GoneThrough returns the last incarnation of an endpoint that has itself announced
// that it stopped, or 0. Silence and suspicion do not prove that it has stopped.
func (o *Observer) GoneThrough(key ticket.EndpointKey) steering.Incarnation {
	known := o.facts[EndpointSubject(key)]
	if known.State != Gone {
		return 0
	}
	return known.Incarnation
}
