package directory

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// writtenAt is an endpoint's entry with a sequence number.
func writtenAt(id string, modRevision Revision, sequence uint64) Endpoint {
	e := endpointAt(id, modRevision)
	e.Sequence = sequence
	return e
}

// knownInEra returns a state at revision 12 of the first era, with version 7 of the desired
// state.
func knownInEra(t *testing.T, endpoints ...Endpoint) *State {
	s := NewState()
	_, ok := s.Apply(time.Second, Change{
		Era: 1, Revision: 12, Snapshot: true, AsOf: time.Second, Desired: &Desired{Version: 7, Era: 1, ModRevision: 12}, Endpoints: endpoints,
	})
	must.True(t, ok)
	return s
}

// restoredAt is a snapshot of the second era with version 1 of the desired state.
func restoredAt(now time.Duration, revision Revision, endpoints ...Endpoint) Change {
	return Change{
		Era: 2, Revision: revision, Snapshot: true, AsOf: now, Desired: &Desired{Version: 1, Era: 2, ModRevision: 1}, Endpoints: endpoints,
	}
}

// A source restored from a copy answers with lower revisions than those known. Its
// content is applied, also a change at a revision that is known with other content.
func TestRestoredSourceIsFollowed(t *testing.T) {
	s := knownInEra(t, endpointAt("i", 5))
	restored := restoredAt(3*time.Second, 11, endpointAt("i", 5))
	restored.Desired = &Desired{Version: 8, Era: 2, ModRevision: 11}
	changed, ok := s.Apply(3*time.Second, restored)
	must.True(t, ok)
	must.True(t, changed)
	must.EqOp(t, 11, s.Revision())
	must.EqOp(t, 8, s.Desired().Version)
	must.EqOp(t, 3*time.Second, s.AsOf())
	_, ok = s.Apply(4*time.Second, Change{Era: 2, Revision: 12, After: 11, AsOf: 4 * time.Second, Desired: &Desired{Version: 9, Era: 2, ModRevision: 12}})
	must.True(t, ok)
	must.EqOp(t, 9, s.Desired().Version)
}

// A desired state that a restored source has lost stays in force until it has a later one.
func TestRestoredSourceRevertsNothing(t *testing.T) {
	s := knownInEra(t, endpointAt("i", 5))
	s.Apply(3*time.Second, restoredAt(3*time.Second, 13, endpointAt("i", 5)))
	must.EqOp(t, 7, s.Desired().Version)
	must.EqOp(t, Position{Era: 2, Revision: 13}, s.Position())
}

// Changes of an earlier era are not applied after it has ended: neither a read that took
// long, nor the increments of a balancer that has not noticed.
func TestIncrementOfAnotherEraIsNotApplied(t *testing.T) {
	s := knownInEra(t, endpointAt("i", 5))
	_, ok := s.Apply(2*time.Second, Change{Era: 2, Revision: 13, After: 12, Desired: &Desired{Version: 8, Era: 2, ModRevision: 13}})
	must.False(t, ok)
	must.EqOp(t, 7, s.Desired().Version)
	s.Apply(3*time.Second, restoredAt(3*time.Second, 11, endpointAt("i", 5)))
	late := Change{Era: 1, Revision: 13, After: 12, AsOf: 3 * time.Second, Deleted: []Deleted{{ID: "i", ModRevision: 13}}}
	changed, ok := s.Apply(4*time.Second, late)
	must.True(t, ok)
	must.False(t, changed)
	must.EqOp(t, Position{Era: 2, Revision: 11}, s.Position())
	// A desired state that only the earlier era has was confirmed to the operator.
	late.Desired = &Desired{Version: 9, Era: 1, ModRevision: 13}
	changed, _ = s.Apply(4*time.Second, late)
	must.True(t, changed)
	must.EqOp(t, 9, s.Desired().Version)
}

// An endpoint that drains gets no new flows because a restored source has its earlier entry.
func TestRestoredSourceRevertsNoDrain(t *testing.T) {
	draining := writtenAt("i", 12, 9)
	draining.Draining = true
	s := knownInEra(t, draining)
	s.Apply(3*time.Second, restoredAt(3*time.Second, 11, writtenAt("i", 5, 1)))
	must.True(t, s.entries["i"].Draining)
	// A later start of the endpoint does not drain.
	again := writtenAt("i", 13, 1)
	again.Incarnation = 2
	s.Apply(4*time.Second, Change{Era: 2, Revision: 13, After: 11, AsOf: 4 * time.Second, Endpoints: []Endpoint{again}})
	must.False(t, s.entries["i"].Draining)
}

// An endpoint whose entry is only in a restored source's copy may have stopped: it gets new
// flows only while its agent reports, until its entry has outlasted its heartbeats. One that
// the copy lacks stays in use while its agent reports, until it is registered again.
func TestRestoredSourceListsStoppedEndpoints(t *testing.T) {
	s := knownInEra(t, writtenAt("i", 5, 1), writtenAt("j", 10, 1))
	s.Apply(2*time.Second, Change{Era: 1, Revision: 13, After: 12, AsOf: 2 * time.Second, Deleted: []Deleted{{ID: "i", ModRevision: 13}}})
	now := 4 * time.Second
	s.Apply(now, restoredAt(now, 9, writtenAt("i", 5, 1)))
	copied, lapsed := s.entries["i"], s.entries["j"]
	must.False(t, copied.AcceptsNew(now, false))
	must.True(t, copied.AcceptsNew(now, true))
	must.False(t, copied.MayHoldFlows(now, now+vanishedRetention, 0, false))
	must.True(t, copied.AcceptsNew(now+unrenewedLifetime, false))
	must.True(t, lapsed.AcceptsNew(now+lapsedRetention-1, true))
	must.True(t, lapsed.Replaces(copied, now), must.Sprint("the address of a stopped endpoint may have been reused"))
	// Both are usable without doubt once their endpoints have written them again.
	later := now + time.Second
	s.Apply(later, Change{Era: 2, Revision: 11, After: 9, AsOf: later, Endpoints: []Endpoint{writtenAt("i", 10, 4), writtenAt("j", 11, 6)}})
	must.True(t, s.entries["i"].AcceptsNew(later, false))
	must.True(t, s.entries["j"].AcceptsNew(later, false))
}

