package matrix

import (
	"testing"
	"time"

	"cactustray/liveness"

	"github.com/shoenig/test/must"
)

// verdict is what a step comes to under a fault.
type verdict string

const (
	// kept: the step is done while the fault lasts.
	kept verdict = "kept"
	// healed: the step is done once the fault has ended.
	healed verdict = "healed"
	// lost: the step is never done.
	lost verdict = "lost"
)

// Lines of the brief that allow what is not kept.
const (
	planned = "An established feed or booking flow survives any planned change"
	pausing = "Processes pause and wake up late"
	divided = "Network partitions sometimes split the fleet"
)

// patience is how long a caller repeats a datagram.
const patience = 25 * time.Second

// fault is one column of the matrix; it hits the first agent, or the first
// balancer.
type fault struct {
	name       string
	begin, end func(*world)
}

func nothing(*world) {}

func cutWays(on bool, pairs ...[2]string) func(*world) {
	return func(w *world) {
		for _, pair := range pairs {
			w.cut[pair] = on
		}
	}
}

var (
	agentOut = [2]string{"orders-0", "entry-0"}
	agentIn  = [2]string{"entry-0", "orders-0"}
	peersOut = [2]string{"entry-0", "entry-1"}
	peersIn  = [2]string{"entry-1", "entry-0"}
)

var faults = []fault{
	{"agent killed", func(w *world) { w.agents[0].dead = true }, nothing},
	{"balancer killed", func(w *world) { w.balancers[0].dead = true }, nothing},
	{"agent frozen", func(w *world) { w.agents[0].frozen = true }, func(w *world) { w.agents[0].frozen = false }},
	{"balancer frozen", func(w *world) { w.balancers[0].frozen = true }, func(w *world) { w.balancers[0].frozen = false }},
	{"one-way cut to the agent", cutWays(true, agentIn), cutWays(false, agentIn)},
	{"one-way cut from the agent", cutWays(true, agentOut), cutWays(false, agentOut)},
	{"two-way cut", cutWays(true, agentIn, agentOut), cutWays(false, agentIn, agentOut)},
	{"balancers apart", cutWays(true, peersIn, peersOut), cutWays(false, peersIn, peersOut)},
	{"platform down", func(w *world) { w.balancers[0].stale, w.balancers[1].stale = true, true }, func(w *world) { w.balancers[0].stale, w.balancers[1].stale = false, false }},
	{"platform stale for one", func(w *world) { w.balancers[0].stale = true; w.publish(w.ticket(2)) }, func(w *world) { w.balancers[0].stale = false }},
	{"platform back in time", func(w *world) { w.publish(w.ticket(3)); w.publish(w.ticket(2, "orders-0")) }, nothing},
	{"list lagging", func(w *world) { w.balancers[0].dead = true; w.balancers[1].observer.SetBalancers(w.now, w.listed()) }, nothing},
	{"health lying", func(w *world) { w.agents[1].dead = true; w.agents[1].self.SetState(liveness.Ready) }, nothing},
	{"packet lost", func(w *world) { w.drop = 3 }, nothing},
	{"packet doubled", func(w *world) { w.copies = 2 }, nothing},
	{"packet delayed and overtaken", func(w *world) { w.pass(2 * step); w.turn++ }, nothing},
}

// allowed is a verdict other than kept, with the line that allows it.
type allowed struct {
	verdict verdict
	line    string
}

// row is one step and its verdicts; a fault that is not named is kept.
type row struct {
	name string
	// prepare runs before the fault.
	prepare func(*world)
	// done tries the step and tells whether it is done.
	done func(*world) bool
	// holds is asserted whatever the verdict.
	holds  func(*testing.T, *world)
	except map[string]allowed
}

// homeOf returns a flow whose home is the named agent.
func homeOf(w *world, name string) uint64 {
	for flow := uint64(0); ; flow++ {
		for _, a := range w.send(opening(flow)) {
			if a.name == name {
				return flow
			}
		}
	}
}

// ownerAlone asserts that no balancer sends the first agent's flow to another.
func ownerAlone(t *testing.T, w *world) {
	for range w.balancers {
		for _, a := range w.send(owned(w.agents[0])) {
			must.EqOp(t, "orders-0", a.name, must.Sprint("a flow reached another agent than its owner"))
		}
	}
}

