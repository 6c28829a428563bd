package admission

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// stepsVariable is the environment variable that requests a long run: its value
// is the number of steps of each case. Long runs have no fixed seed.
const stepsVariable = "CACTUSTRAY_LONG_STEPS"

// TestMain sets a fixed seed and number of cases, except in long runs. Flags
// override both.
func TestMain(m *testing.M) {
	if os.Getenv(stepsVariable) == "" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "3000")
	}
	flag.Parse()
	os.Exit(m.Run())
}

const (
	simulatedAgents = 3
	simulatedSlots  = 2
	defaultSteps    = 120
)

func caseSteps() int {
	if long, err := strconv.Atoi(os.Getenv(stepsVariable)); err == nil {
		return long
	}
	return defaultSteps
}

// envelope is a message in transit between two agents.
type envelope struct {
	text string
	to   int
	// deliver applies the message to the receiver.
	deliver func(to *node)
}

// node is one agent process.
type node struct {
	index      int
	state      *State
	paused     bool
	dead       bool
	inbox      []envelope
	lastTick   time.Time
	requestIDs map[ticket.EndpointKey]SlotRequestID
	running    map[RequestID]*tracked
}

// callerOutcome is the outcome that was reported to a caller.
type callerOutcome int

const (
	pending callerOutcome = iota
	outcomeAnswered
	outcomeNotRun
	outcomeUnknown
)

// tracked is one request as an external observer sees it.
type tracked struct {
	id       RequestID
	owner    int
	deadline time.Time
	runs     int
	outcome  callerOutcome
	attempt  int
	// transferred is true if the owner has handed the request over.
	transferred bool
}

// simulation connects agents by messages that may be lost, duplicated,
// reordered and delayed.
type simulation struct {
	t          *rapid.T
	now        time.Time
	nodes      []*node
	inFlight   []envelope
	requests   map[RequestID]*tracked
	requesters map[SlotRequestID]int
	lastID     uint64
	violations []Violation
}

func newSimulation(t *rapid.T) *simulation {
	n := &simulation{t: t, now: start, requests: make(map[RequestID]*tracked), requesters: make(map[SlotRequestID]int)}
	for i := range simulatedAgents {
		n.nodes = append(n.nodes, n.boot(i))
	}
	return n
}

func (n *simulation) boot(i int) *node {
	random := rand.New(rand.NewPCG(uint64(i), 7))
	limits := Limits{Slots: simulatedSlots, QueueTime: 2 * time.Second}
	a := &node{index: i, lastTick: n.now, requestIDs: make(map[ticket.EndpointKey]SlotRequestID), running: make(map[RequestID]*tracked)}
	a.state = NewState(n.now, limits, random, func(v Violation) { n.violations = append(n.violations, v) })
	var peers []ticket.EndpointKey
	for other := range simulatedAgents {
		if other != i {
			peers = append(peers, ticket.EndpointKey(other+1))
		}
	}
	a.state.SetPeers(n.now, peers)
	return a
}

func (n *simulation) send(text string, to int, deliver func(*node)) {
	n.inFlight = append(n.inFlight, envelope{text: text, to: to, deliver: deliver})
}

// reportOutcome reports the outcome of a request to its caller. It fails on a
// second outcome, and on "not run" for a request that ran.
func (n *simulation) reportOutcome(r *tracked, reported callerOutcome) {
	if r.outcome != pending {
		n.t.Fatalf("request %d had two outcomes reported", r.id)
	}
	if reported == outcomeNotRun && r.runs > 0 {
		n.t.Fatalf("request %d was reported as not run, but ran", r.id)
	}
	r.outcome = reported
}

func (n *simulation) apply(a *node, out Outputs) {
	for _, d := range out.Decisions {
		n.decided(a, d)
	}
	for _, g := range out.Grants {
		from := a.index
		n.send("granted", n.requesters[g.SlotRequest], func(to *node) { n.offered(to, from, g) })
	}
	for _, peer := range out.WithdrawFrom {
		id := a.requestIDs[peer]
		n.send("withdraw", int(peer-1), func(to *node) { to.state.SlotWithdrawn(id) })
	}
	for _, peer := range out.RequestFrom {
		n.lastID++
		id := SlotRequestID(n.lastID)
		n.requesters[id] = a.index
		a.requestIDs[peer] = id
		waited := a.state.OldestWait(n.now)
		n.send("ask", int(peer-1), func(to *node) { n.apply(to, to.state.SlotRequested(n.now, id, waited)) })
	}
}

