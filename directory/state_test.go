package directory

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func endpointAt(id string, modRevision Revision) Endpoint {
	return Endpoint{ID: id, Incarnation: 1, Service: "orders", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2, ModRevision: modRevision}
}

func known(t *testing.T, endpoints ...Endpoint) *State {
	s := NewState()
	_, ok := s.Apply(time.Second, Change{Revision: 10, Snapshot: true, AsOf: time.Second, Desired: &Desired{Version: 1, ModRevision: 1}, Endpoints: endpoints})
	must.True(t, ok)
	return s
}

func TestApplyRefusesChangeAfterGap(t *testing.T) {
	s := NewState()
	_, ok := s.Apply(0, Change{Revision: 11, After: 10})
	must.False(t, ok)
	s = known(t)
	_, ok = s.Apply(0, Change{Revision: 13, After: 12})
	must.False(t, ok)
	must.EqOp(t, 10, s.Revision())
	_, ok = s.Apply(0, Change{Revision: 13, After: 9})
	must.True(t, ok)
}

func TestRevisionNeverDecreases(t *testing.T) {
	s := known(t, endpointAt("i", 5))
	draining := endpointAt("i", 12)
	draining.Draining = true
	changed, _ := s.Apply(2*time.Second, Change{Revision: 12, After: 10, AsOf: 2 * time.Second, Desired: &Desired{Version: 4, ModRevision: 11}, Endpoints: []Endpoint{draining}})
	must.True(t, changed)
	changed, ok := s.Apply(3*time.Second, Change{Revision: 11, Snapshot: true, AsOf: 3 * time.Second, Desired: &Desired{Version: 1, ModRevision: 1}, Endpoints: []Endpoint{endpointAt("i", 5)}})
	must.True(t, ok)
	must.False(t, changed)
	must.EqOp(t, 4, s.Desired().Version)
	s.Each(func(e *Entry) { must.True(t, e.Draining) })
}

func TestHeartbeatsChangeNothing(t *testing.T) {
	s := known(t, endpointAt("i", 5))
	changed, _ := s.Apply(2*time.Second, Change{Revision: 12, After: 10, Endpoints: []Endpoint{endpointAt("i", 12)}})
	must.False(t, changed)
	must.EqOp(t, 12, s.Revision())
}

func TestNewIncarnationWithSameID(t *testing.T) {
	s := known(t, endpointAt("i", 5))
	next := endpointAt("i", 12)
	next.Incarnation, next.WarmUpTime = 2, 2*time.Second
	changed, _ := s.Apply(5*time.Second, Change{Revision: 12, After: 10, Endpoints: []Endpoint{next}})
	must.True(t, changed)
	s.Each(func(e *Entry) {
		must.EqOp(t, 5*time.Second, e.FirstSeen)
		must.EqOp(t, 7*time.Second, e.WarmAt)
	})
}

// A deleted entry, draining or not, does not prove that its endpoint has
// stopped: as long as the entry may be registered again, the reports of the
// agent decide.
func TestDeletedEndpointStaysUsableWhileReportedAlive(t *testing.T) {
	const deletedAt = 2 * time.Second
	deleteEntry := func(outage bool, draining bool) *Entry {
		first := endpointAt("i", 5)
		first.Draining = draining
		s := known(t, first)
		asOf := deletedAt
		now := deletedAt
		if outage {
			asOf, now = 20*time.Second, 20*time.Second
		}
		s.Apply(now, Change{Revision: 12, After: 10, AsOf: asOf, Deleted: []Deleted{{ID: "i", ModRevision: 11}}})
		var entry *Entry
		s.Each(func(e *Entry) { entry = e })
		return entry
	}
	withoutOutage := deleteEntry(false, false)
	must.False(t, withoutOutage.AcceptsNew(deletedAt+time.Millisecond, false))
	must.True(t, withoutOutage.AcceptsNew(deletedAt+vanishedRetention/2, true))
	must.False(t, withoutOutage.AcceptsNew(deletedAt+vanishedRetention, true))
	must.True(t, withoutOutage.MayHoldFlows(deletedAt, deletedAt, 0, false))
	must.False(t, withoutOutage.MayHoldFlows(deletedAt, deletedAt, 0, true))
	afterOutage := deleteEntry(true, false)
	must.True(t, afterOutage.AcceptsNew(20*time.Second+lapsedRetention-1, true))
	must.False(t, afterOutage.AcceptsNew(20*time.Second+lapsedRetention, true))
	must.False(t, deleteEntry(true, true).AcceptsNew(20*time.Second, true))
}

