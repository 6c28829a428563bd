package directory

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// eraSource simulates a source that can be restored from a copy.
type eraSource struct {
	position  Position
	desired   Desired
	endpoints map[string]Endpoint
	log       []Change // increments of one revision each, from the era's first revision on
	base      Revision
}

func (s *eraSource) clone() eraSource {
	c := *s
	c.endpoints, c.log = maps.Clone(s.endpoints), slices.Clone(s.log)
	return c
}

func (s *eraSource) write(change func(*Change)) {
	s.position.Revision++
	c := Change{Era: s.position.Era, After: s.position.Revision - 1, Revision: s.position.Revision}
	change(&c)
	s.log = append(s.log, c)
}

func (s *eraSource) put(e Endpoint) {
	s.write(func(c *Change) {
		e.ModRevision = c.Revision
		s.endpoints[e.ID] = e
		c.Endpoints = []Endpoint{e}
	})
}

func (s *eraSource) remove(id string) {
	s.write(func(c *Change) {
		delete(s.endpoints, id)
		c.Deleted = []Deleted{{ID: id, ModRevision: c.Revision}}
	})
}

func (s *eraSource) publish(version int64) {
	s.write(func(c *Change) {
		s.desired = Desired{Version: version, Era: c.Era, ModRevision: c.Revision}
		published := s.desired
		c.Desired = &published
	})
}

// read returns what a balancer at a position gets: increments, or a full snapshot.
func (s *eraSource) read(now time.Duration, at Position) Change {
	if at.Era != s.position.Era || at.Revision < s.base || at.Revision > s.position.Revision {
		desired := s.desired
		desired.Era = s.position.Era
		c := Change{Era: s.position.Era, Revision: s.position.Revision, Snapshot: true, AsOf: now, Desired: &desired}
		for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
			c.Endpoints = append(c.Endpoints, s.endpoints[id])
		}
		return c
	}
	c := Change{Era: s.position.Era, After: at.Revision, Revision: s.position.Revision, AsOf: now}
	for _, one := range s.log {
		if one.Revision <= at.Revision {
			continue
		}
		c.Endpoints, c.Deleted = append(c.Endpoints, one.Endpoints...), append(c.Deleted, one.Deleted...)
		if one.Desired != nil {
			c.Desired = one.Desired
		}
	}
	return c
}

// eraWorld simulates a source with its operator and endpoints, and balancers.
type eraWorld struct {
	now       time.Duration
	source    eraSource
	copies    []eraSource
	version   int64
	written   map[string]Endpoint // the last write of each endpoint that lives
	sequence  uint64
	started   int
	balancers []*State
}

func newEraWorld() *eraWorld {
	w := &eraWorld{
		now: time.Second, source: eraSource{position: Position{Era: 1}, endpoints: make(map[string]Endpoint)},
		written: make(map[string]Endpoint), balancers: []*State{NewState(), NewState(), NewState()},
	}
	w.publish()
	w.start()
	w.copies = append(w.copies, w.source.clone())
	return w
}

func (w *eraWorld) publish() {
	w.version += 3
	w.source.publish(w.version)
}

func (w *eraWorld) start() {
	w.started++
	w.write(endpointAt(fmt.Sprint("i-", w.started), 0))
}

func (w *eraWorld) write(e Endpoint) {
	w.sequence++
	e.Sequence = w.sequence
	w.written[e.ID] = e
	w.source.put(e)
}

// restore replaces the source by a copy, in a new era.
func (w *eraWorld) restore(to eraSource) {
	era := w.source.position.Era + 1
	w.source = to.clone()
	w.source.position.Era, w.source.base, w.source.log = era, w.source.position.Revision, nil
}

