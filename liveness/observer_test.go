package liveness

import (
	"fmt"
	"testing"
	"time"

	"cactustray/membership"
	"cactustray/steering"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const testService = ticket.ServiceKey(7)

var start = time.Unix(1000, 0)

// newTestObserver returns an observer that watches the given number of endpoints of
// one service, and their keys.
func newTestObserver(endpoints int) (*Observer, []ticket.EndpointKey) {
	o := NewObserver()
	var keys []ticket.EndpointKey
	for i := range endpoints {
		keys = append(keys, ticket.EndpointKey(100+i))
	}
	o.SetService(start, testService, keys)
	for _, key := range keys {
		o.ReceiveReport(start, Fact{Subject: EndpointSubject(key), Incarnation: 1, State: Ready})
	}
	return o, keys
}

// suspectSilent lets SuspectAfter pass in which only the first responsive endpoints
// report, and applies the suspicions. It returns the new time.
func suspectSilent(o *Observer, keys []ticket.EndpointKey, responsive int) time.Time {
	now := start.Add(SuspectAfter + time.Second)
	for _, key := range keys[:responsive] {
		o.ReceiveReport(now, Fact{Subject: EndpointSubject(key), Incarnation: 1, State: Ready})
	}
	for _, fact := range o.Tick(now, time.Second) {
		o.Apply(now, fact)
	}
	return now
}

func TestSuspicionOfSilentEndpointIsRefuted(t *testing.T) {
	o, keys := newTestObserver(4)
	now := suspectSilent(o, keys, 3)
	must.False(t, o.AcceptsNew(keys[3]))
	must.True(t, o.AcceptsNew(keys[0]))
	self := NewSelf(EndpointSubject(keys[3]), 1)
	believed, _ := o.Fact(EndpointSubject(keys[3]))
	must.True(t, self.Refute(believed))
	change := o.Apply(now, self.Fact())
	must.Eq(t, Change{Disseminate: true, Service: testService}, change)
	must.True(t, o.AcceptsNew(keys[3]))
}

// A suspected endpoint is no longer watched: if only the path to this observer is
// broken and the endpoint has refuted the suspicion, it is not suspected again.
func TestSuspectedEndpointIsNotSuspectedAgain(t *testing.T) {
	o, keys := newTestObserver(4)
	now := suspectSilent(o, keys, 3)
	o.Apply(now, Fact{Subject: EndpointSubject(keys[3]), Incarnation: 1, Version: 1, State: Ready})
	silent := func(f Fact) bool { return f.Subject == EndpointSubject(keys[3]) }
	for _, fact := range o.Tick(now.Add(2*SuspectAfter), time.Second) {
		must.False(t, silent(fact))
	}
}

func TestTickAfterPauseSuspectsNobody(t *testing.T) {
	o, keys := newTestObserver(4)
	afterPause := start.Add(time.Hour)
	must.SliceEmpty(t, o.Tick(afterPause, time.Hour))
	must.SliceEmpty(t, o.Tick(afterPause.Add(SuspectAfter), time.Second))
	must.SliceLen(t, 4, o.Tick(afterPause.Add(SuspectAfter+1), time.Second))
	must.True(t, o.AcceptsNew(keys[0]))
}

// If most endpoints of a service are suspected, the suspicions are ignored; a
// planned stop always counts.
func TestSuspicionsOfMostOfServiceAreIgnored(t *testing.T) {
	o, keys := newTestObserver(4)
	now := suspectSilent(o, keys, 1)
	for _, key := range keys {
		must.True(t, o.AcceptsNew(key))
	}
	o.Apply(now, Fact{Subject: EndpointSubject(keys[1]), Incarnation: 1, Version: 1, State: Leaving})
	must.False(t, o.AcceptsNew(keys[1]))
	must.True(t, o.AcceptsNew(keys[2]), must.Sprint("2 of the 3 that are not leaving are suspected"))
}

func TestNewIncarnationClearsSuspicion(t *testing.T) {
	o, keys := newTestObserver(4)
	now := suspectSilent(o, keys, 3)
	o.ReceiveReport(now, Fact{Subject: EndpointSubject(keys[3]), Incarnation: 2, State: Ready})
	must.True(t, o.AcceptsNew(keys[3]))
	stale := o.Apply(now, Fact{Subject: EndpointSubject(keys[3]), Incarnation: 1, State: Ready, Suspected: true})
	must.Eq(t, Change{Disseminate: true}, stale, must.Sprint("balancers that still suspect it need the newer fact"))
	must.True(t, o.AcceptsNew(keys[3]))
}

func TestFactsOfUnlistedSubjectsExpire(t *testing.T) {
	o, keys := newTestObserver(2)
	o.SetBalancers(start, []membership.Node{{Name: "entry-1"}})
	o.Apply(start, Fact{Subject: BalancerSubject("entry-1"), Incarnation: 1})
	o.Apply(start, Fact{Subject: 999, Incarnation: 1, Suspected: true})
	must.EqOp(t, 4, o.Len())
	o.SetService(start, testService, keys[:1])
	o.Tick(start.Add(FactRetention+1), time.Second)
	must.EqOp(t, 2, o.Len())
}

func TestLiveIgnoresSuspicionOfMostBalancers(t *testing.T) {
	o := NewObserver()
	var nodes []membership.Node
	for i := range 4 {
		nodes = append(nodes, membership.Node{Name: fmt.Sprint(i)})
	}
	suspect := func(i int) {
		o.Apply(start, Fact{Subject: BalancerSubject(nodes[i].Name), Suspected: true})
	}
	suspect(0)
	suspect(1)
	must.SliceLen(t, 2, o.Live(nodes))
	suspect(2)
	must.SliceLen(t, 4, o.Live(nodes))
	o.Apply(start, Fact{Subject: BalancerSubject("3"), Version: 1, State: Leaving})
	must.SliceLen(t, 3, o.Live(nodes))
}

func drawFact(t *rapid.T) Fact {
	return Fact{
		Subject:     Subject(rapid.Uint64Range(100, 105).Draw(t, "subject")),
		Incarnation: steering.Incarnation(rapid.Uint32Range(1, 2).Draw(t, "incarnation")),
		Version:     rapid.Uint32Range(0, 3).Draw(t, "version"),
		State:       Ready,
		Suspected:   rapid.Bool().Draw(t, "suspected"),
	}
}

// Facts lead to the same state in whatever order and however often they arrive, and
// the counts of suspected endpoints always agree with the facts.
func TestFactsCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOfN(rapid.Custom(drawFact), 1, 30).Draw(t, "facts")
		again := append(rapid.Permutation(facts).Draw(t, "order"), facts...)
		a, keys := newTestObserver(4)
		b, _ := newTestObserver(4)
		for _, f := range facts {
			a.Apply(start, f)
		}
		for _, f := range again {
			b.Apply(start, f)
		}
		must.Eq(t, a.facts, b.facts)
		suspected := 0
		for _, key := range keys {
			if a.facts[EndpointSubject(key)].Suspected {
				suspected++
			}
		}
		must.EqOp(t, suspected, a.allServices.suspected)
		must.EqOp(t, suspected, a.groups[EndpointSubject(keys[0])].suspected)
	})
}
