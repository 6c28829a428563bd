package liveness

import (
	"cactustray/steering"
	"cactustray/ticket"
)

// GoneThrough returns the last incarnation of an endpoint that has itself said
// that it ended, or 0. Silence and suspicion are no proof of an end.
func (o *Observer) GoneThrough(key ticket.EndpointKey) steering.Incarnation {
	known := o.facts[EndpointSubject(key)]
	if known.State != Gone {
		return 0
	}
	return known.Incarnation
}
