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
}

func (p *placements) count(d flow.Decision) {
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
}

// crossing logs when flows begin and cease to leave the failure domain for lack of room. The
// control goroutine owns it.
type crossing struct {
	seen   int64
	before int64
	lastAt time.Duration
	active bool
}

// observe compares the number of flows that have left the failure domain with the one before.
func (c *crossing) observe(now time.Duration, outOfRoom int64, log *event.Log) {
	if outOfRoom > c.seen {
		if !c.active {
			c.active, c.before = true, c.seen
			log.Emit(EventCrossingBegins, event.Fields{})
		}
		c.seen, c.lastAt = outOfRoom, now
		return
	}
	if c.active && now-c.lastAt >= crossingEndsAfter {
		c.active = false
		log.Emit(EventCrossingEnds, event.Fields{"flows": c.seen - c.before})
	}
}
