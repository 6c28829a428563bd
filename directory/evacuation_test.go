package directory

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// orderedIn returns a state at revision 12 of the first era, with an order for domain b.
func orderedIn(t *testing.T) *State {
	s := NewState()
	change := restoredAt(time.Second, 12)
	change.Era, change.Evacuations = 1, []Evacuation{{Zone: "b", ModRevision: 9}}
	_, ok := s.Apply(time.Second, change)
	must.True(t, ok)
	must.True(t, s.IsEvacuated("b"))
	return s
}

func orderIncrement(era Era, after, revision Revision, orders ...Evacuation) Change {
	return Change{Era: era, After: after, Revision: revision, AsOf: time.Second, Evacuations: orders}
}

// An order is in force from its write to its deletion, also if it is withdrawn and written again;
// the order for one failure domain says nothing about others.
func TestEvacuationBeginsAndEnds(t *testing.T) {
	s := NewState()
	must.False(t, s.IsEvacuated("b"))
	s.Apply(time.Second, Change{Era: 1, Revision: 10, Snapshot: true, AsOf: time.Second})
	before := s.Digest()
	changed, _ := s.Apply(time.Second, orderIncrement(1, 10, 11, Evacuation{Zone: "b", ModRevision: 11}))
	must.True(t, changed)
	must.True(t, s.IsEvacuated("b"))
	must.False(t, s.IsEvacuated("a"))
	s.Apply(time.Second, orderIncrement(1, 11, 12, Evacuation{Zone: "c", ModRevision: 12}))
	must.Eq(t, []string{"b", "c"}, s.EvacuatedZones())
	changed, _ = s.Apply(time.Second, orderIncrement(1, 12, 14, Evacuation{Zone: "b", ModRevision: 13, Ended: true}, Evacuation{Zone: "b", ModRevision: 14}))
	must.False(t, changed, must.Sprint("withdrawn and written again between two reads"))
	must.True(t, s.IsEvacuated("b"))
	changed, _ = s.Apply(time.Second, orderIncrement(1, 14, 16, Evacuation{Zone: "b", ModRevision: 15, Ended: true}, Evacuation{Zone: "c", ModRevision: 16, Ended: true}))
	must.True(t, changed)
	must.SliceEmpty(t, s.EvacuatedZones())
	must.EqOp(t, before, s.Digest())
}

// An update that is older than the directory reverts neither a later order nor its end.
func TestOlderUpdateRevertsNoEvacuation(t *testing.T) {
	s := orderedIn(t)
	older := restoredAt(time.Second, 8)
	older.Era = 1
	changed, _ := s.Apply(time.Second, older)
	must.False(t, changed)
	must.True(t, s.IsEvacuated("b"), must.Sprint("missing in an older snapshot"))
	s.Apply(time.Second, orderIncrement(1, 6, 8, Evacuation{Zone: "b", ModRevision: 8, Ended: true}))
	must.True(t, s.IsEvacuated("b"), must.Sprint("the end of an earlier order"))
	s.Apply(time.Second, orderIncrement(1, 12, 13, Evacuation{Zone: "b", ModRevision: 13, Ended: true}))
	s.Apply(time.Second, orderIncrement(1, 8, 12, Evacuation{Zone: "b", ModRevision: 9}))
	must.False(t, s.IsEvacuated("b"), must.Sprint("an order that has ended"))
}

// A full snapshot of the source without an order ends it: the source no longer had the changes.
// One of another balancer does not, since older builds send no orders.
func TestSnapshotWithoutOrderEndsIt(t *testing.T) {
	s := orderedIn(t)
	later := restoredAt(time.Second, 14)
	later.Era, later.Digest, later.RouteHistory = 1, 7, time.Minute
	s.Apply(time.Second, later)
	must.True(t, s.IsEvacuated("b"))
	later.Digest, later.RouteHistory, later.Revision = 0, 0, 15
	s.Apply(time.Second, later)
	must.False(t, s.IsEvacuated("b"))
	// A snapshot whose first page was read before the order was written says nothing about it.
	s = orderedIn(t)
	s.Apply(time.Second, orderIncrement(1, 12, 20, Evacuation{Zone: "b", ModRevision: 18}))
	later.Revision = 20
	s.evacuations["b"] = evacuation{position: Position{Era: 1, Revision: 21}}
	s.Apply(time.Second, later)
	must.True(t, s.IsEvacuated("b"))
}