func TestConfirm(t *testing.T) {
	s := known(t, endpointAt("i", 5))
	must.True(t, s.Confirm(Position{Revision: 15}, s.Digest(), 4*time.Second))
	must.EqOp(t, 15, s.Revision())
	must.EqOp(t, 4*time.Second, s.AsOf())
	must.False(t, s.Confirm(Position{Revision: 16}, s.Digest()+1, 5*time.Second))
	must.EqOp(t, 4*time.Second, s.AsOf())
	must.True(t, s.Confirm(Position{Revision: 3}, 7, 9*time.Second)) // older than the current revision
	must.EqOp(t, 4*time.Second, s.AsOf())
	must.False(t, NewState().Confirm(Position{Revision: 1}, 0, 0))
}

// Balancers with the same revision have the same content, whether they received
// it as overlapping or repeated increments or as a full snapshot from another
// balancer.
func TestSameRevisionHasSameContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		a, b := NewState(), NewState()
		for _, s := range []*State{a, b} {
			follow(t, s, history)
		}
		if a.Digest() != b.Digest() || a.Revision() != b.Revision() {
			t.Fatalf("revisions and digests differ: %d %x, %d %x", a.Revision(), a.Digest(), b.Revision(), b.Digest())
		}
		c := NewState()
		c.Apply(time.Second, b.Snapshot(time.Second))
		if c.Digest() != a.Digest() {
			t.Fatalf("snapshot has digest %x, want %x", c.Digest(), a.Digest())
		}
		// A balancer that stopped following earlier gets only what it lacks.
		lagging := NewState()
		follow(t, lagging, history[:rapid.IntRange(1, len(history)).Draw(t, "lagging")])
		request := Request{Position: lagging.Position(), Version: lagging.Desired().Version}
		changes := a.ChangesFor(time.Second, request)
		if _, ok := lagging.Apply(time.Second, changes); !ok || lagging.Digest() != a.Digest() {
			t.Fatalf("revision %d becomes %d by %+v, with digest %x, want %x", request.Revision, lagging.Revision(), changes, lagging.Digest(), a.Digest())
		}
	})
}

// shuffled randomizes the order of the entries within one change, which has no
// meaning.
var shuffled = rand.New(rand.NewPCG(1, 1))

// event is one change of the source: an entry written or deleted.
type event struct {
	endpoint Endpoint
	deleted  bool
}

func drawHistory(t *rapid.T) []event {
	var history []event
	for i := range rapid.IntRange(1, 30).Draw(t, "events") {
		e := endpointAt(rapid.SampledFrom([]string{"i", "j", "k"}).Draw(t, "id"), Revision(i+1))
		e.Draining = rapid.Bool().Draw(t, "draining")
		history = append(history, event{endpoint: e, deleted: rapid.IntRange(0, 2).Draw(t, "deleted") == 0})
	}
	return history
}

// follow brings a state to the end of a history by random loads and watches.
func follow(t *rapid.T, s *State, history []event) {
	end := Revision(len(history))
	for s.Revision() < end {
		to := min(end, s.Revision()+Revision(rapid.IntRange(1, 10).Draw(t, "to")))
		if !s.Known() || rapid.IntRange(0, 3).Draw(t, "load") == 0 {
			s.Apply(time.Second, snapshotAt(history, to))
			continue
		}
		after := s.Revision() - min(s.Revision(), Revision(rapid.IntRange(0, 4).Draw(t, "overlap")))
		s.Apply(time.Second, changesBetween(history, after, to))
	}
}

func snapshotAt(history []event, to Revision) Change {
	c := Change{Revision: to, Snapshot: true, Desired: new(Desired)}
	latest := make(map[string]event)
	for _, e := range history[:to] {
		latest[e.endpoint.ID] = e
	}
	for _, e := range latest {
		if !e.deleted {
			c.Endpoints = append(c.Endpoints, e.endpoint)
		}
	}
	return c
}

