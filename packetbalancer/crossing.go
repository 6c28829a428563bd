package packetbalancer

import (
	"sync/atomic"
	"time"

	"cactustray/event"
	"cactustray/flow"
	"cactustray/metrics"
)

// crossingEndsAfter is how long no flow has left the failure domain for lack of room before
// that is logged: near the border some flows leave it every few seconds.
const crossingEndsAfter = 5 * time.Second

// placements counts new flows by where they were placed.
type placements struct {
	own, crossing atomic.Int64
	// outOfRoom counts the crossing flows of routes with a known class: they stay in the
	// failure domain while it has room.
	outOfRoom atomic.Int64
	// overflow counts the flows that left the service that the weights of the route give.
	overflow atomic.Int64
}

func (p *placements) count(d flow.Decision) {
	if d.Reason == flow.Opened && d.Overflow {
		p.overflow.Add(1)
	}
	switch {
	case d.Reason != flow.Opened:
	case !d.Crosses:
		p.own.Add(1)
	default:
		p.crossing.Add(1)
		if d.Class.IsKnown() {
			p.outOfRoom.Add(1)
		}
	}
}

func (p *placements) register(registry *metrics.Registry) {
	registry.GaugeFunc("placements.own", p.own.Load)
	registry.GaugeFunc("placements.crossing", p.crossing.Load)
	registry.GaugeFunc("placements.overflow", p.overflow.Load)
}

// newCrossing returns the episode in which flows leave the failure domain for lack of room.
func newCrossing() event.Episode {
	return event.Episode{Begins: EventCrossingBegins, Ends: EventCrossingEnds, Counted: "flows", Quiet: crossingEndsAfter}
}
