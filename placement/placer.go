package placement

import (
	"time"

	"cactustray/steering"
	"cactustray/ticket"
)

// Placer places the new flows of one agent: it holds to what it placed before
// and else decides by the view. One goroutine owns it.
type Placer struct{ pins *Pins }

// NewPlacer returns a placer that has placed nothing.
func NewPlacer() *Placer { return &Placer{pins: NewPins()} }

// Arrival is one datagram that opens a flow.
type Arrival struct {
	Flow steering.FlowKey
	// Home is the endpoint the flow belongs to by a newer ticket than its
	// sender's, or 0.
	Home ticket.EndpointKey
	// HandedOn tells that another agent placed the flow here.
	HandedOn bool
	// Connections is how many are open here.
	Connections uint32
	// Random picks the alternates.
	Random uint64
}

// Place decides on a datagram that opens a flow. A placement is kept while the
// alternate may take flows; one that was refused is tried again.
func (p *Placer) Place(now time.Time, v *View, a Arrival) Placement {
	placed, known := p.pins.Find(now, a.Flow)
	if known && (placed.Verdict == Accept || v.fits(now, placed.Alternate.Key)) {
		return placed
	}
	placed = decide(now, v, a)
	if placed.Verdict != Refuse {
		p.pins.Set(now, a.Flow, placed)
	}
	return placed
}

func decide(now time.Time, v *View, a Arrival) Placement {
	if a.HandedOn {
		return v.PlaceHandedOn(a.Connections)
	}
	if home, ok := v.find(now, a.Home); ok {
		return Placement{Verdict: HandOn, Alternate: home.Peer, Corrected: true}
	}
	return v.Place(now, a.Connections, a.Random)
}