func changesBetween(history []event, after, to Revision) Change {
	c := Change{After: after, Revision: to}
	for _, e := range history[after:to] {
		if e.deleted {
			c.Deleted = append(c.Deleted, Deleted{ID: e.endpoint.ID, ModRevision: e.endpoint.ModRevision})
		} else {
			c.Endpoints = append(c.Endpoints, e.endpoint)
		}
	}
	shuffled.Shuffle(len(c.Endpoints), func(i, j int) { c.Endpoints[i], c.Endpoints[j] = c.Endpoints[j], c.Endpoints[i] })
	return c
}

// A starting balancer receives endpoints that are no longer registered from
// another balancer: they get no new flows, and may hold open ones until the
// longest lifetime of a flow has passed.
func TestSnapshotIncludesDepartedEndpoints(t *testing.T) {
	running := known(t, endpointAt("i", 5), endpointAt("j", 6))
	deletedAt := 20 * time.Second
	running.Apply(deletedAt, Change{Revision: 12, After: 10, AsOf: deletedAt, Deleted: []Deleted{{ID: "i", ModRevision: 12}}})
	now := deletedAt + time.Minute/2
	fresh := known(t, endpointAt("j", 6))
	changed, ok := fresh.Apply(now, running.Snapshot(now))
	must.True(t, changed)
	must.True(t, ok)
	departed := fresh.entries["i"]
	must.False(t, departed.AcceptsNew(now, true))
	must.True(t, departed.MayHoldFlows(0, 0, 0, false))
	must.EqOp(t, running.Digest(), fresh.Digest())
	changed, _ = fresh.Apply(now, running.Snapshot(now))
	must.False(t, changed)
	fresh.RemoveExpired(deletedAt+time.Minute+1, time.Minute)
	must.Nil(t, fresh.entries["i"], must.Sprint("the age is transferred, so that the entry expires"))
}

// Departed endpoints are also accepted from a balancer with an older revision.
func TestDepartedEndpointsFromOutdatedBalancer(t *testing.T) {
	s := known(t)
	changed, ok := s.Apply(time.Second, Change{Revision: 3, Snapshot: true, Departed: []Departed{{Endpoint: endpointAt("i", 2), Age: time.Second}}})
	must.True(t, changed)
	must.True(t, ok)
	must.EqOp(t, 10, s.Revision())
}

// A change of one entry is sent to other balancers alone, without the desired state and the
// entries that only wrote heartbeats.
func TestBalancersSendOnlyChanges(t *testing.T) {
	s := known(t, endpointAt("i", 5), endpointAt("j", 6), endpointAt("k", 7))
	s.Apply(2*time.Second, Change{Revision: 14, After: 10, Endpoints: []Endpoint{endpointAt("i", 12), endpointAt("j", 13)}})
	draining := endpointAt("j", 15)
	draining.Draining = true
	s.Apply(3*time.Second, Change{Revision: 16, After: 14, Endpoints: []Endpoint{draining}, Deleted: []Deleted{{ID: "k", ModRevision: 16}}})
	c := s.ChangesFor(4*time.Second, Request{Position: Position{Revision: 14}, Version: 1})
	must.False(t, c.Snapshot)
	must.Eq(t, []Endpoint{draining}, c.Endpoints)
	must.Eq(t, []Deleted{{ID: "k", ModRevision: 16}}, c.Deleted)
	must.Len(t, 1, c.Departed)
	must.Nil(t, c.Desired)
	must.True(t, c.DesiredKnown)
	must.NotNil(t, s.ChangesFor(4*time.Second, Request{Position: Position{Revision: 14}}).Desired)
	// Deletions before the first read are not known.
	must.True(t, s.ChangesFor(4*time.Second, Request{Position: Position{Revision: 9}}).Snapshot)
	// Nor are those whose entries have expired.
	s.RemoveExpired(2*time.Minute, time.Minute)
	must.True(t, s.ChangesFor(2*time.Minute, Request{Position: Position{Revision: 14}}).Snapshot)
	must.False(t, s.ChangesFor(2*time.Minute, Request{Position: Position{Revision: 16}}).Snapshot)
}
