package directory

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Evacuation is the order that the endpoints of a failure domain get no new flows, or its
// end. Open flows continue.
type Evacuation struct {
	Zone string
	// Era is the source's era of ModRevision; 0 stands for the era of the update.
	Era Era
	// ModRevision is the source's revision of the order, or of its end.
	ModRevision Revision
	Ended       bool
}

// maxEndedEvacuations limits how many ended orders are retained, at some 50 bytes each. Orders in
// force are not limited.
const maxEndedEvacuations = 256

// evacuation is what is known of the order for one failure domain.
type evacuation struct {
	// position is when the order was written, or ended.
	position Position
	ended    bool
	// written is the revision of the order, if it has ended and this balancer knew it before.
	written Revision
}

// evacuations are the orders to evacuate failure domains, in force or ended, by domain.
//
// Invariant: of all that this balancer was told of a domain, it has what the source has
// confirmed last, by era and revision.
type evacuations map[string]evacuation

// merge adds the orders of an update.
func (all evacuations) merge(c Change) {
	for _, e := range c.Evacuations {
		all.put(c, e)
	}
	all.forgetEnded()
}

// put adds an order or its end, unless a later one is known.
func (all evacuations) put(c Change, e Evacuation) {
	position := Position{Era: cmp.Or(e.Era, c.Era), Revision: e.ModRevision}
	existing, known := all[e.Zone]
	switch {
	case known && !existing.precedes(position, e.Ended):
	case known && existing.isCopied(c, e):
		// The end is confirmed in the new era, so that balancers which know only the copy
		// accept it.
		existing.position = c.Position()
		all[e.Zone] = existing
	case e.Ended && known && !existing.ended:
		all[e.Zone] = evacuation{position: position, ended: true, written: existing.position.Revision}
	case e.Ended && known:
		all[e.Zone] = evacuation{position: position, ended: true, written: existing.written}
	default:
		all[e.Zone] = evacuation{position: position, ended: e.Ended}
	}
}

// precedes reports whether an order, or its end, at a position replaces what is known. An end at the
// position of an order follows it: the source's position was taken before the end.
func (known evacuation) precedes(position Position, ended bool) bool {
	order := position.Compare(known.position)
	return order > 0 || order == 0 && ended && !known.ended
}

// isCopied reports whether an update from a restored source lists an order that had ended in an
// earlier era: the source was copied while it was in force. A copied key has its former revision. An
// order that is written in the new era at that very revision is taken for a copy; heartbeats raise
// the revision by dozens in a second, so that this is rare.
func (known evacuation) isCopied(c Change, e Evacuation) bool {
	return c.Snapshot && c.fromSource() && known.ended && !e.Ended && c.Era > known.position.Era && e.ModRevision == known.written
}

// fromSource reports whether the update was read from the source: other balancers send a
// digest, and how long they have known their desired state.
func (c Change) fromSource() bool { return c.Digest == 0 && c.RouteHistory == 0 }

// endMissing ends the orders that a full snapshot of the source lacks. One of an earlier era may
// be missing because the source was restored, and stays in force. Other balancers list every
// order they know, and older builds none, so that nothing follows from a missing one.
func (all evacuations) endMissing(c Change) {
	if !c.Snapshot || !c.fromSource() {
		return
	}
	listed := make(map[string]bool, len(c.Evacuations))
	for _, e := range c.Evacuations {
		listed[e.Zone] = true
	}
	for zone, e := range all {
		if !e.ended && !listed[zone] && e.position.Era == c.Era && e.position.Revision <= c.Revision {
			all[zone] = evacuation{position: c.Position(), ended: true, written: e.position.Revision}
		}
	}
}

// forgetEnded removes the ended orders beyond maxEndedEvacuations, the oldest first.
func (all evacuations) forgetEnded() {
	if len(all) <= maxEndedEvacuations {
		return
	}
	var ended []string
	for zone, e := range all {
		if e.ended {
			ended = append(ended, zone)
		}
	}
	slices.SortFunc(ended, func(a, b string) int {
		return cmp.Or(all[a].position.Compare(all[b].position), cmp.Compare(a, b))
	})
	for _, zone := range ended[:max(len(ended)-maxEndedEvacuations, 0)] {
		delete(all, zone)
	}
}

// digest combines the digests of the orders in force, independently of their order. It is 0
// without any, so that the state's digest is that of builds without evacuations.
func (all evacuations) digest() (digest uint64) {
	for zone, e := range all {
		if !e.ended {
			h := xxhash.New()
			hashText(h, "evacuation")
			hashText(h, zone)
			digest ^= h.Sum64()
		}
	}
	return digest
}

// messages returns the orders as they are sent to other balancers. They are few, so every update
// has all of them.
func (all evacuations) messages() []Evacuation {
	var messages []Evacuation
	for _, zone := range slices.Sorted(maps.Keys(all)) {
		e := all[zone]
		messages = append(messages, Evacuation{Zone: zone, Era: e.position.Era, ModRevision: e.position.Revision, Ended: e.ended})
	}
	return messages
}

// IsEvacuated reports whether an order to evacuate the failure domain is in force.
func (s *State) IsEvacuated(zone string) bool {
	e, known := s.evacuations[zone]
	return known && !e.ended
}

// EvacuatedZones returns the failure domains with an order in force, sorted.
func (s *State) EvacuatedZones() []string {
	var zones []string
	for zone, e := range s.evacuations {
		if !e.ended {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