// A source that was restored from a copy without the order ends nothing; a write or a deletion in
// the new era does.
func TestRestoredSourceEndsNoEvacuation(t *testing.T) {
	for name, withdraw := range map[string]Evacuation{
		"deleted": {Zone: "b", ModRevision: 9, Ended: true}, "deleted later": {Zone: "b", ModRevision: 30, Ended: true},
	} {
		s := orderedIn(t)
		s.Apply(2*time.Second, restoredAt(2*time.Second, 7))
		must.True(t, s.IsEvacuated("b"))
		s.Apply(2*time.Second, restoredAt(2*time.Second, 8))
		must.True(t, s.IsEvacuated("b"), must.Sprint("the second snapshot of the era lacks it too"))
		withdraw.Era = 2
		changed, ok := s.Apply(3*time.Second, orderIncrement(2, 8, 30, withdraw))
		must.True(t, ok, must.Sprint(name))
		must.True(t, changed)
		must.False(t, s.IsEvacuated("b"))
		// Updates of the earlier era do not bring it back.
		s.Apply(3*time.Second, orderIncrement(1, 9, 13, Evacuation{Zone: "b", ModRevision: 13}))
		must.False(t, s.IsEvacuated("b"))
	}
}

// A source that was restored from a copy made while the order was in force lists it again,
// although it was withdrawn. It stays withdrawn, also at balancers that know only the copy.
func TestCopyOfAWithdrawnOrderCountsForNothing(t *testing.T) {
	s := orderedIn(t)
	s.Apply(time.Second, orderIncrement(1, 12, 13, Evacuation{Zone: "b", ModRevision: 13, Ended: true}))
	restored := restoredAt(2*time.Second, 11)
	restored.Evacuations = []Evacuation{{Zone: "b", ModRevision: 9}}
	s.Apply(2*time.Second, restored)
	must.False(t, s.IsEvacuated("b"))
	fresh := NewState()
	fresh.Apply(2*time.Second, restored)
	must.True(t, fresh.IsEvacuated("b"))
	fresh.Apply(2*time.Second, s.ChangesFor(2*time.Second, Request{}))
	must.False(t, fresh.IsEvacuated("b"))
	must.EqOp(t, s.Digest(), fresh.Digest())
	// An order that is written in the new era is in force.
	s.Apply(3*time.Second, orderIncrement(2, 11, 12, Evacuation{Zone: "b", ModRevision: 12}))
	must.True(t, s.IsEvacuated("b"))
}

// A balancer that starts with a restored source gets the orders that the source has lost from
// another balancer.
func TestStartedBalancerGetsLostOrders(t *testing.T) {
	s := orderedIn(t)
	s.Apply(2*time.Second, restoredAt(2*time.Second, 7))
	started := NewState()
	started.Apply(2*time.Second, restoredAt(2*time.Second, 7))
	must.False(t, started.Confirm(s.Position(), s.Digest(), 2*time.Second))
	request := Request{Position: started.Position(), Version: started.Desired().Version}
	changed, ok := started.Apply(2*time.Second, s.ChangesFor(2*time.Second, request))
	must.True(t, ok)
	must.True(t, changed)
	must.True(t, started.IsEvacuated("b"))
	must.EqOp(t, s.Digest(), started.Digest())
}

// Names of failure domains that come and go do not accumulate.
func TestEndedOrdersAreBounded(t *testing.T) {
	s := orderedIn(t)
	for i := range 2 * maxEndedEvacuations {
		at := Revision(13 + i)
		s.Apply(time.Second, orderIncrement(1, at-1, at, Evacuation{Zone: fmt.Sprint("z", i), ModRevision: at, Ended: true}))
	}
	must.LessEq(t, maxEndedEvacuations+1, len(s.evacuations))
	must.True(t, s.IsEvacuated("b"))
}

// orderedSource is a source of orders that can be restored from a copy.
type orderedSource struct {
	position Position
	orders   map[string]Revision
	log      []Change
}

func (s *orderedSource) read(at Position) Change {
	if at.Era != s.position.Era || at.Revision == 0 {
		c := Change{Era: s.position.Era, Revision: s.position.Revision, Snapshot: true}
		for zone, revision := range s.orders {
			c.Evacuations = append(c.Evacuations, Evacuation{Zone: zone, ModRevision: revision})
		}
		return c
	}
	c := Change{Era: s.position.Era, After: at.Revision, Revision: s.position.Revision}
	for _, one := range s.log {
		if one.Era == s.position.Era && one.Revision > at.Revision {
			c.Evacuations = append(c.Evacuations, one.Evacuations...)
		}
	}
	return c
}

