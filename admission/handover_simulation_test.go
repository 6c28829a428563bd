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
	s := &simulation{t: t, now: start, requests: make(map[RequestID]*tracked), requesters: make(map[SlotRequestID]int)}
	for i := range simulatedAgents {
		s.nodes = append(s.nodes, s.boot(i))
	}
	return s
}

func (s *simulation) boot(i int) *node {
	random := rand.New(rand.NewPCG(uint64(i), 7))
	limits := Limits{Slots: simulatedSlots, QueueTime: 2 * time.Second}
	a := &node{index: i, lastTick: s.now, requestIDs: make(map[ticket.EndpointKey]SlotRequestID), running: make(map[RequestID]*tracked)}
	a.state = NewState(s.now, limits, random, func(v Violation) { s.violations = append(s.violations, v) })
	var peers []ticket.EndpointKey
	for other := range simulatedAgents {
		if other != i {
			peers = append(peers, ticket.EndpointKey(other+1))
		}
	}
	a.state.SetPeers(s.now, peers)
	return a
}

func (s *simulation) send(text string, to int, deliver func(*node)) {
	s.inFlight = append(s.inFlight, envelope{text: text, to: to, deliver: deliver})
}

// reportOutcome reports the outcome of a request to its caller. It fails on a
// second outcome, and on "not run" for a request that ran.
func (s *simulation) reportOutcome(r *tracked, reported callerOutcome) {
	if r.outcome != pending {
		s.t.Fatalf("request %d had two outcomes reported", r.id)
	}
	if reported == outcomeNotRun && r.runs > 0 {
		s.t.Fatalf("request %d was reported as not run, but ran", r.id)
	}
	r.outcome = reported
}

func (s *simulation) apply(a *node, out Outputs) {
	for _, d := range out.Decisions {
		s.decided(a, d)
	}
	for _, g := range out.Grants {
		from := a.index
		s.send("grant", s.requesters[g.SlotRequest], func(to *node) { s.offered(to, from, g) })
	}
	for _, peer := range out.WithdrawFrom {
		id := a.requestIDs[peer]
		s.send("withdraw", int(peer-1), func(to *node) { to.state.SlotWithdrawn(id) })
	}
	for _, peer := range out.RequestFrom {
		s.lastID++
		id := SlotRequestID(s.lastID)
		s.requesters[id] = a.index
		a.requestIDs[peer] = id
		waited := a.state.OldestWait(s.now)
		s.send("request slot", int(peer-1), func(to *node) { s.apply(to, to.state.SlotRequested(s.now, id, waited)) })
	}
}

func (s *simulation) offered(to *node, from int, g Grant) {
	out, used := to.state.SlotOffered(s.now, ticket.EndpointKey(from+1), g.Reservation)
	s.apply(to, out)
	if !used {
		s.send("decline", from, func(at *node) { s.apply(at, at.state.ReservationDeclined(s.now, g.Reservation)) })
	}
}

func (s *simulation) decided(a *node, d Decision) {
	s.t.Logf("agent %d decides %+v", a.index, d)
	r := s.requests[d.ID]
	switch {
	case d.Peer != 0:
		s.handOver(a, r, d)
	case d.Refusal != None && r.owner == a.index:
		s.reportOutcome(r, outcomeNotRun)
	case d.Refusal != None:
		attempt := r.attempt
		s.send("not run", r.owner, func(to *node) { s.apply(to, to.state.Return(s.now, r.id, attempt)) })
	default:
		r.runs++
		if r.runs > 1 {
			s.t.Fatalf("request %d ran twice", r.id)
		}
		if !s.now.Before(r.deadline) {
			s.t.Fatalf("request %d was dispatched after its deadline", r.id)
		}
		a.running[r.id] = r
		if len(a.running) > simulatedSlots {
			s.t.Fatalf("agent %d runs %d jobs", a.index, len(a.running))
		}
	}
}

// handOver sends a request to a peer. HTTP never duplicates a request, so the
// message may be lost, delayed or reordered, but a second delivery has no
// effect.
func (s *simulation) handOver(a *node, r *tracked, d Decision) {
	request := Request{ID: r.id, Deadline: r.deadline, Reservation: d.Reservation}
	arrived := false
	r.attempt, r.transferred = d.Attempt, true
	s.send(fmt.Sprintf("request %d", r.id), int(d.Peer-1), func(to *node) {
		if arrived {
			return
		}
		arrived = true
		s.apply(to, to.state.Arrive(s.now, request))
	})
}

// arrive sends a request to a live agent. It is one of the actions that rapid
// draws.
func (s *simulation) arrive() {
	a := s.node()
	if a == nil {
		return
	}
	s.lastID++
	r := &tracked{id: RequestID(s.lastID), owner: a.index}
	r.deadline = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "deadline")) * time.Millisecond)
	s.requests[r.id] = r
	s.apply(a, a.state.Arrive(s.now, Request{ID: r.id, Deadline: r.deadline}))
}

// node draws an agent. It returns nil if the agent is dead or paused.
func (s *simulation) node() *node {
	a := s.nodes[rapid.IntRange(0, simulatedAgents-1).Draw(s.t, "agent")]
	if a.dead || a.paused {
		return nil
	}
	return a
}