// writeAgain makes the operator and the endpoints write what the source has lost, and
// removes the entries of endpoints that have stopped, which expire.
func (w *eraWorld) writeAgain() {
	if w.source.desired.Version < w.version {
		w.source.publish(w.version)
	}
	for _, id := range slices.Sorted(maps.Keys(w.written)) {
		if w.source.endpoints[id].Sequence != w.written[id].Sequence {
			w.write(w.written[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.source.endpoints)) {
		if _, lives := w.written[id]; !lives {
			w.source.remove(id)
		}
	}
}

func (w *eraWorld) step(t *rapid.T) {
	w.now += 100 * time.Millisecond
	switch rapid.SampledFrom([]string{"publish", "start", "drain", "stop", "copy", "restore", "again", "read", "read", "exchange", "exchange", "restart"}).Draw(t, "step") {
	case "publish":
		w.publish()
	case "start":
		w.start()
	case "drain", "stop":
		ids := slices.Sorted(maps.Keys(w.written))
		if len(ids) == 0 {
			return
		}
		e := w.written[rapid.SampledFrom(ids).Draw(t, "id")]
		if e.Draining {
			delete(w.written, e.ID)
			w.source.remove(e.ID)
		} else {
			e.Draining = true
			w.write(e)
		}
	case "copy":
		w.copies = append(w.copies, w.source.clone())
	case "restore":
		w.restore(rapid.SampledFrom(w.copies).Draw(t, "copy"))
	case "again":
		w.writeAgain()
	case "read":
		w.read(t, rapid.IntRange(0, len(w.balancers)-1).Draw(t, "reader"))
	case "exchange":
		to, from := rapid.IntRange(0, len(w.balancers)-1).Draw(t, "to"), rapid.IntRange(0, len(w.balancers)-1).Draw(t, "from")
		w.exchange(t, to, from, rapid.Bool().Draw(t, "everything"))
	case "restart":
		w.balancers[rapid.IntRange(0, len(w.balancers)-1).Draw(t, "restarted")] = NewState()
	}
}

func (w *eraWorld) read(t *rapid.T, i int) {
	w.apply(t, i, w.source.read(w.now, w.balancers[i].Position()))
}

func (w *eraWorld) exchange(t *rapid.T, to, from int, everything bool) {
	if to == from || !w.balancers[from].Known() {
		return
	}
	request := Request{AllDeparted: everything}
	if !everything {
		request.Position, request.Version = w.balancers[to].Position(), w.balancers[to].Desired().Version
	}
	w.apply(t, to, w.balancers[from].ChangesFor(w.now, request))
}

// apply applies an update to a balancer and checks that nothing goes back.
func (w *eraWorld) apply(t *rapid.T, i int, c Change) {
	s := w.balancers[i]
	position, version := s.Position(), s.Desired().Version
	draining := make(map[string]Endpoint)
	s.Each(func(e *Entry) {
		if e.Draining {
			draining[e.ID] = e.Endpoint
		}
	})
	s.Apply(w.now, c)
	if s.Position().Compare(position) < 0 || s.Desired().Version < version {
		t.Fatalf("from %v, version %d, to %v, version %d by %+v", position, version, s.Position(), s.Desired().Version, c)
	}
	s.Each(func(e *Entry) {
		if before, known := draining[e.ID]; known && before.Incarnation == e.Incarnation && !e.Draining {
			t.Fatalf("%s drains no more by %+v", e.ID, c)
		}
	})
}

// settle lets the lost writes come back and all balancers exchange what they have.
func (w *eraWorld) settle(t *rapid.T) {
	w.writeAgain()
	for i := range w.balancers {
		w.read(t, i)
	}
	for range 2 {
		for to := range w.balancers {
			for from := range w.balancers {
				w.exchange(t, to, from, true)
			}
		}
	}
	for i, s := range w.balancers {
		if s.Desired().Version != w.version || s.Position() != w.source.position {
			t.Fatalf("balancer %d is at %v with version %d, the source at %v with %d", i, s.Position(), s.Desired().Version, w.source.position, w.version)
		}
		registered := make(map[string]bool)
		s.Each(func(e *Entry) {
			if e.DepartedAt == 0 {
				registered[e.ID] = e.Draining
			}
		})
		expected := make(map[string]bool)
		for id, e := range w.written {
			expected[id] = e.Draining
		}
		if !maps.Equal(registered, expected) {
			t.Fatalf("balancer %d has %v, want %v", i, registered, expected)
		}
		if s.Digest() != w.balancers[0].Digest() {
			t.Fatalf("balancers 0 and %d differ", i)
		}
	}
}
