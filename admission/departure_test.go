package admission

import (
	"testing"
	"time"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

var departureMembers = membersOf([]ticket.EndpointKey{1, 2, 3, 4})

// tableAt returns the table of an agent that is no longer fresh at now.
func tableAt(now time.Time, self ticket.EndpointKey) *KeyTable {
	k := NewKeyTable(now.Add(-2*DedupWindow), self)
	k.SetMembers(now, departureMembers)
	return k
}

// ownedBy returns a key that an endpoint owns, and its owner without that endpoint.
func ownedBy(owner ticket.EndpointKey) (key Key, next ticket.EndpointKey) {
	for key = "a"; ; key += "a" {
		if first, _ := KeyOwner(key, departureMembers.Owners); first == owner {
			next, _ = KeyOwner(key, Without(departureMembers.Owners, []ticket.EndpointKey{owner}))
			return key, next
		}
	}
}

// depart hands the records of one table over to another.
func depart(now time.Time, from, to *KeyTable) (complete bool) {
	from.Depart()
	handOver := from.HandOver(now)
	d := Departure{Endpoint: from.self, ID: 1, Fresh: handOver.Fresh}
	last := d
	last.Complete = true
	begun := to.ReceiveDeparture(now, d)
	for _, r := range handOver.Records {
		d.Records = append(d.Records, handOver.For(to.self, r))
	}
	return begun && to.ReceiveDeparture(now, d) && to.ReceiveDeparture(now, last)
}

// The answer of an agent that has stopped as planned is replayed by the key's next owner; a
// key whose answer was not known, or that another agent owned, does not run again.
func TestHandedOverKeyDoesNotRunAgain(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(leaver *KeyTable, key Key)
		want    ClaimVerdict
	}{
		"answered": {func(leaver *KeyTable, key Key) { leaver.RecordOutcome(start, key, testAnswer("confirmed")) }, Replay},
		"unknown":  {func(leaver *KeyTable, key Key) { leaver.RecordOutcome(start, key, nil) }, Uncertain},
		"running":  {func(*KeyTable, Key) {}, Uncertain},
		"not run":  {func(leaver *KeyTable, key Key) { leaver.RecordNotRun(start, key) }, Run},
	} {
		t.Run(name, func(t *testing.T) {
			key, next := ownedBy(1)
			leaver, successor, other := tableAt(start, 1), tableAt(start, next), tableAt(start, 2+(next-1)%3)
			must.EqOp(t, Run, leaver.Claim(start, key, 7, nil).Verdict)
			c.prepare(leaver, key)
			must.True(t, depart(start, leaver, successor))
			must.EqOp(t, c.want, successor.Claim(start, key, 7, nil).Verdict)
			must.True(t, depart(start, leaver, other))
			if c.want != Run {
				must.EqOp(t, Uncertain, other.Claim(start, key, 7, nil).Verdict)
			}
		})
	}
}

// An agent that stops leaves keys without an outcome to others, and answers for the rest.
func TestStoppingAgentClaimsNoNewKey(t *testing.T) {
	leaver := tableAt(start, 1)
	must.EqOp(t, Run, leaver.Claim(start, "ran", 1, nil).Verdict)
	leaver.RecordOutcome(start, "ran", testAnswer("confirmed"))
	leaver.Depart()
	must.EqOp(t, Replay, leaver.Claim(start, "ran", 1, nil).Verdict)
	must.EqOp(t, Moved, leaver.Claim(start, "new", 1, nil).Verdict)
}

// The agent that a stopping one leaves a key to queries that one before the key runs.
func TestKeyLeftByStoppingAgentIsQueriedThere(t *testing.T) {
	key, next := ownedBy(1)
	claim := tableAt(start, next).Claim(start, key, 1, []ticket.EndpointKey{1})
	must.EqOp(t, QueryPeers, claim.Verdict)
	must.Eq(t, []ticket.EndpointKey{1}, claim.Peers)
}

// A departed endpoint owns no keys for departedLifetime from the first message on, and a
// last message that comes later, when the agent may be back, is refused.
func TestDepartureEndsBeforeAgentMayRunKeysUnqueried(t *testing.T) {
	successor := tableAt(start, 2)
	must.True(t, depart(start, tableAt(start, 1), successor))
	must.Eq(t, []ticket.EndpointKey{1}, successor.Departed(start.Add(departedLifetime-1)))
	must.SliceEmpty(t, successor.Departed(start.Add(departedLifetime)))

	late := tableAt(start, 2)
	must.False(t, late.ReceiveDeparture(start, Departure{Endpoint: 1, ID: 1, Complete: true}))
	must.True(t, late.ReceiveDeparture(start, Departure{Endpoint: 1, ID: 1}))
	must.False(t, late.ReceiveDeparture(start.Add(departedLifetime), Departure{Endpoint: 1, ID: 1, Complete: true}))
	must.SliceEmpty(t, late.Departed(start.Add(departedLifetime)))
}

// An agent that may lack records itself does not vouch for its keys: all others are queried.
func TestKeyOfFreshDepartedAgentIsQueriedEverywhere(t *testing.T) {
	key, next := ownedBy(1)
	fresh := NewKeyTable(start, 1)
	fresh.SetMembers(start, departureMembers)
	successor := tableAt(start, next)
	must.True(t, depart(start, fresh, successor))
	must.Eq(t, Without(departureMembers.All, []ticket.EndpointKey{1, next}), successor.Claim(start, key, 1, nil).Peers)
}

// Two agents that stop at the same time do not take each other's records over: they would be
// lost with the second one.
func TestStoppingAgentRefusesRecords(t *testing.T) {
	leaver, other := tableAt(start, 1), tableAt(start, 2)
	other.Depart()
	must.False(t, depart(start, leaver, other))
}