// Whatever balancers read and send each other, and in whatever order: once all have read the
// source and have exchanged what they know, they have the same orders in force; without restores,
// those of the source.
func TestBalancersAgreeOnEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := &orderedSource{position: Position{Era: 1, Revision: 1}, orders: make(map[string]Revision)}
		balancers := []*State{NewState(), NewState(), NewState()}
		var sent []Change
		restores := 0
		zone := rapid.SampledFrom([]string{"a", "b"})
		which := rapid.IntRange(0, len(balancers)-1)
		write := func(ended bool) {
			source.position.Revision++
			e := Evacuation{Zone: zone.Draw(t, "zone"), ModRevision: source.position.Revision, Ended: ended}
			source.orders[e.Zone] = e.ModRevision
			if ended {
				delete(source.orders, e.Zone)
			}
			source.log = append(source.log, Change{Era: source.position.Era, Revision: e.ModRevision, Evacuations: []Evacuation{e}})
		}
		exchange := func(from, to *State) {
			if from.Known() {
				to.Apply(time.Second, from.ChangesFor(time.Second, Request{Position: to.Position()}))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"order":    func(*rapid.T) { write(false) },
			"withdraw": func(*rapid.T) { write(true) },
			"read": func(*rapid.T) {
				b := balancers[which.Draw(t, "balancer")]
				b.Apply(time.Second, source.read(b.Position()))
			},
			"fetch": func(*rapid.T) { exchange(balancers[which.Draw(t, "from")], balancers[which.Draw(t, "to")]) },
			"send": func(*rapid.T) {
				if b := balancers[which.Draw(t, "balancer")]; b.Known() {
					sent = append(sent, b.ChangesFor(time.Second, Request{}))
				}
			},
			"deliver": func(*rapid.T) {
				if len(sent) > 0 {
					balancers[which.Draw(t, "balancer")].Apply(time.Second, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "message")])
				}
			},
			"start": func(*rapid.T) { balancers[which.Draw(t, "balancer")] = NewState() },
			"restore": func(*rapid.T) {
				restores++
				source.position = Position{Era: source.position.Era + 1, Revision: max(source.position.Revision/2, 1)}
				for zone, revision := range source.orders {
					if revision > source.position.Revision {
						delete(source.orders, zone)
					}
				}
			},
		})
		for _, b := range balancers {
			b.Apply(time.Second, source.read(b.Position()))
		}
		for range 2 {
			for _, from := range balancers {
				for _, to := range balancers {
					exchange(from, to)
				}
			}
		}
		for _, b := range balancers[1:] {
			if fmt.Sprint(b.EvacuatedZones()) != fmt.Sprint(balancers[0].EvacuatedZones()) || b.Digest() != balancers[0].Digest() {
				t.Fatalf("%v, %v", b.EvacuatedZones(), balancers[0].EvacuatedZones())
			}
		}
		if restores > 0 {
			return
		}
		for _, zone := range []string{"a", "b"} {
			if _, ordered := source.orders[zone]; ordered != balancers[0].IsEvacuated(zone) {
				t.Fatalf("%s: ordered %v", zone, ordered)
			}
		}
	})
}

// A balancer of an older build sent the desired state in force without the classes of its routes, and
// the receiver had none until the next version.
func TestDesiredStateOfOlderBuildTakesNoClasses(t *testing.T) {
	const now = time.Minute
	route := Route{Name: "r", Address: netip.MustParseAddrPort("10.9.0.1:80"), Shares: []Share{{Service: "orders", Weight: 1}}}
	older := Desired{Version: 3, Era: 1, ModRevision: 5, Routes: []Route{route}}
	route.Class = &Class{Goal: time.Second, Limit: 2 * time.Second}
	s := NewState()
	s.Apply(now, Change{Era: 1, Revision: 9, Snapshot: true, AsOf: now, Desired: &Desired{Version: 3, Era: 1, ModRevision: 5, Routes: []Route{route}}})
	s.Apply(now, Change{Era: 1, Revision: 10, Snapshot: true, AsOf: now, Desired: &older, Digest: 7, RouteHistory: time.Second})
	must.NotNil(t, s.Desired().Routes[0].Class)
}
