package directory

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var routeAddress = netip.MustParseAddrPort("198.18.0.1:80")

// desiredTo returns a desired state in which a route goes to services with weight 1.
func desiredTo(revision Revision, services ...string) *Desired {
	d := &Desired{Version: int64(revision), ModRevision: revision}
	if len(services) > 0 {
		route := Route{Name: "r", Address: routeAddress}
		for _, service := range services {
			route.Shares = append(route.Shares, Share{Service: service, Weight: 1})
		}
		d.Routes = []Route{route}
	}
	return d
}

// formerAt returns the former services of the only route.
func formerAt(s *State, now time.Duration) []string {
	names := []string{}
	for _, f := range s.FormerServices(now) {
		names = append(names, f.Service)
	}
	return names
}

func stateOf(d *Desired, now time.Duration) *State {
	s := NewState()
	s.FirstStart()
	s.Apply(now, Change{Revision: d.ModRevision, Snapshot: true, AsOf: now, Desired: d})
	return s
}

// increment applies a desired state that follows the state's revision.
func increment(s *State, now time.Duration, superseded []*Desired, d *Desired) {
	s.Apply(now, Change{After: s.Revision(), Revision: d.ModRevision, AsOf: now, Desired: d, Superseded: superseded})
}

func TestFormerServicesOfARoute(t *testing.T) {
	s := stateOf(desiredTo(1, "a", "b"), 1*time.Second)
	increment(s, 2*time.Second, nil, desiredTo(2, "b", "c"))
	must.Eq(t, []string{"a"}, formerAt(s, 2*time.Second))
	// A desired state that was replaced within one read counts too.
	increment(s, 3*time.Second, []*Desired{desiredTo(3, "x")}, desiredTo(4, "c"))
	must.Eq(t, []string{"a", "b", "x"}, formerAt(s, 3*time.Second))
	// A service that is used again is not a former one.
	increment(s, 4*time.Second, nil, desiredTo(5, "a"))
	must.Eq(t, []string{"b", "c", "x"}, formerAt(s, 4*time.Second))
	s.RemoveExpired(63*time.Second+1, time.Minute)
	must.Eq(t, []string{"c"}, formerAt(s, 63*time.Second))
	// The flows of a removed route end, also if the route is added again later.
	increment(s, 64*time.Second, nil, desiredTo(6))
	increment(s, 65*time.Second, nil, desiredTo(7, "a"))
	must.SliceEmpty(t, formerAt(s, 65*time.Second))
}

// If the lifetime of flows becomes longer, services that were removed by the former one may
// still hold flows.
func TestRemovedFormerServiceIsNotKnownForLongerLifetime(t *testing.T) {
	s := stateOf(desiredTo(1, "a"), time.Second)
	increment(s, 2*time.Second, nil, desiredTo(2, "b"))
	now := 63 * time.Second
	s.RemoveExpired(now, time.Minute)
	must.SliceEmpty(t, formerAt(s, now))
	must.True(t, s.KnowsRouteHistory(now, time.Minute))
	must.False(t, s.KnowsRouteHistory(now, 2*time.Minute))
	must.True(t, s.KnowsRouteHistory(now+time.Minute, 2*time.Minute))
}

// A service whose weight falls to 0 gets no new flows and keeps its open ones.
func TestServiceWithoutWeightIsFormer(t *testing.T) {
	s := stateOf(desiredTo(1, "a", "b"), time.Second)
	d := desiredTo(2, "a", "b")
	d.Routes[0].Shares[0].Weight = 0
	increment(s, 2*time.Second, nil, d)
	must.Eq(t, []string{"a"}, formerAt(s, 2*time.Second))
}

// A full read of the source after an outage may hide desired states that others have used.
func TestFullReadAfterGapLosesRouteHistory(t *testing.T) {
	s := stateOf(desiredTo(1, "a"), time.Second)
	must.True(t, s.KnowsRouteHistory(2*time.Second, time.Minute))
	s.Apply(9*time.Second, Change{Revision: 8, Snapshot: true, AsOf: 9 * time.Second, Desired: desiredTo(1, "a")})
	must.True(t, s.KnowsRouteHistory(9*time.Second, time.Minute)) // nothing has changed
	s.Apply(19*time.Second, Change{Revision: 18, Snapshot: true, AsOf: 19 * time.Second, Desired: desiredTo(15, "c")})
	must.False(t, s.KnowsRouteHistory(19*time.Second, time.Minute))
	must.True(t, s.KnowsRouteHistory(79*time.Second, time.Minute))
	// Another balancer that followed all changes closes the gap.
	peer := stateOf(desiredTo(1, "a"), time.Second)
	increment(peer, 12*time.Second, nil, desiredTo(9, "b"))
	increment(peer, 16*time.Second, nil, desiredTo(15, "c"))
	s.Apply(20*time.Second, peer.Snapshot(20*time.Second))
	must.True(t, s.KnowsRouteHistory(20*time.Second, time.Minute))
	must.Eq(t, []string{"a", "b"}, formerAt(s, 20*time.Second))
}

