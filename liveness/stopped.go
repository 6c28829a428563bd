package liveness

import (
	"cactustray/steering"
	"cactustray/ticket"
)

// StoppedThrough returns the last incarnation of an endpoint that has itself announced
// that it stopped, or 0. Silence and suspicion do not prove that it has stopped.
func (o *Observer) StoppedThrough(key ticket.EndpointKey) steering.Incarnation {
	known := o.facts[EndpointSubject(key)]
	if known.State != Stopped {
		return 0
	}
	return known.Incarnation
}
