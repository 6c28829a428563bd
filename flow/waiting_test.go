package flow

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// crest replays the load of an endpoint after a loss of power: callers that waited meanwhile
// come at once, others at nearly the rate that the endpoint can serve. The endpoint works in
// order of arrival and refuses requests beyond its queue. Every caller opens a flow, with
// copies of its opening packet, and sends one request; after a refusal, or if the flow did not
// open, it tries again on a new flow.
type crest struct {
	table   *AgentTable
	now     Timestamp
	random  *rand.Rand
	slots   int
	queue   []*crestCaller
	running map[*crestCaller]Timestamp
	callers []*crestCaller
	// events are what callers do later.
	events map[Timestamp][]func()
	result crestResult
}

type crestCaller struct {
	key Key
	// first is when the caller's first attempt began, begun this one; tries is how many
	// attempts it has left.
	first, begun Timestamp
	tries        int
	// admitted is true once the endpoint accepted the flow.
	admitted bool
}

// crestResult counts callers by their final outcome, and refusals.
type crestResult struct{ inTime, late, failed, refusals int }

const (
	crestSlots  = 5
	crestQueue  = 20
	crestWork   = 54 * time.Millisecond
	crestTarget = 200 * time.Millisecond
	crestTries  = 3
	crestPause  = 20 * time.Millisecond
	crestRTT    = 6 * time.Millisecond
	// crestBacklog callers come at once; for crestTime others follow, at crestShare of what
	// the endpoint can serve.
	crestBacklog = 150
	crestTime    = 3 * time.Second
	crestShare   = 0.9
	crestRate    = crestShare * crestSlots * float64(time.Second) / float64(crestWork)
)

// replayCrest replays the load. The agent treats the endpoint as one with the given number of
// slots.
func replayCrest(agentSlots int) crestResult {
	c := &crest{
		now: time.Second, random: rand.New(rand.NewPCG(1, 2)), slots: crestSlots,
		running: make(map[*crestCaller]Timestamp), events: make(map[Timestamp][]func()),
	}
	c.table = NewAgentTable(c.now, agentSlots, simFlowLifetime, true)
	for i := range crestBacklog + int(crestRate*crestTime.Seconds()) {
		begun := c.now
		if i >= crestBacklog {
			begun += time.Duration(float64(i-crestBacklog) / crestRate * float64(time.Second)).Truncate(time.Millisecond)
		}
		c.begin(begun, begun, crestTries)
	}
	for end := c.now + crestTime + 6*time.Second; c.now < end; c.now += time.Millisecond {
		for _, event := range c.events[c.now] {
			event()
		}
		c.finish()
		c.start()
	}
	return c.result
}

func (c *crest) at(t Timestamp, event func()) { c.events[t] = append(c.events[t], event) }

// begin schedules the opening packets of a caller's attempt.
func (c *crest) begin(first, begun Timestamp, tries int) {
	caller := &crestCaller{key: callerKey(len(c.callers)), first: first, begun: begun, tries: tries - 1}
	c.callers = append(c.callers, caller)
	for copies, delay := range []time.Duration{0, firstCopyDelay, lastCopyDelay} {
		c.at(caller.begun+delay, func() {
			if caller.admitted {
				return
			}
			p := Packet{Flow: caller.key, Opening: true, Copy: uint32(copies)}
			if c.table.FromBalancer(c.now, p, Delivery{}, nil).Action == Deliver {
				c.accept(caller)
			}
		})
	}
	c.at(caller.begun+openingPatience, func() {
		if !caller.admitted {
			c.tryAgain(caller)
		}
	})
}

// tryAgain begins a caller's next attempt, if it has one.
func (c *crest) tryAgain(caller *crestCaller) {
	if caller.tries == 0 {
		c.result.failed++
		return
	}
	c.begin(caller.first, c.now+crestPause, caller.tries)
}

// accept opens a flow at the endpoint; its caller sends the request after a round trip.
func (c *crest) accept(caller *crestCaller) {
	if caller.admitted || c.now-caller.begun >= openingPatience {
		return
	}
	caller.admitted = true
	c.table.FromEndpoint(c.now, Packet{Flow: caller.key, Accepting: true, Sequence: 1000})
	c.at(c.now+crestRTT, func() {
		c.table.FromBalancer(c.now, Packet{Flow: caller.key, Acknowledged: 1001, Sequence: 1, Data: 300}, Delivery{}, nil)
		if len(c.queue) >= crestQueue {
			c.result.refusals++
			c.answer(caller)
			c.tryAgain(caller)
			return
		}
		c.queue = append(c.queue, caller)
	})
}

