package placement

import (
	"time"

	"cactustray/ticket"
)

// margin is how much less pressure an alternate must have before a flow is
// handed on: reports are old by up to one interval, so a small difference says
// nothing.
const margin = 0.25

// Verdict is what an agent does with a new flow.
type Verdict int

const (
	// Accept: the flow stays here.
	Accept Verdict = iota
	// HandOn: the flow goes to an alternate.
	HandOn
	// Refuse: the flow should not stay, but there is no alternate. An endpoint
	// that is full refuses the connection; one that leaves takes it and says
	// to each request that it was not run.
	Refuse
)

var verdictNames = [...]string{"accept", "hand_on", "refuse"}

func (v Verdict) String() string { return verdictNames[v] }

// Placement is the decision for one new flow; Alternate is set for HandOn.
type Placement struct {
	Verdict   Verdict
	Alternate Peer
	// Corrected tells that the alternate is the home by a newer ticket.
	Corrected bool
}

// View is the snapshot that new flows are placed by. It is immutable.
type View struct {
	own  PeerLoad
	fit  []PeerLoad
	made time.Time
}

// View returns the snapshot of now: the peers that may take a new flow.
func (s *State) View(now time.Time) *View {
	v := &View{own: PeerLoad{Peer: s.peer, Load: s.own}, made: now}
	for _, p := range s.Fresh(now) {
		if p.takesNew() && !p.Load.full() {
			v.fit = append(v.fit, p)
		}
	}
	return v
}

// find returns a peer that may take a new flow.
func (v *View) find(now time.Time, key ticket.EndpointKey) (PeerLoad, bool) {
	for _, p := range v.candidates(now) {
		if p.Key == key {
			return p, true
		}
	}
	return PeerLoad{}, false
}

func (v *View) fits(now time.Time, key ticket.EndpointKey) bool {
	_, found := v.find(now, key)
	return found
}

// Place decides on a new flow at its home: it stays, or goes once to the less
// loaded of two alternates. connections is how many are open here now, and
// random picks the alternates.
func (v *View) Place(now time.Time, connections uint32, random uint64) Placement {
	own := v.own
	own.Load.Connections = connections
	alternate, found := v.alternate(now, random)
	if !own.takesNew() || own.Load.full() {
		if !found {
			return Placement{Verdict: Refuse}
		}
		return Placement{Verdict: HandOn, Alternate: alternate.Peer}
	}
	if found && alternate.pressure()+margin < own.pressure() {
		return Placement{Verdict: HandOn, Alternate: alternate.Peer}
	}
	return Placement{Verdict: Accept}
}

// PlaceHandedOn decides on a flow that was handed on to this endpoint: it is
// not handed on again.
func (v *View) PlaceHandedOn(connections uint32) Placement {
	own := v.own.Load
	own.Connections = connections
	if own.Leaving || own.full() {
		return Placement{Verdict: Refuse}
	}
	return Placement{Verdict: Accept}
}

// candidates returns the peers of the view, or nobody once the view is old: a
// process that was paused knows nothing of the others.
func (v *View) candidates(now time.Time) []PeerLoad {
	if now.Sub(v.made) > FreshFor {
		return nil
	}
	return v.fit
}

func (v *View) alternate(now time.Time, random uint64) (PeerLoad, bool) {
	peers := v.candidates(now)
	if len(peers) == 0 {
		return PeerLoad{}, false
	}
	first := peers[uint32(random)%uint32(len(peers))]
	second := peers[uint32(random>>32)%uint32(len(peers))]
	if second.pressure() < first.pressure() {
		return second, true
	}
	return first, true
}
