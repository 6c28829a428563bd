package flow

import (
	queue "container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// returnLoad replays the load after a loss of power in virtual time: callers that waited come
// back within outageSpread to endpoints that are cold, then others arrive. Each caller opens a
// flow, with copies of its opening packet, and sends one request; if the flow does not open
// or the request is refused, it tries again on a new flow.
type returnLoad struct {
	now     Timestamp
	random  *rand.Rand
	agents  []*returnAgent
	events  replayEvents
	callers int
	kinds   []returnKind
	result  []returnResult
	cold    Timestamp
}

// returnKind is a class of requests with its part of the arrivals.
type returnKind struct {
	name  string
	class Class
	work  Timestamp
	rate  float64
	worth float64
}

const (
	outageAgents  = 49
	outageSlots   = 3
	outageQueue   = 12
	outageCold    = 2 * time.Second
	outageFactor  = 1.6
	outageBacklog = 1800
	outageSpread  = 200 * time.Millisecond
	outageLength  = 6 * time.Second
	outageShare   = 0.8
	outageTries   = 3
	outageRTT     = 6 * time.Millisecond
	lateWorth     = 0.3
)

var outageKinds = []returnKind{
	{"feed", Class{2, true, 300 * time.Millisecond, 1500 * time.Millisecond}, 40 * time.Millisecond, 1312, 1},
	{"tickets", Class{1, false, 400 * time.Millisecond, 2000 * time.Millisecond}, 52 * time.Millisecond, 375, 2},
	{"downloads", Class{3, true, 800 * time.Millisecond, 4000 * time.Millisecond}, 5 * time.Millisecond, 112, 1},
}

// returnAgent is an agent with its endpoint, which works in order of arrival.
type returnAgent struct {
	table   *AgentTable
	running int
	queue   []*returnCaller
	waiting map[Key]*returnCaller
}

type returnCaller struct {
	kind     int
	key      Key
	first    Timestamp
	begun    Timestamp
	tries    int
	agent    *returnAgent
	admitted bool
	ended    bool
}

// returnResult counts a class's callers by outcome, and resets of waiting openings.
type returnResult struct{ onTime, late, failed, refused int }

func (r returnResult) callers() int { return r.onTime + r.late + r.failed }

func newReturnLoad(kinds []returnKind, order func() openingOrder) *returnLoad {
	l := &returnLoad{now: 10 * time.Second, random: rand.New(rand.NewPCG(7, 8)), kinds: kinds, result: make([]returnResult, len(kinds))}
	l.cold = l.now + outageCold
	for range outageAgents {
		a := &returnAgent{table: NewAgentTable(l.now, outageSlots, time.Minute, true), waiting: make(map[Key]*returnCaller)}
		if order != nil {
			a.table.waiting.order = order()
		}
		l.agents = append(l.agents, a)
	}
	return l
}

func (l *returnLoad) at(t Timestamp, run func()) { queue.Push(&l.events, replayEvent{t, run}) }

// arrival is a caller's first attempt.
type arrival struct {
	at   Timestamp
	kind int
}

// arrivals returns the callers that come back and those that follow.
func (l *returnLoad) arrivals() []arrival {
	total, work := 0.0, 0.0
	for _, k := range outageKinds {
		total += k.rate
		work += k.rate * k.work.Seconds()
	}
	scale := outageShare * outageAgents * outageSlots / work
	var all []arrival
	for kind, k := range l.kinds {
		for range int(outageBacklog * k.rate / total) {
			all = append(all, arrival{l.now + Timestamp(l.random.Int64N(int64(outageSpread))), kind})
		}
		for at := l.now; at < l.now+outageLength; at += Timestamp(l.random.ExpFloat64() / (scale * k.rate) * float64(time.Second)) {
			all = append(all, arrival{at, kind})
		}
	}
	return all
}

func replayReturn(kinds []returnKind, order func() openingOrder) []returnResult {
	l := newReturnLoad(kinds, order)
	for _, a := range l.arrivals() {
		l.at(a.at, func() { l.begin(a.kind, a.at, outageTries) })
	}
	for _, a := range l.agents {
		l.tick(a)
	}
	for end := l.now + outageLength + 8*time.Second; l.now < end; {
		next := queue.Pop(&l.events).(replayEvent)
		l.now = next.at
		next.run()
	}
	return l.result
}

// tick runs an agent's periodic work.
func (l *returnLoad) tick(a *returnAgent) {
	l.admit(a)
	l.at(l.now+100*time.Millisecond, func() { l.tick(a) })
}

// place returns the less loaded of two random agents.
func (l *returnLoad) place() *returnAgent {
	a, b := l.agents[l.random.IntN(len(l.agents))], l.agents[l.random.IntN(len(l.agents))]
	if b.table.running+len(b.table.waiting.flows) < a.table.running+len(a.table.waiting.flows) {
		return b
	}
	return a
}

// begin begins a caller's attempt.
func (l *returnLoad) begin(kind int, first Timestamp, tries int) {
	l.callers++
	key := Key{Caller: Address{IP: [4]byte{100, byte(l.callers >> 16), byte(l.callers >> 8), byte(l.callers)}, Port: 1024}, Service: serviceAddress}
	c := &returnCaller{kind: kind, key: key, first: first, begun: l.now, tries: tries - 1, agent: l.place()}
	for copies, delay := range []time.Duration{0, firstCopyDelay, lastCopyDelay} {
		l.at(l.now+delay, func() { l.sendOpening(c, uint32(copies)) })
	}
	l.at(l.now+openingPatience, func() { l.tryAgain(c) })
}

func (l *returnLoad) sendOpening(c *returnCaller, copies uint32) {
	if c.admitted || c.ended {
		return
	}
	c.agent.waiting[c.key] = c
	p := Packet{Flow: c.key, Opening: true, Copy: copies}
	if c.agent.table.FromBalancer(l.now, p, Delivery{Class: l.kinds[c.kind].class}, nil).Action == Deliver {
		l.accept(c)
	}
	l.admit(c.agent)
}

// tryAgain begins a caller's next attempt, if it has one and its flow has not opened.
func (l *returnLoad) tryAgain(c *returnCaller) {
	if c.admitted || c.ended {
		return
	}
	l.retry(c)
}

func (l *returnLoad) retry(c *returnCaller) {
	c.ended = true
	delete(c.agent.waiting, c.key)
	if c.tries == 0 || l.now-c.first >= l.kinds[c.kind].class.Limit {
		l.result[c.kind].failed++
		return
	}
	l.begin(c.kind, c.first, c.tries)
}

// accept opens a flow at the endpoint; its caller sends the request after a round trip.
func (l *returnLoad) accept(c *returnCaller) {
	if c.ended || c.admitted {
		return
	}
	c.admitted = true
	c.agent.table.FromEndpoint(l.now, Packet{Flow: c.key, Accepting: true, Sequence: 1000})
	l.at(l.now+outageRTT, func() {
		c.agent.table.FromBalancer(l.now, Packet{Flow: c.key, Acknowledged: 1001, Sequence: 1, Data: 300}, Delivery{}, nil)
		if len(c.agent.queue) >= outageQueue {
			l.answer(c)
			l.retry(c)
			return
		}
		c.agent.queue = append(c.agent.queue, c)
		l.start(c.agent)
	})
}

// start runs the requests that the endpoint has slots for.
func (l *returnLoad) start(a *returnAgent) {
	for a.running < outageSlots && len(a.queue) > 0 {
		c := a.queue[0]
		a.queue = a.queue[1:]
		a.running++
		work := (0.5 + l.random.Float64()) * float64(l.kinds[c.kind].work)
		if l.now < l.cold {
			work *= outageFactor
		}
		l.at(l.now+Timestamp(work), func() {
			a.running--
			class := l.kinds[c.kind].class
			switch took := l.now - c.first + outageRTT/2; {
			case took <= class.Goal:
				l.result[c.kind].onTime++
			case took <= class.Limit:
				l.result[c.kind].late++
			default:
				l.result[c.kind].failed++
			}
			c.ended = true
			l.answer(c)
			l.start(a)
		})
	}
}

// answer ends a caller's request, after which the agent admits flows that wait.
func (l *returnLoad) answer(c *returnCaller) {
	c.agent.table.FromEndpoint(l.now, Packet{Flow: c.key, Data: 100, Closing: true})
	delete(c.agent.waiting, c.key)
	l.admit(c.agent)
}

func (l *returnLoad) admit(a *returnAgent) {
	for _, o := range a.table.AdmitWaiting(l.now) {
		c := a.waiting[o.Flow]
		if c == nil {
			continue
		}
		if o.Verdict.Action == SendReset {
			l.result[c.kind].refused++
			l.tryAgain(c)
			continue
		}
		l.accept(c)
	}
}

// newestFirst is the order before classes.
type newestFirst struct{}

func (newestFirst) next(_ Timestamp, waiting []waitingOpening) int        { return len(waiting) - 1 }
func (newestFirst) delivered(Timestamp, Class)                            {}
func (newestFirst) hopeless(Timestamp, []waitingOpening) []waitingOpening { return nil }
func (newestFirst) answered(Timestamp, Class, Request)                    {}
func (newestFirst) setSlots(int)                                          {}

// earliestDeadline delivers the opening whose goal is nearest and can still be met, else the
// one whose limit is nearest.
type earliestDeadline struct{ *classOrder }

func (o earliestDeadline) next(now Timestamp, waiting []waitingOpening) int {
	best, bestLate, deadline := -1, false, Timestamp(0)
	for i, w := range waiting {
		late := now+o.timeToAnswer(now, w.class)-w.begun > w.class.Goal
		due := w.begun + w.class.Goal
		if late {
			due = w.begun + w.class.Limit
		}
		if best < 0 || late != bestLate && !late || late == bestLate && due < deadline {
			best, bestLate, deadline = i, late, due
		}
	}
	return best
}

// strictPriority delivers the newest opening of the most urgent priority.
type strictPriority struct{ *classOrder }

func (o strictPriority) next(_ Timestamp, waiting []waitingOpening) int {
	best := 0
	for i, w := range waiting {
		if w.class.Priority <= waiting[best].class.Priority {
			best = i
		}
	}
	return best
}

var returnOrders = []struct {
	name  string
	order func() openingOrder
}{
	{"newest first (before)", func() openingOrder { return newestFirst{} }},
	{"classes", func() openingOrder { return newClassOrder(outageSlots) }},
	{"earliest deadline", func() openingOrder { return earliestDeadline{newClassOrder(outageSlots)} }},
	{"strict priority", func() openingOrder { return strictPriority{newClassOrder(outageSlots)} }},
}

// perfectReturn serves the load with perfect knowledge: all slots as one, no losses and no
// round trips. It accepts requests by worth for their work, on time first, while the time
// between their arrival and their deadline has room.
func perfectReturn(kinds []returnKind) []returnResult {
	const step = 5 * time.Millisecond
	l := newReturnLoad(kinds, nil)
	begin := l.now
	all := l.arrivals()
	room := make([]float64, (outageLength+5*time.Second)/step)
	for i := range room {
		room[i] = outageAgents * outageSlots * step.Seconds()
		if Timestamp(i)*step < outageCold {
			room[i] /= outageFactor
		}
	}
	// fit takes a request's work from the latest steps before its deadline.
	fit := func(a arrival, within Timestamp) bool {
		need, from, to := kinds[a.kind].work.Seconds(), int((a.at-begin)/step)+1, int((a.at-begin+within)/step)
		taken := make(map[int]float64)
		for i := min(to, len(room)) - 1; i >= from && need > 1e-9; i-- {
			part := min(need, room[i])
			taken[i], need = part, need-part
		}
		if need > 1e-9 {
			return false
		}
		for i, part := range taken {
			room[i] -= part
		}
		return true
	}
	density := func(a arrival) float64 { return kinds[a.kind].worth / kinds[a.kind].work.Seconds() }
	slices.SortStableFunc(all, func(a, b arrival) int {
		if density(a) != density(b) {
			return int(density(b) - density(a))
		}
		return int(a.at - b.at)
	})
	result := make([]returnResult, len(kinds))
	var rest []arrival
	for _, a := range all {
		if fit(a, kinds[a.kind].class.Goal) {
			result[a.kind].onTime++
		} else {
			rest = append(rest, a)
		}
	}
	for _, a := range rest {
		if fit(a, kinds[a.kind].class.Limit) {
			result[a.kind].late++
		} else {
			result[a.kind].failed++
		}
	}
	return result
}

// worthOf returns the worth of the results as a share of what all on time would be.
func worthOf(kinds []returnKind, results []returnResult) float64 {
	got, all := 0.0, 0.0
	for i, r := range results {
		got += kinds[i].worth * (float64(r.onTime) + lateWorth*float64(r.late))
		all += kinds[i].worth * float64(r.callers())
	}
	return got / all
}

func formatReturn(kinds []returnKind, results []returnResult) string {
	text := fmt.Sprintf("worth %.3f", worthOf(kinds, results))
	for i, r := range results {
		text += fmt.Sprintf("; %s %d on time, %d late, %d failed (%d resets)", kinds[i].name, r.onTime, r.late, r.failed, r.refused)
	}
	return text
}

// After a loss of power, requests that can still be answered in time must not wait behind
// those that cannot, urgent ones must not fail for others, and no class may starve.
func TestClassesAfterLossOfPower(t *testing.T) {
	results := make(map[string][]returnResult)
	for _, o := range returnOrders {
		results[o.name] = replayReturn(outageKinds, o.order)
		t.Logf("%s: %s", o.name, formatReturn(outageKinds, results[o.name]))
	}
	perfect := perfectReturn(outageKinds)
	t.Logf("perfect knowledge: %s", formatReturn(outageKinds, perfect))
	before, classes := results[returnOrders[0].name], results[returnOrders[1].name]
	for name, other := range results {
		must.GreaterEq(t, worthOf(outageKinds, other), worthOf(outageKinds, classes), must.Sprint(name))
	}
	must.GreaterEq(t, 0.92*worthOf(outageKinds, perfect), worthOf(outageKinds, classes))
	for i, name := range []string{"feed", "tickets", "downloads"} {
		if name == "feed" {
			must.GreaterEq(t, before[i].onTime*9/10, classes[i].onTime)
			continue
		}
		must.EqOp(t, 0, classes[i].failed, must.Sprint(name))
		must.GreaterEq(t, before[i].onTime, classes[i].onTime)
	}
}

// Without classes, as from balancers of older builds, or with one that states no goal, the
// order is the one before.
func TestReturnWithoutClassesIsServedAsBefore(t *testing.T) {
	for name, class := range map[string]Class{"none": {}, "goal 0": {Priority: 1, Limit: time.Second}} {
		kinds := slices.Clone(outageKinds)
		for i := range kinds {
			kinds[i].class = class
			kinds[i].class.Limit = time.Second // the callers' limit
		}
		before := replayReturn(kinds, returnOrders[0].order)
		must.Eq(t, before, replayReturn(kinds, nil), must.Sprint(name))
	}
}

// If all requests are of one class, the newest comes first as before; only the refusals of
// those that cannot be served are new.
func TestReturnOfOneClassIsServedNewestFirst(t *testing.T) {
	order := newClassOrder(outageSlots)
	var waiting waitingOpenings
	for i := range 50 {
		waiting.add(callerKey(i), time.Second+Timestamp(i), testClass)
	}
	for len(waiting.flows) > 0 {
		last := len(waiting.flows) - 1
		must.EqOp(t, last, order.next(time.Second+100, waiting.flows))
		order.delivered(time.Second+100, testClass)
		waiting.flows = waiting.flows[:last]
	}
}

// A class that requests many times what the endpoints can do must leave the others their
// guaranteed share.
func TestFloodOfOneClassLeavesOthersTheirShare(t *testing.T) {
	kinds := slices.Clone(outageKinds)
	kinds[1].rate *= 8
	results := replayReturn(kinds, nil)
	t.Log(formatReturn(kinds, results))
	strict := replayReturn(kinds, returnOrders[3].order)
	t.Log(formatReturn(kinds, strict))
	must.GreaterEq(t, results[2].callers()*9/10, results[2].onTime)
	must.Greater(t, 2*strict[0].onTime, results[0].onTime)
}