// answer ends a caller's request, after which the agent admits flows that wait.
func (c *crest) answer(caller *crestCaller) {
	c.table.FromEndpoint(c.now, Packet{Flow: caller.key, Data: 100, Closing: true})
	for _, a := range c.table.AdmitWaiting(c.now) {
		for _, other := range c.callers {
			if other.key == a.Flow {
				c.accept(other)
			}
		}
	}
}

func (c *crest) finish() {
	for caller, until := range c.running {
		if until > c.now {
			continue
		}
		delete(c.running, caller)
		if c.now-caller.first <= crestTarget {
			c.result.inTime++
		} else {
			c.result.late++
		}
		c.answer(caller)
	}
}

func (c *crest) start() {
	for len(c.running) < c.slots && len(c.queue) > 0 {
		work := time.Duration((0.5 + c.random.Float64()) * float64(crestWork))
		c.running[c.queue[0]] = c.now + work
		c.queue = c.queue[1:]
	}
}

// While more is requested than an endpoint can do, opening packets wait at the agent, and the
// newest come first. Without, the queue of the endpoint makes nearly every request late, and
// those that it refuses lose a retry.
func TestOpeningsWaitWhileEndpointIsSaturated(t *testing.T) {
	const unlimited = 1000
	without, with := replayCrest(unlimited), replayCrest(crestSlots)
	t.Logf("without waiting %+v, with waiting %+v", without, with)
	must.EqOp(t, 0, with.refusals)
	must.GreaterEq(t, 2*without.inTime, with.inTime)
	must.LessEq(t, without.failed, with.failed)
	// With perfect knowledge, all callers but the backlog could be served in time.
	ideal := int(crestRate * crestTime.Seconds())
	must.GreaterEq(t, ideal*crestIdealShare/100, with.inTime)
}

// crestIdealShare is the least share, in percent, of the answers that perfect knowledge would
// give in time.
const crestIdealShare = 95

// Waiting openings are admitted as the endpoint answers, and dropped once their callers have
// given up.
func TestWaitingOpeningIsAdmittedOrExpires(t *testing.T) {
	now := time.Second
	agent := NewAgentTable(now, 1, simFlowLifetime, true)
	open := func(i int, copies uint32) Verdict {
		return agent.FromBalancer(now, Packet{Flow: callerKey(i), Opening: true, Copy: copies}, Delivery{}, []byte{byte(i)})
	}
	for i := range saturation {
		must.EqOp(t, Deliver, open(i, 0).Action)
	}
	must.Eq(t, Verdict{Action: Drop, Reason: OpeningWaits, Hops: 1}, open(8, 0))
	must.EqOp(t, OpeningWaits, open(9, 2).Reason)
	must.EqOp(t, 2, agent.Usage(now).Waiting)
	must.SliceEmpty(t, agent.AdmitWaiting(now))
	// The flows that were admitted have sent no request in time: others take their place.
	now += admissionTime + 1
	admitted := agent.AdmitWaiting(now)
	must.Len(t, 2, admitted)
	must.EqOp(t, callerKey(8), admitted[0].Flow, must.Sprint("the newest first"))
	must.Eq(t, []byte{8}, admitted[0].Datagram)
	must.EqOp(t, OpeningWaits, open(10, 1).Reason)
	now += openingPatience - firstCopyDelay
	must.SliceEmpty(t, agent.AdmitWaiting(now))
	must.EqOp(t, 0, agent.Usage(now).Waiting)
}

// A caller whose flow another endpoint accepted meanwhile leaves the queue.
func TestWaitingFlowThatOpenedElsewhereIsDenied(t *testing.T) {
	now := time.Second
	agent := NewAgentTable(now, 1, simFlowLifetime, true)
	for i := range saturation + 1 {
		agent.FromBalancer(now, Packet{Flow: callerKey(i), Opening: true}, Delivery{}, nil)
	}
	must.EqOp(t, Denies, agent.Query(now, Query{Flow: callerKey(saturation)}))
	v := agent.FromBalancer(now, Packet{Flow: callerKey(saturation), Acknowledged: 77, Data: 10}, Delivery{}, nil)
	must.EqOp(t, Return, v.Action)
	must.EqOp(t, 0, agent.Usage(now).Waiting)
}
