package placement

import (
	"time"

	"cactustray/steering"
	"cactustray/ticket"
)

// Placer places the new flows of one agent. It returns the earlier placement of a
// flow if there is one, and decides by the view otherwise. It must be used by one
// goroutine only.
type Placer struct{ cache *Cache }

// NewPlacer returns a placer without earlier placements.
func NewPlacer() *Placer { return &Placer{cache: NewCache()} }

// Arrival describes one datagram that opens a flow.
type Arrival struct {
	Flow steering.FlowKey
	// Home is the flow's home endpoint by a newer ticket than the sender's, or 0
	// if there is none.
	Home ticket.EndpointKey
	// HandedOn is true if another agent forwarded the flow here.
	HandedOn bool
	// Connections is the number of connections open at this endpoint.
	Connections uint32
	// Random selects the alternates.
	Random uint64
}

// Place decides about a datagram that opens a flow. An earlier placement holds
// as long as its alternate may get new flows. A refusal is not stored: the next
// datagram of the flow is decided anew.
func (p *Placer) Place(now time.Time, v *View, a Arrival) Placement {
	placed, known := p.cache.Find(now, a.Flow)
	if known && (placed.Verdict == Accept || v.isEligible(now, placed.Alternate.Key)) {
		return placed
	}
	placed = decide(now, v, a)
	if placed.Verdict != Refuse {
		p.cache.Set(now, a.Flow, placed)
	}
	return placed
}

// decide places a flow that has no valid earlier placement.
func decide(now time.Time, v *View, a Arrival) Placement {
	if a.HandedOn {
		return v.PlaceForwarded(a.Connections)
	}
	if home, ok := v.find(now, a.Home); ok {
		return Placement{Verdict: Forward, Alternate: home.Peer, Corrected: true}
	}
	return v.Place(now, a.Connections, a.Random)
}
