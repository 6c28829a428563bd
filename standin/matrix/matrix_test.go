package matrix

import (
	"testing"
	"time"

	"cactustray/liveness"

	"github.com/shoenig/test/must"
)

// verdict is the result of a step under a fault.
type verdict string

const (
	// succeeded: the step is done while the fault lasts.
	succeeded verdict = "succeeded"
	// recovered: the step is done only after the fault has ended.
	recovered verdict = "recovered"
	// failed: the step is not done, even after the fault has ended.
	failed verdict = "failed"
)

// Sentences of the requirements that permit a verdict other than succeeded.
const (
	survivesPlannedChange = "An established feed or booking flow survives any planned change"
	processesPause        = "Processes pause and wake up late"
	networkPartitions     = "Network partitions sometimes split the fleet"
)

// retryTimeout is how long a caller repeats a datagram.
const retryTimeout = 25 * time.Second

// fault is a column of the matrix. Most faults affect the first agent or the first balancer.
type fault struct {
	name       string
	begin, end func(*simulation)
}

// noChange is the end of a fault that is not undone.
func noChange(*simulation) {}

// cutLinks returns a function that cuts or restores links, each from its first to its second
// node.
func cutLinks(on bool, pairs ...[2]string) func(*simulation) {
	return func(s *simulation) {
		for _, pair := range pairs {
			s.cut[pair] = on
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
	{"agent killed", func(s *simulation) { s.agents[0].dead = true }, noChange},
	{"balancer killed", func(s *simulation) { s.balancers[0].dead = true }, noChange},
	{"agent frozen", func(s *simulation) { s.agents[0].frozen = true }, func(s *simulation) { s.agents[0].frozen = false }},
	{"balancer frozen", func(s *simulation) { s.balancers[0].frozen = true }, func(s *simulation) { s.balancers[0].frozen = false }},
	{"one-way cut to the agent", cutLinks(true, agentIn), cutLinks(false, agentIn)},
	{"one-way cut from the agent", cutLinks(true, agentOut), cutLinks(false, agentOut)},
	{"two-way cut", cutLinks(true, agentIn, agentOut), cutLinks(false, agentIn, agentOut)},
	{"cut between the balancers", cutLinks(true, peersIn, peersOut), cutLinks(false, peersIn, peersOut)},
	{"platform down", func(s *simulation) { s.balancers[0].stale, s.balancers[1].stale = true, true }, func(s *simulation) { s.balancers[0].stale, s.balancers[1].stale = false, false }},
	{"platform stale for one", func(s *simulation) { s.balancers[0].stale = true; s.publish(s.ticket(2)) }, func(s *simulation) { s.balancers[0].stale = false }},
	{"platform restored from a backup", func(s *simulation) { s.publish(s.ticket(3)); s.publish(s.ticket(2, "orders-0")) }, noChange},
	{"list of VMs out of date", func(s *simulation) {
		s.balancers[0].dead = true
		s.balancers[1].observer.SetBalancers(s.now, s.nodeList())
	}, noChange},
	{"health check wrong", func(s *simulation) { s.agents[1].dead = true; s.agents[1].self.SetState(liveness.Ready) }, noChange},
	{"packet lost", func(s *simulation) { s.dropNext = 3 }, noChange},
	{"packet duplicated", func(s *simulation) { s.copies = 2 }, noChange},
	{"packet delayed and reordered", func(s *simulation) { s.advance(2 * step); s.nextBalancer++ }, noChange},
}

// exception is a verdict other than succeeded, with the sentence that permits it.
type exception struct {
	verdict  verdict
	sentence string
}

// row is a step and its expected verdicts: succeeded for every fault that has no
// exception.
type row struct {
	name string
	// prepare runs before the fault.
	prepare func(*simulation)
	// done tries the step and reports whether it is done.
	done func(*simulation) bool
	// invariant, unless nil, is asserted whatever the verdict.
	invariant func(*testing.T, *simulation)
	except    map[string]exception
}

// homeOf returns a flow whose home endpoint is that of the named agent.
func homeOf(s *simulation, name string) uint64 {
	for flow := uint64(0); ; flow++ {
		for _, a := range s.send(opening(flow)) {
			if a.name == name {
				return flow
			}
		}
	}
}

// mustReachOwnerOnly asserts that no balancer sends the first agent's flow to another agent.
func mustReachOwnerOnly(t *testing.T, s *simulation) {
	for range s.balancers {
		for _, a := range s.send(owned(s.agents[0])) {
			must.EqOp(t, "orders-0", a.name, must.Sprint("a datagram reached an agent that does not own its flow"))
		}
	}
}

func draining(s *simulation) { s.setDrain(s.agents[0], liveness.CauseStop, true) }

var rows = []row{
	{
		name: "flow: a new flow finds an agent",
		done: func(s *simulation) bool {
			return len(s.sendUntilAccepted(opening(homeOf(newSimulation(), "orders-0")), retryTimeout)) > 0
		},
	},
	{
		name: "flow: an open flow's datagram reaches its owner",
		done: func(s *simulation) bool { return len(s.sendUntilAccepted(owned(s.agents[0]), retryTimeout)) > 0 },
		except: map[string]exception{
			"agent killed": {failed, survivesPlannedChange},
			"agent frozen": {recovered, processesPause},
		},
		invariant: mustReachOwnerOnly,
	},
	{
		name: "flow: an agent that was suspected takes new flows again",
		done: func(s *simulation) bool {
			s.advance(2 * liveness.SuspectAfter)
			return acceptsNew(s, s.agents[0])
		},
		except: map[string]exception{
			"agent killed": {failed, survivesPlannedChange},
			"agent frozen": {recovered, processesPause},
		},
	},
	{
		name: "flow: a reply finds a balancer that runs",
		done: func(s *simulation) bool {
			for range 20 {
				s.advance(step)
				if s.agents[0].runs() && repliesReachBalancers(s) {
					return true
				}
			}
			return false
		},
		except: map[string]exception{
			"agent killed": {failed, survivesPlannedChange},
			"agent frozen": {recovered, processesPause},
		},
	},
	{
		name:    "drain: no new flow arrives after a few seconds",
		prepare: draining,
		done: func(s *simulation) bool {
			s.advance(2 * liveness.HeartbeatInterval)
			return !acceptsNew(s, s.agents[0])
		},
		// A balancer that doesn't receive the announcement keeps sending new flows;
		// the agent itself forwards them to other agents and accepts none.
		invariant: mustReachOwnerOnly,
	},
	{
		name:    "drain: open flows continue",
		prepare: func(s *simulation) { draining(s); s.advance(liveness.NoticePeriod) },
		done:    func(s *simulation) bool { return len(s.sendUntilAccepted(owned(s.agents[0]), retryTimeout)) > 0 },
		except: map[string]exception{
			"agent killed": {failed, survivesPlannedChange},
			"agent frozen": {recovered, processesPause},
		},
		invariant: mustReachOwnerOnly,
	},
	{
		name:    "drain: ended by a newer ticket",
		prepare: func(s *simulation) { s.publish(s.ticket(4, "orders-0")); s.advance(liveness.NoticePeriod) },
		done: func(s *simulation) bool {
			s.publish(s.ticket(5))
			s.advance(2 * liveness.HeartbeatInterval)
			return acceptsNew(s, s.agents[0])
		},
		except: map[string]exception{
			"agent killed":  {failed, survivesPlannedChange},
			"agent frozen":  {recovered, processesPause},
			"platform down": {recovered, networkPartitions},
		},
	},
}

// repliesReachBalancers reports whether a balancer that the agent sends replies through is
// running.
func repliesReachBalancers(s *simulation) bool {
	paths := s.agents[0].paths.ReplyTargets(s.now)
	for _, b := range s.balancers {
		for _, path := range paths {
			if path == b.control && !b.dead && !b.frozen {
				return true
			}
		}
	}
	return false
}

// acceptsNew reports whether a running balancer sends new flows to the agent and the agent
// accepts them.
func acceptsNew(s *simulation, a *agent) bool {
	if !a.runs() || a.drain.Leaving() {
		return false
	}
	for flow := range uint64(200) {
		for _, accepted := range s.send(opening(flow)) {
			if accepted == a {
				return true
			}
		}
	}
	return false
}

// run returns the verdict of a step under a fault.
func run(t *testing.T, r row, f fault) verdict {
	s := newSimulation()
	if r.prepare != nil {
		r.prepare(s)
	}
	f.begin(s)
	result := failed
	if r.done(s) {
		result = succeeded
	}
	if r.invariant != nil {
		r.invariant(t, s)
	}
	f.end(s)
	s.advance(step)
	if result != succeeded && r.done(s) {
		result = recovered
	}
	if r.invariant != nil {
		r.invariant(t, s)
	}
	return result
}

func TestFaultMatrix(t *testing.T) {
	for _, r := range rows {
		for _, f := range faults {
			t.Run(r.name+"/"+f.name, func(t *testing.T) {
				want := exception{verdict: succeeded}
				if except, ok := r.except[f.name]; ok {
					want = except
				}
				must.EqOp(t, want.verdict, run(t, r, f), must.Sprint(want.sentence))
			})
		}
	}
}