// Balancers that learn at different times that an entry may be a copy do not remind each
// other of it for ever: the entry is in doubt once.
func TestDoubtAboutAnEntryEnds(t *testing.T) {
	s := knownInEra(t, writtenAt("i", 5, 1))
	s.Apply(2*time.Second, Change{Era: 1, Revision: 13, After: 12, AsOf: 2 * time.Second, Deleted: []Deleted{{ID: "i", ModRevision: 13}}})
	now := 4 * time.Second
	s.Apply(now, restoredAt(now, 9, writtenAt("i", 5, 1)))
	other := NewState()
	later := now + unrenewedLifetime - 1
	other.Apply(later, s.Snapshot(later))
	must.True(t, other.entries["i"].Doubtful(later))
	now = later + unrenewedLifetime/2
	must.False(t, s.entries["i"].Doubtful(now))
	s.Apply(now, restoredAt(now, 9, writtenAt("i", 5, 1))) // the source does not know of doubts
	s.Apply(now, other.Snapshot(now))
	must.False(t, s.entries["i"].Doubtful(now))
}

// Within an era revisions decide: an endpoint that is registered again is not in doubt
// because another balancer has not noticed, whatever sequence numbers say.
func TestDepartureBeforeRegistrationIsIgnored(t *testing.T) {
	s := knownInEra(t, writtenAt("i", 11, 0))
	lagging := Change{Era: 1, Revision: 10, Snapshot: true, Departed: []Departed{{Endpoint: writtenAt("i", 8, 3), Age: time.Second}}}
	s.Apply(2*time.Second, lagging)
	must.False(t, s.entries["i"].Doubtful(2*time.Second))
}

// A balancer that starts with a restored source takes its copy for current, until another
// tells it what the copy lacks.
func TestBalancersCorrectACopy(t *testing.T) {
	draining := writtenAt("i", 12, 9)
	draining.Draining = true
	running := knownInEra(t, draining, writtenAt("j", 6, 1))
	running.Apply(2*time.Second, Change{Era: 1, Revision: 14, After: 12, AsOf: 2 * time.Second, Deleted: []Deleted{{ID: "j", ModRevision: 14}}})
	now := 3 * time.Second
	restored := restoredAt(now, 11, writtenAt("i", 5, 1), writtenAt("j", 6, 1))
	running.Apply(now, restored)
	started := NewState()
	started.Apply(now, restored)
	must.NotEq(t, running.Digest(), started.Digest())
	must.False(t, started.Confirm(running.Position(), running.Digest(), now))
	started.Apply(now, running.ChangesFor(now, Request{}))
	must.EqOp(t, running.Digest(), started.Digest())
	must.EqOp(t, 7, started.Desired().Version)
	must.True(t, started.entries["i"].Draining)
	must.False(t, started.entries["j"].AcceptsNew(now, false))
	// The same from a balancer that has not noticed the restore.
	lagging := knownInEra(t, draining)
	lagging.Apply(2*time.Second, Change{Era: 1, Revision: 13, After: 12, AsOf: 2 * time.Second, Deleted: []Deleted{{ID: "i", ModRevision: 13}}})
	other := NewState()
	other.Apply(now, restored)
	other.Apply(now, lagging.ChangesFor(now, Request{Position: other.Position(), AllDeparted: true}))
	must.True(t, other.entries["i"].Draining)
	must.EqOp(t, 7, other.Desired().Version)
	must.EqOp(t, Position{Era: 2, Revision: 11}, other.Position())
}

// Revisions of two eras name different contents: a balancer in another era gets a full
// snapshot, and the desired state unless it has the same version.
func TestRequestOfAnotherEraGetsSnapshot(t *testing.T) {
	s := knownInEra(t, endpointAt("i", 5))
	must.False(t, s.ChangesFor(2*time.Second, Request{Position: Position{Era: 1, Revision: 12}, Version: 7}).Snapshot)
	s.Apply(3*time.Second, restoredAt(3*time.Second, 11, endpointAt("i", 5)))
	c := s.ChangesFor(4*time.Second, Request{Position: Position{Era: 1, Revision: 12}, Version: 1})
	must.True(t, c.Snapshot)
	must.EqOp(t, 7, c.Desired.Version)
	must.True(t, s.Confirm(Position{Era: 1, Revision: 40}, 7, 4*time.Second))
	must.False(t, s.Confirm(Position{Era: 3, Revision: 2}, s.Digest(), 4*time.Second))
}

// Whatever a restored source loses, and whichever balancers read it, exchange what they have
// or start anew: no balancer's position or desired state goes back and no endpoint stops
// draining. Once the lost writes are there again and all have exchanged them, all have the
// source's content.
func TestBalancersOutliveRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newEraWorld()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			w.step(t)
		}
		w.settle(t)
	})
}