func (n *simulation) offered(to *node, from int, g Grant) {
	out, used := to.state.SlotOffered(n.now, ticket.EndpointKey(from+1), g.Reservation)
	n.apply(to, out)
	if !used {
		n.send("decline", from, func(at *node) { n.apply(at, at.state.ReservationDeclined(n.now, g.Reservation)) })
	}
}

func (n *simulation) decided(a *node, d Decision) {
	n.t.Logf("agent %d decides %+v", a.index, d)
	r := n.requests[d.ID]
	switch {
	case d.Peer != 0:
		n.handOver(a, r, d)
	case d.Refusal != None && r.owner == a.index:
		n.reportOutcome(r, outcomeNotRun)
	case d.Refusal != None:
		attempt := r.attempt
		n.send("not run", r.owner, func(to *node) { n.apply(to, to.state.Return(n.now, r.id, attempt)) })
	default:
		r.runs++
		if r.runs > 1 {
			n.t.Fatalf("request %d ran twice", r.id)
		}
		if !n.now.Before(r.deadline) {
			n.t.Fatalf("request %d was dispatched after its deadline", r.id)
		}
		a.running[r.id] = r
		if len(a.running) > simulatedSlots {
			n.t.Fatalf("agent %d runs %d jobs", a.index, len(a.running))
		}
	}
}

// handOver sends a request to a peer. HTTP never duplicates a request, so the
// message may be lost, delayed or reordered, but a second delivery has no
// effect.
func (n *simulation) handOver(a *node, r *tracked, d Decision) {
	request := Request{ID: r.id, Deadline: r.deadline, Reservation: d.Reservation}
	arrived := false
	r.attempt, r.transferred = d.Attempt, true
	n.send(fmt.Sprintf("request %d", r.id), int(d.Peer-1), func(to *node) {
		if arrived {
			return
		}
		arrived = true
		n.apply(to, to.state.Arrive(n.now, request))
	})
}

// arrive sends a request to a live agent. It is one of the actions that rapid
// draws.
func (n *simulation) arrive() {
	a := n.node()
	if a == nil {
		return
	}
	n.lastID++
	r := &tracked{id: RequestID(n.lastID), owner: a.index}
	r.deadline = n.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(n.t, "deadline")) * time.Millisecond)
	n.requests[r.id] = r
	n.apply(a, a.state.Arrive(n.now, Request{ID: r.id, Deadline: r.deadline}))
}

// node draws an agent. It returns nil if the agent is dead or paused.
func (n *simulation) node() *node {
	a := n.nodes[rapid.IntRange(0, simulatedAgents-1).Draw(n.t, "agent")]
	if a.dead || a.paused {
		return nil
	}
	return a
}

func (n *simulation) deliver() {
	if len(n.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.inFlight)-1).Draw(n.t, "message")
	e := n.inFlight[i]
	switch rapid.IntRange(0, 9).Draw(n.t, "duplicate") {
	case 0: // duplicated
	default:
		n.inFlight = append(n.inFlight[:i], n.inFlight[i+1:]...)
	}
	n.receive(e)
}

func (n *simulation) receive(e envelope) {
	to := n.nodes[e.to]
	switch {
	case to.dead:
	case to.paused:
		to.inbox = append(to.inbox, e)
	default:
		n.t.Logf("%s to agent %d", e.text, e.to)
		e.deliver(to)
	}
}

func (n *simulation) lose() {
	if len(n.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.inFlight)-1).Draw(n.t, "lost")
	n.inFlight = append(n.inFlight[:i], n.inFlight[i+1:]...)
}

func (n *simulation) finish() {
	a := n.node()
	if a == nil || len(a.running) == 0 {
		return
	}
	ids := make([]RequestID, 0, len(a.running))
	for id := range a.running {
		ids = append(ids, id)
	}
	lowest := ids[0]
	for _, id := range ids {
		lowest = min(lowest, id)
	}
	r := a.running[lowest]
	delete(a.running, lowest)
	n.apply(a, a.state.Finish(n.now, lowest))
	if r.owner == a.index {
		n.reportOutcome(r, outcomeAnswered)
		return
	}
	answered := false
	n.send(fmt.Sprintf("answer %d", r.id), r.owner, func(to *node) {
		if answered || r.outcome != pending {
			return
		}
		answered = true
		n.apply(to, to.state.Finish(n.now, r.id))
		n.reportOutcome(r, outcomeAnswered)
	})
}