// The number of former services is bounded; without the oldest, the history counts as
// known only from then on.
func TestFormerServicesAreBounded(t *testing.T) {
	h := newRouteHistory()
	h.since = systemStart
	for i := range maxFormerServices + 3 {
		address := netip.AddrPortFrom(routeAddress.Addr(), uint16(i+1))
		h.add(routeService{address, "a"}, time.Duration(i+1)*time.Second)
	}
	must.MapLen(t, maxFormerServices, h.former)
	must.EqOp(t, 3*time.Second+1, h.since)
}

// Whatever balancers start, read or miss: one that claims to know the route history knows
// every service to which the route sent flows within a flow's lifetime, unless the route
// was removed since.
func TestKnownRouteHistoryLacksNoService(t *testing.T) {
	const lifetime = 20 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		world := newHistoryWorld(t)
		for range rapid.IntRange(3, 60).Draw(t, "steps") {
			world.step(t)
			world.check(t, lifetime)
		}
	})
}

// historyWorld is a source with its desired states, and balancers that follow it.
type historyWorld struct {
	now      time.Duration
	revision Revision
	states   []*Desired
	until    map[string]time.Duration
	nodes    []*State
}

func newHistoryWorld(t *rapid.T) *historyWorld {
	w := &historyWorld{now: time.Second, until: make(map[string]time.Duration)}
	w.publish([]string{"a"})
	for range 3 {
		w.nodes = append(w.nodes, stateOf(w.latest(), w.now))
	}
	return w
}

func (w *historyWorld) latest() *Desired { return w.states[len(w.states)-1] }

func (w *historyWorld) publish(services []string) {
	if len(w.states) > 0 {
		for _, share := range w.sharesOf(w.latest()) {
			w.until[share.Service] = w.now
		}
	}
	if len(services) == 0 {
		clear(w.until)
	}
	w.revision++
	w.states = append(w.states, desiredTo(w.revision, services...))
}

func (w *historyWorld) sharesOf(d *Desired) []Share {
	if len(d.Routes) == 0 {
		return nil
	}
	return d.Routes[0].Shares
}

func (w *historyWorld) step(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
	node := w.nodes[i]
	switch rapid.IntRange(0, 4).Draw(t, "action") {
	case 0:
		w.publish(rapid.SampledFrom([][]string{{"a"}, {"b"}, {"c"}, {"a", "b"}, {"d", "c"}, {}}).Draw(t, "services"))
	case 1: // the node reads the changes that it has not seen
		if node.Known() && node.Revision() < w.revision {
			missed := w.states[node.Revision():]
			increment(node, w.now, missed[:len(missed)-1], missed[len(missed)-1])
		}
	case 2: // the node reads everything
		node.Apply(w.now, Change{Revision: w.revision, Snapshot: true, AsOf: w.now, Desired: w.latest()})
	case 3: // the node fetches from another one
		if other := w.nodes[(i+1)%len(w.nodes)]; other.Known() {
			node.Apply(w.now, other.Snapshot(w.now))
		}
	case 4:
		w.nodes[i] = NewState()
	}
}

// check verifies every node that is up to date and claims to know the history.
func (w *historyWorld) check(t *rapid.T, lifetime time.Duration) {
	for i, node := range w.nodes {
		node.RemoveExpired(w.now, lifetime)
		if node.Revision() != w.revision || !node.KnowsRouteHistory(w.now, lifetime) || len(w.latest().Routes) == 0 {
			continue
		}
		known := formerAt(node, w.now)
		for _, share := range w.sharesOf(w.latest()) {
			known = append(known, share.Service)
		}
		for service, until := range w.until {
			if w.now-until < lifetime && !slices.Contains(known, service) {
				t.Fatalf("node %d does not know that the route sent flows to %s until %v; now is %v", i, service, until, w.now)
			}
		}
	}
}