func (s *simulation) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "message")
	e := s.inFlight[i]
	switch rapid.IntRange(0, 9).Draw(s.t, "duplicate") {
	case 0: // duplicated
	default:
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	}
	s.receive(e)
}

func (s *simulation) receive(e envelope) {
	to := s.nodes[e.to]
	switch {
	case to.dead:
	case to.paused:
		to.inbox = append(to.inbox, e)
	default:
		s.t.Logf("%s to agent %d", e.text, e.to)
		e.deliver(to)
	}
}

func (s *simulation) lose() {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "lost")
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
}

func (s *simulation) finish() {
	a := s.node()
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
	s.apply(a, a.state.Finish(s.now, lowest))
	if r.owner == a.index {
		s.reportOutcome(r, outcomeAnswered)
		return
	}
	answered := false
	s.send(fmt.Sprintf("answer %d", r.id), r.owner, func(to *node) {
		if answered || r.outcome != pending {
			return
		}
		answered = true
		s.apply(to, to.state.Finish(s.now, r.id))
		s.reportOutcome(r, outcomeAnswered)
	})
}

// advance moves the time on and ticks the live agents.
func (s *simulation) advance() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(s.t, "millis")) * time.Millisecond)
	for _, a := range s.nodes {
		if !a.dead && !a.paused {
			s.tick(a)
		}
	}
}

// tick ticks an agent and cancels those of its requests whose deadline has
// passed.
func (s *simulation) tick(a *node) {
	s.apply(a, a.state.Tick(s.now, s.now.Sub(a.lastTick)))
	a.lastTick = s.now
	for id := RequestID(1); id <= RequestID(s.lastID); id++ {
		r := s.requests[id]
		if r == nil || r.owner != a.index || r.outcome != pending || s.now.Before(r.deadline) || a.running[id] != nil {
			continue
		}
		if !r.transferred {
			s.t.Fatalf("request %d has no outcome", r.id)
		}
		s.reportOutcome(r, outcomeUnknown)
		s.apply(a, a.state.Cancel(s.now, id))
	}
}

func (s *simulation) pause() {
	if a := s.node(); a != nil {
		a.paused = true
	}
}

// resume ends all pauses. The messages that arrived meanwhile are applied
// before the first tick, as in a process that reads its inbox first.
func (s *simulation) resume() {
	for _, a := range s.nodes {
		if !a.paused {
			continue
		}
		a.paused = false
		inbox := a.inbox
		a.inbox = nil
		for _, e := range inbox {
			s.receive(e)
		}
		s.tick(a)
	}
}

// kill replaces an agent by a new one without state and breaks the connections
// of its callers.
func (s *simulation) kill() {
	a := s.node()
	if a == nil {
		return
	}
	for _, r := range s.requests {
		if r.owner == a.index && r.outcome == pending {
			r.outcome = outcomeUnknown // the caller's connection broke
		}
	}
	s.nodes[a.index] = s.boot(a.index)
}

// checkFinalState delivers all messages and finishes all jobs. It then checks
// that every request has an outcome and that all slots are free.
func (s *simulation) checkFinalState() {
	s.resume()
	for range 1000 {
		if len(s.inFlight) == 0 && s.idle() {
			break
		}
		for len(s.inFlight) > 0 {
			e := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			s.receive(e)
		}
		for _, a := range s.nodes {
			s.finishAll(a)
		}
		s.now = s.now.Add(100 * time.Millisecond)
		for _, a := range s.nodes {
			s.tick(a)
		}
	}
	for id, r := range s.requests {
		if r.outcome == pending {
			s.t.Fatalf("request %d has no outcome", id)
		}
	}
	for _, a := range s.nodes {
		if free := a.state.FreeSlots(s.now); free != simulatedSlots {
			s.t.Fatalf("agent %d has %d free slots of %d", a.index, free, simulatedSlots)
		}
	}
	if len(s.violations) > 0 {
		s.t.Fatalf("%v", s.violations)
	}
}

func (s *simulation) idle() bool {
	for _, a := range s.nodes {
		if len(a.running) > 0 || a.state.Queued() > 0 {
			return false
		}
	}
	for _, r := range s.requests {
		if r.outcome == pending {
			return false
		}
	}
	return true
}

func (s *simulation) finishAll(a *node) {
	for id := RequestID(1); id <= RequestID(s.lastID); id++ {
		if r := a.running[id]; r != nil {
			delete(a.running, id)
			s.apply(a, a.state.Finish(s.now, id))
			if r.outcome == pending {
				s.reportOutcome(r, outcomeAnswered)
				s.apply(s.nodes[r.owner], s.nodes[r.owner].state.Finish(s.now, id))
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
		s := newSimulation(t)
		actions := []func(){s.arrive, s.arrive, s.arrive, s.deliver, s.deliver, s.deliver, s.deliver,
			s.finish, s.finish, s.advance, s.lose, s.pause, s.resume, s.kill}
		for range rapid.IntRange(1, steps).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
		}
		s.checkFinalState()
		must.SliceEmpty(t, s.violations)
	})
}
