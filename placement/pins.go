package placement

import (
	"time"

	"cactustray/steering"
)

const (
	// pinLife is how long at least a flow's placement is remembered: as long
	// as a caller repeats the datagrams that open it.
	pinLife = 5 * time.Second
	// pinLimit bounds the flows remembered in one life.
	pinLimit = 4096
)

// Pins remember where new flows were placed, so that every datagram that opens
// one flow goes to the same endpoint. They are bounded: under a flood the
// oldest are forgotten sooner. One goroutine owns them.
type Pins struct {
	current, previous map[steering.FlowKey]Placement
	turned            time.Time
}

// NewPins returns pins that remember nothing.
func NewPins() *Pins {
	return &Pins{current: make(map[steering.FlowKey]Placement)}
}

// Find returns where a flow was placed.
func (p *Pins) Find(now time.Time, flow steering.FlowKey) (Placement, bool) {
	p.turn(now)
	if placed, ok := p.current[flow]; ok {
		return placed, true
	}
	placed, ok := p.previous[flow]
	return placed, ok
}

// Set remembers where a flow was placed.
func (p *Pins) Set(now time.Time, flow steering.FlowKey, placed Placement) {
	p.turn(now)
	p.current[flow] = placed
}

// Len returns how many placements are remembered.
func (p *Pins) Len() int { return len(p.current) + len(p.previous) }

// turn begins a new life when the current one is over or full.
func (p *Pins) turn(now time.Time) {
	age := now.Sub(p.turned)
	if age < pinLife && len(p.current) < pinLimit {
		return
	}
	p.previous = p.current
	if age >= 2*pinLife {
		p.previous = nil
	}
	p.current = make(map[steering.FlowKey]Placement)
	p.turned = now
}