func draining(w *world) { w.leave(w.agents[0], liveness.ByStop, true) }

var rows = []row{
	{
		name: "flow: a new flow finds an agent",
		done: func(w *world) bool { return len(w.persist(opening(homeOf(newWorld(), "orders-0")), patience)) > 0 },
	},
	{
		name: "flow: an open flow's datagram reaches its owner",
		done: func(w *world) bool { return len(w.persist(owned(w.agents[0]), patience)) > 0 },
		except: map[string]allowed{
			"agent killed": {lost, planned},
			"agent frozen": {healed, pausing},
		},
		holds: ownerAlone,
	},
	{
		name: "flow: an agent that was suspected takes new flows again",
		done: func(w *world) bool {
			w.pass(2 * liveness.SuspectAfter)
			return takesNew(w, w.agents[0])
		},
		except: map[string]allowed{
			"agent killed": {lost, planned},
			"agent frozen": {healed, pausing},
		},
	},
	{
		name: "flow: a reply finds a balancer that runs",
		done: func(w *world) bool {
			for range 20 {
				w.pass(step)
				if w.agents[0].runs() && replies(w) {
					return true
				}
			}
			return false
		},
		except: map[string]allowed{
			"agent killed": {lost, planned},
			"agent frozen": {healed, pausing},
		},
	},
	{
		name:    "drain: no new flow comes after a few seconds",
		prepare: draining,
		done: func(w *world) bool {
			w.pass(2 * liveness.HeartbeatInterval)
			return !takesNew(w, w.agents[0])
		},
		// A balancer that can't hear goes on sending; the agent itself then
		// hands new flows on, so that none is taken.
		holds: ownerAlone,
	},
	{
		name:    "drain: open flows go on",
		prepare: func(w *world) { draining(w); w.pass(liveness.Notice) },
		done:    func(w *world) bool { return len(w.persist(owned(w.agents[0]), patience)) > 0 },
		except: map[string]allowed{
			"agent killed": {lost, planned},
			"agent frozen": {healed, pausing},
		},
		holds: ownerAlone,
	},
	{
		name:    "drain: taken back by a newer ticket",
		prepare: func(w *world) { w.publish(w.ticket(4, "orders-0")); w.pass(liveness.Notice) },
		done: func(w *world) bool {
			w.publish(w.ticket(5))
			w.pass(2 * liveness.HeartbeatInterval)
			return takesNew(w, w.agents[0])
		},
		except: map[string]allowed{
			"agent killed":  {lost, planned},
			"agent frozen":  {healed, pausing},
			"platform down": {healed, divided},
		},
	},
}

// replies tells whether every path the agent replies over runs.
func replies(w *world) bool {
	paths := w.agents[0].paths.Replies(w.now)
	for _, b := range w.balancers {
		for _, path := range paths {
			if path == b.control && !b.dead && !b.frozen {
				return true
			}
		}
	}
	return false
}

// takesNew tells whether a balancer that runs sends new flows to the agent and
// the agent keeps them.
func takesNew(w *world, a *agent) bool {
	if !a.runs() || a.drain.Leaving() {
		return false
	}
	for flow := range uint64(200) {
		for _, took := range w.send(opening(flow)) {
			if took == a {
				return true
			}
		}
	}
	return false
}

func run(t *testing.T, r row, f fault) verdict {
	w := newWorld()
	if r.prepare != nil {
		r.prepare(w)
	}
	f.begin(w)
	result := lost
	if r.done(w) {
		result = kept
	}
	if r.holds != nil {
		r.holds(t, w)
	}
	f.end(w)
	w.pass(step)
	if result != kept && r.done(w) {
		result = healed
	}
	if r.holds != nil {
		r.holds(t, w)
	}
	return result
}

func TestFaultMatrix(t *testing.T) {
	for _, r := range rows {
		for _, f := range faults {
			t.Run(r.name+"/"+f.name, func(t *testing.T) {
				want := allowed{verdict: kept}
				if except, ok := r.except[f.name]; ok {
					want = except
				}
				must.EqOp(t, want.verdict, run(t, r, f), must.Sprint(want.line))
			})
		}
	}
}