// advance moves the time on and ticks the live agents.
func (n *simulation) advance() {
	n.now = n.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(n.t, "millis")) * time.Millisecond)
	for _, a := range n.nodes {
		if !a.dead && !a.paused {
			n.tick(a)
		}
	}
}

// tick ticks an agent and cancels those of its requests whose deadline has
// passed.
func (n *simulation) tick(a *node) {
	n.apply(a, a.state.Tick(n.now, n.now.Sub(a.lastTick)))
	a.lastTick = n.now
	for id := RequestID(1); id <= RequestID(n.lastID); id++ {
		r := n.requests[id]
		if r == nil || r.owner != a.index || r.outcome != pending || n.now.Before(r.deadline) || a.running[id] != nil {
			continue
		}
		if !r.transferred {
			n.t.Fatalf("request %d has no outcome", r.id)
		}
		n.reportOutcome(r, outcomeUnknown)
		n.apply(a, a.state.Cancel(n.now, id))
	}
}

func (n *simulation) pause() {
	if a := n.node(); a != nil {
		a.paused = true
	}
}

// resume ends all pauses. The messages that arrived meanwhile are applied
// before the first tick, as in a process that reads its inbox first.
func (n *simulation) resume() {
	for _, a := range n.nodes {
		if !a.paused {
			continue
		}
		a.paused = false
		inbox := a.inbox
		a.inbox = nil
		for _, e := range inbox {
			n.receive(e)
		}
		n.tick(a)
	}
}

// kill replaces an agent by a new one without state and breaks the connections
// of its callers.
func (n *simulation) kill() {
	a := n.node()
	if a == nil {
		return
	}
	for _, r := range n.requests {
		if r.owner == a.index && r.outcome == pending {
			r.outcome = outcomeUnknown // the caller's connection broke
		}
	}
	n.nodes[a.index] = n.boot(a.index)
}

// checkFinalState delivers all messages and finishes all jobs. It then checks
// that every request has an outcome and that all slots are free.
func (n *simulation) checkFinalState() {
	n.resume()
	for range 1000 {
		if len(n.inFlight) == 0 && n.idle() {
			break
		}
		for len(n.inFlight) > 0 {
			e := n.inFlight[0]
			n.inFlight = n.inFlight[1:]
			n.receive(e)
		}
		for _, a := range n.nodes {
			n.finishAll(a)
		}
		n.now = n.now.Add(100 * time.Millisecond)
		for _, a := range n.nodes {
			n.tick(a)
		}
	}
	for id, r := range n.requests {
		if r.outcome == pending {
			n.t.Fatalf("request %d has no outcome", id)
		}
	}
	for _, a := range n.nodes {
		if free := a.state.FreeSlots(n.now); free != simulatedSlots {
			n.t.Fatalf("agent %d has %d free slots of %d", a.index, free, simulatedSlots)
		}
	}
	if len(n.violations) > 0 {
		n.t.Fatalf("%v", n.violations)
	}
}

func (n *simulation) idle() bool {
	for _, a := range n.nodes {
		if len(a.running) > 0 || a.state.Queued() > 0 {
			return false
		}
	}
	for _, r := range n.requests {
		if r.outcome == pending {
			return false
		}
	}
	return true
}

func (n *simulation) finishAll(a *node) {
	for id := RequestID(1); id <= RequestID(n.lastID); id++ {
		if r := a.running[id]; r != nil {
			delete(a.running, id)
			n.apply(a, a.state.Finish(n.now, id))
			if r.outcome == pending {
				n.reportOutcome(r, outcomeAnswered)
				n.apply(n.nodes[r.owner], n.nodes[r.owner].state.Finish(n.now, id))
			}
		}
	}
}

// Under message loss, duplication, reordering and delay and under pauses and
// restarts of agents, a request runs at most once, "not run" is reported only
// for requests that did not run, the slots are bounded and never leak, and
// every caller gets exactly one outcome.
func TestHandOverInvariantsHold(t *testing.T) {
	steps := caseSteps()
	rapid.Check(t, func(t *rapid.T) {
		n := newSimulation(t)
		actions := []func(){n.arrive, n.arrive, n.arrive, n.deliver, n.deliver, n.deliver, n.deliver,
			n.finish, n.finish, n.advance, n.lose, n.pause, n.resume, n.kill}
		for range rapid.IntRange(1, steps).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
		}
		n.checkFinalState()
		must.SliceEmpty(t, n.violations)
	})
}
