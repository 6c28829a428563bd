package heartbeat

import (
	"net/netip"

	"cactustray/liveness"
	"cactustray/liveness/livenesspb"
	"cactustray/steering"
	"cactustray/ticket"
)

func encodeReport(r Report) *livenesspb.HeartbeatRequest {
	return &livenesspb.HeartbeatRequest{
		Service: uint64(r.Service),
		Fact:    encodeFact(r.Fact),
		Ticket:  uint64(r.Ticket),
		Paths:   r.Paths,
		Last:    r.Last,
	}
}

func decodeReport(r *livenesspb.HeartbeatRequest) Report {
	return Report{
		Service: ticket.ServiceKey(r.Service),
		Fact:    decodeFact(r.Fact),
		Ticket:  ticket.Number(r.Ticket),
		Paths:   r.Paths,
		Last:    r.Last,
	}
}

func encodeFact(f liveness.Fact) *livenesspb.Fact {
	return &livenesspb.Fact{
		Subject:     uint64(f.Subject),
		Incarnation: uint32(f.Incarnation),
		Version:     f.Version,
		State:       livenesspb.State(f.State),
		Suspected:   f.Suspected,
	}
}

func decodeFact(f *livenesspb.Fact) liveness.Fact {
	return liveness.Fact{
		Subject:     liveness.Subject(f.GetSubject()),
		Incarnation: steering.Incarnation(f.GetIncarnation()),
		Version:     f.GetVersion(),
		State:       decodeState(f.GetState()),
		Suspected:   f.GetSuspected(),
	}
}

// decodeState returns Unknown for a state that this version does not define.
func decodeState(s livenesspb.State) liveness.State {
	if _, ok := livenesspb.State_name[int32(s)]; !ok {
		return liveness.Unknown
	}
	return liveness.State(s)
}

// groupKey holds the fields that all facts of an encoded group share.
type groupKey struct {
	state     liveness.State
	suspected bool
}

// encodeGroups groups facts with the same state and suspicion, with one column for
// each other field.
func encodeGroups(facts []liveness.Fact) []*livenesspb.FactGroup {
	var groups []*livenesspb.FactGroup
	byKey := make(map[groupKey]*livenesspb.FactGroup)
	for _, f := range facts {
		key := groupKey{state: f.State, suspected: f.Suspected}
		group := byKey[key]
		if group == nil {
			group = &livenesspb.FactGroup{State: livenesspb.State(f.State), Suspected: f.Suspected}
			byKey[key] = group
			groups = append(groups, group)
		}
		group.Subjects = append(group.Subjects, uint64(f.Subject))
		group.Incarnations = append(group.Incarnations, uint32(f.Incarnation))
		group.Versions = append(group.Versions, f.Version)
	}
	return groups
}

// decodeGroups skips a group whose columns differ in length.
func decodeGroups(groups []*livenesspb.FactGroup) []liveness.Fact {
	var facts []liveness.Fact
	for _, g := range groups {
		if len(g.Incarnations) != len(g.Subjects) || len(g.Versions) != len(g.Subjects) {
			continue
		}
		for i, subject := range g.Subjects {
			facts = append(facts, liveness.Fact{
				Subject:     liveness.Subject(subject),
				Incarnation: steering.Incarnation(g.Incarnations[i]),
				Version:     g.Versions[i],
				State:       decodeState(g.State),
				Suspected:   g.Suspected,
			})
		}
	}
	return facts
}

func encodePeer(p liveness.BalancerAddresses) *livenesspb.Peer {
	return &livenesspb.Peer{Datagram: encodeAddress(p.Datagram), Control: encodeAddress(p.Control)}
}

// decodePeer returns false if an address is malformed or missing.
func decodePeer(p *livenesspb.Peer) (liveness.BalancerAddresses, bool) {
	var peer liveness.BalancerAddresses
	datagram, control := peer.Datagram.UnmarshalBinary, peer.Control.UnmarshalBinary
	ok := datagram(p.Datagram) == nil && control(p.Control) == nil
	return peer, ok && peer.Datagram.IsValid() && peer.Control.IsValid()
}

func encodeAddress(address netip.AddrPort) []byte {
	raw, _ := address.MarshalBinary() // never fails
	return raw
}
