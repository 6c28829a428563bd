package placement

import (
	"time"

	"cactustray/ticket"
)

// forwardMargin is how much lower an alternate's pressure must be for a flow to
// be forwarded to it. Reports are up to one interval old, so a smaller
// difference is not significant.
const forwardMargin = 0.25

// Verdict is the decision of an agent about a new flow.
type Verdict int

const (
	// Accept: the flow stays here.
	Accept Verdict = iota
	// Forward: the flow is forwarded to an alternate.
	Forward
	// Refuse: the flow should not stay, but there is no alternate. An endpoint
	// at its connection limit refuses the connection. One that is leaving
	// accepts it and answers each of its requests as not run.
	Refuse
)

var verdictNames = [...]string{"accept", "hand_on", "refuse"}

func (v Verdict) String() string { return verdictNames[v] }

// Placement is the decision for one new flow. Alternate is set only for Forward.
type Placement struct {
	Verdict   Verdict
	Alternate Peer
	// Corrected is true if the alternate is the flow's home by a newer ticket than
	// the sender's.
	Corrected bool
}

// View is an immutable snapshot of the loads, by which new flows are placed.
type View struct {
	own       PeerLoad
	eligible  []PeerLoad
	createdAt time.Time
}

// View returns a snapshot of this endpoint's load and of the peers that may get
// a new flow: those that accept new work and are below their connection limit.
func (s *State) View(now time.Time) *View {
	v := &View{own: PeerLoad{Peer: s.selfPeer, Load: s.own}, createdAt: now}
	for _, p := range s.Fresh(now) {
		if p.acceptsNew() && !p.Load.full() {
			v.eligible = append(v.eligible, p)
		}
	}
	return v
}

// find returns the peer with the key if it may get a new flow.
func (v *View) find(now time.Time, key ticket.EndpointKey) (PeerLoad, bool) {
	for _, p := range v.candidates(now) {
		if p.Key == key {
			return p, true
		}
	}
	return PeerLoad{}, false
}

// isEligible reports whether the peer with the key may get a new flow.
func (v *View) isEligible(now time.Time, key ticket.EndpointKey) bool {
	_, found := v.find(now, key)
	return found
}

// Place decides about a new flow at its home endpoint: the flow stays, or is
// forwarded to the less loaded of two random alternates. connections is the
// number of connections open here, and random selects the alternates.
func (v *View) Place(now time.Time, connections uint32, random uint64) Placement {
	own := v.own
	own.Load.Connections = connections
	alternate, found := v.alternate(now, random)
	if !own.acceptsNew() || own.Load.full() {
		if !found {
			return Placement{Verdict: Refuse}
		}
		return Placement{Verdict: Forward, Alternate: alternate.Peer}
	}
	if found && alternate.pressure()+forwardMargin < own.pressure() {
		return Placement{Verdict: Forward, Alternate: alternate.Peer}
	}
	return Placement{Verdict: Accept}
}

// PlaceForwarded decides about a flow that another agent forwarded to this
// endpoint. It is never forwarded again.
func (v *View) PlaceForwarded(connections uint32) Placement {
	own := v.own.Load
	own.Connections = connections
	if own.Leaving || own.full() {
		return Placement{Verdict: Refuse}
	}
	return Placement{Verdict: Accept}
}

// candidates returns the peers that may get a new flow. It returns none if the
// view is older than MaxLoadAge: after a pause of this process the loads in it
// are out of date.
func (v *View) candidates(now time.Time) []PeerLoad {
	if now.Sub(v.createdAt) > MaxLoadAge {
		return nil
	}
	return v.eligible
}

// alternate returns the peer with less pressure of two that random selects, if
// there is any candidate.
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
