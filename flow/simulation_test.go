package flow

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactustray/placement"

	"pgregory.net/rapid"
)

// simulation is a small system: callers, balancers and agents with their tables, and
// endpoints that follow the packet protocol. Messages between them are delivered in any
// order, and some are lost.
type simulation struct {
	t         *rapid.T
	now       Timestamp
	table     *RoutingTable
	balancers []*Assignments
	agents    []*simAgent
	callers   []*simCaller
	queue     []message
	lossy     bool
	// saturated is true if endpoints may be saturated, so that openings wait at agents.
	saturated bool
	packets   []Packet
	// started counts the balancers that were started.
	started uint64
	// bulk is true if balancers query agents in bulk, as after many lost flows.
	bulk bool
}

type simAgent struct {
	address   Address
	flowTable *AgentTable
	endpoint  *simEndpoint
}

// simEndpoint is the authority on its flows.
type simEndpoint struct {
	startedAt Timestamp
	next      uint32
	halfOpen  map[Key]uint32
	open      map[Key]bool
	// sequences has the initial sequence number of every flow that the endpoint
	// accepted.
	sequences map[Key]uint32
	full      bool
	delivered map[Key]int
	rejected  map[Key]int
}

// simCaller opens one flow and sends on it.
type simCaller struct {
	flow Key
	// acceptedSequence is the sequence number of the acceptance that the caller took,
	// or 0.
	acceptedSequence uint32
	reset            bool
	copies           uint32
}

// message is in transit; arrive delivers it.
type message struct {
	description string
	arrive      func()
}

const (
	simServicePort  = 443
	simFlowLifetime = time.Minute
)

func newSimulation(t *rapid.T, agents, balancers int) *simulation {
	s := &simulation{t: t, now: time.Second}
	service := &Service{Name: "orders", ID: 1, Tag: 1}
	s.table = NewRoutingTable()
	s.table.Complete = true
	s.table.CurrentAt = func() Timestamp { return s.now }
	s.addAgents(service, agents)
	s.table.Routes[serviceAddress] = &Route{Shares: []Share{{Service: service, Weight: 1}}, Weight: 1}
	for range balancers {
		s.balancers = append(s.balancers, s.newBalancer())
	}
	return s
}

// addAgents adds a number of agents, with their endpoints, to a service.
func (s *simulation) addAgents(service *Service, agents int) {
	for range agents {
		i := len(s.agents)
		a := &simAgent{address: Address{IP: [4]byte{10, 0, 0, byte(i + 1)}, Port: 7}, endpoint: newSimEndpoint(uint32(i))}
		a.flowTable = NewAgentTable(s.now, 2, simFlowLifetime, true)
		s.agents = append(s.agents, a)
		endpoint := NewEndpoint(a.address, service, placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: 2, AddedAt: s.now, Remote: i%2 == 1})
		endpoint.ConfirmedFrom = s.now // the registry lists it as long as it lives
		service.Accepting = append(service.Accepting, endpoint)
		service.Candidates = append(service.Candidates, &endpoint.Candidate)
		service.Holders = append(service.Holders, endpoint)
		s.table.Agents[a.address] = endpoint
	}
}

var serviceAddress = Address{IP: [4]byte{198, 18, 0, 1}, Port: simServicePort}

func newTestAssignments() *Assignments {
	return NewAssignments(simFlowLifetime, rand.New(rand.NewPCG(1, 2)))
}

// newBalancer returns a balancer with random numbers of its own.
func (s *simulation) newBalancer() *Assignments {
	s.started++
	return NewAssignments(simFlowLifetime, rand.New(rand.NewPCG(s.started, 2)))
}

func newSimEndpoint(seed uint32) *simEndpoint {
	return &simEndpoint{
		next: (seed + 1) << 24, halfOpen: make(map[Key]uint32), open: make(map[Key]bool), sequences: make(map[Key]uint32),
		delivered: make(map[Key]int), rejected: make(map[Key]int),
	}
}

func (s *simulation) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(s.t, name) }

func (s *simulation) enqueue(description string, arrive func()) {
	if s.lossy && s.draw("lost", 12) == 0 {
		s.t.Logf("lost: %s", description)
		return
	}
	s.queue = append(s.queue, message{description: description, arrive: arrive})
}

// deliver delivers one message.
func (s *simulation) deliver() {
	if len(s.queue) == 0 {
		return
	}
	i := s.draw("message", len(s.queue))
	m := s.queue[i]
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
	s.t.Logf("%v %s", s.now, m.description)
	m.arrive()
}

func (s *simulation) settle() {
	const maxMessages = 2000
	for range maxMessages {
		if len(s.queue) == 0 {
			return
		}
		s.deliver()
	}
	s.t.Fatalf("messages circulate without end: %s", s.queue[0].description)
}

// open sends the opening packet of a caller's flow, or a copy of it.
func (s *simulation) open(c *simCaller) {
	if c.acceptedSequence != 0 || c.reset || c.copies > lastCopy {
		return
	}
	p := Packet{Flow: c.flow, Opening: true, Copy: c.copies}
	c.copies++
	s.toBalancer(p)
}

func (s *simulation) send(c *simCaller) {
	if c.acceptedSequence != 0 && !c.reset {
		s.toBalancer(Packet{Flow: c.flow, Acknowledged: c.acceptedSequence + 1, Data: 100})
	}
}

func (s *simulation) toBalancer(p Packet) {
	b := s.draw("balancer", len(s.balancers))
	s.enqueue(fmt.Sprintf("%v opening=%v to balancer %d", p.Flow, p.Opening, b), func() {
		if s.bulk {
			s.balancers[b].bulk.lost = lostThreshold
		}
		s.applyDecision(b, p, s.balancers[b].FromCaller(s.now, p, s.table, s.datagram(p)), 0)
	})
}

func (s *simulation) applyDecision(b int, p Packet, d Decision, hops uint8) {
	if d.SendReset {
		s.reset(d.Reset)
		return
	}
	if p.Opening && d.Reason == Opened {
		s.mustBePresent(d.To)
		if !d.Alternate.IsZero() {
			s.mustBePresent(d.Alternate)
		}
	}
	from := Address{IP: [4]byte{10, 1, 0, byte(b + 1)}, Port: 7}
	if !d.To.IsZero() {
		delivery := Delivery{Balancer: from, Alternate: d.Alternate, Hops: hops}
		if d.StatesClass {
			delivery.Class = d.Class
		}
		s.toAgent(d.To, p, delivery)
	}
	for _, agent := range d.SearchAgents {
		s.toAgent(agent, p, Delivery{Balancer: from, Search: true, Hops: hops})
	}
	for _, agent := range d.QueryAgents {
		s.query(b, agent, d.Query)
	}
	if d.BulkQueried > 0 {
		s.flushBulk(b)
	}
}

func (s *simulation) toAgent(to Address, p Packet, d Delivery) {
	a := s.agents[to.IP[3]-1]
	s.enqueue(fmt.Sprintf("%v opening=%v search=%v to agent %v", p.Flow, p.Opening, d.Search, to), func() {
		s.applyVerdict(a, p, d.Balancer, a.flowTable.FromBalancer(s.now, p, d, []byte{1}))
	})
}

func (s *simulation) applyVerdict(a *simAgent, p Packet, balancer Address, v Verdict) {
	b := 0
	if v.Action == Return || v.Action == Deny {
		b = int(v.To.IP[3] - 1)
	}
	switch v.Action {
	case Deliver:
		s.toEndpoint(a, p)
	case ForwardToAgent:
		s.toAgent(v.To, p, Delivery{Balancer: balancer, Hops: v.Hops, Class: v.Class})
	case Return:
		s.enqueue(fmt.Sprintf("%v returned by %v", p.Flow, a.address), func() {
			s.applyDecision(b, p, s.balancers[b].Returned(s.now, p, a.address, Delivery{Hops: v.Hops, Silent: v.Reason == EndpointSilent}, s.table, s.datagram(p)), v.Hops)
		})
	case Deny:
		s.enqueue(fmt.Sprintf("%v denied by %v", p.Flow, a.address), func() {
			d, datagram := s.balancers[b].Denied(s.now, p.Flow, a.address, s.table)
			s.continueSearch(b, p.Flow, d, datagram)
		})
	case SendReset:
		s.reset(v.Reset)
	case ToCaller:
		s.toCaller(p)
	}
	if !v.Notify.IsZero() {
		owner := v.Owner
		if owner.IsZero() {
			owner = a.address
		}
		b := int(v.Notify.IP[3] - 1)
		s.enqueue(fmt.Sprintf("%v is at %v", p.Flow, owner), func() {
			s.found(b, p.Flow, owner)
		})
	}
}

// datagram returns bytes that stand for a packet; packetOf returns that packet.
func (s *simulation) datagram(p Packet) []byte {
	s.packets = append(s.packets, p)
	return binary.BigEndian.AppendUint32(nil, uint32(len(s.packets)-1))
}

func (s *simulation) packetOf(datagram []byte) Packet {
	return s.packets[binary.BigEndian.Uint32(datagram)]
}

// toEndpoint delivers a packet at once and in order, since agent and endpoint share a
// machine.
func (s *simulation) toEndpoint(a *simAgent, p Packet) {
	e := a.endpoint
	if p.Opening {
		if e.full && e.sequences[p.Flow] == 0 {
			s.returnPacket(a, p)
			return
		}
		if e.sequences[p.Flow] == 0 {
			e.next += 1 << 20
			e.halfOpen[p.Flow], e.sequences[p.Flow] = e.next, e.next
		}
		s.fromEndpoint(a, Packet{Flow: p.Flow, Accepting: true, Sequence: e.sequences[p.Flow]})
		return
	}
	if start := e.halfOpen[p.Flow]; start != 0 && p.Acknowledged-start <= acceptWindow {
		delete(e.halfOpen, p.Flow)
		e.open[p.Flow] = true
	}
	if !e.open[p.Flow] {
		e.rejected[p.Flow]++
		s.returnPacket(a, p)
		return
	}
	e.delivered[p.Flow]++
	s.fromEndpoint(a, Packet{Flow: p.Flow, Data: 10})
}

func (s *simulation) returnPacket(a *simAgent, p Packet) {
	p.ReturnedByEndpoint = true
	s.fromEndpoint(a, p)
}

func (s *simulation) fromEndpoint(a *simAgent, p Packet) {
	v := a.flowTable.FromEndpoint(s.now, p)
	p.ReturnedByEndpoint = false
	s.applyVerdict(a, p, v.Balancer, v)
}

func (s *simulation) toCaller(p Packet) {
	c := s.callerOf(p.Flow)
	s.enqueue(fmt.Sprintf("%v accepting=%v to caller", p.Flow, p.Accepting), func() {
		if p.Accepting && c.acceptedSequence == 0 && !c.reset {
			c.acceptedSequence = p.Sequence
		}
	})
}

// reset checks that no endpoint holds the flow that a reset ends: neither open nor with
// the acceptance that the caller took.
func (s *simulation) reset(r Reset) {
	if c := s.callerOf(r.Flow); r.Acknowledged == 0 && c.acceptedSequence != 0 {
		return // the caller ignores it
	}
	for _, a := range s.agents {
		if a.endpoint.open[r.Flow] {
			s.t.Fatalf("reset of %v, which is open at %v", r.Flow, a.address)
		}
	}
	if c := s.callerOf(r.Flow); c.acceptedSequence != 0 && s.holderOf(c) != nil {
		s.t.Fatalf("reset of %v, whose acceptance an endpoint still holds", r.Flow)
	}
	s.callerOf(r.Flow).reset = true
}

// holderOf returns the agent of the endpoint that holds the flow open or whose
// acceptance the caller took, if that endpoint still knows the flow.
func (s *simulation) holderOf(c *simCaller) *simAgent {
	for _, a := range s.agents {
		if a.endpoint.open[c.flow] || c.acceptedSequence != 0 && a.endpoint.halfOpen[c.flow] == c.acceptedSequence {
			return a
		}
	}
	return nil
}

func (s *simulation) callerOf(key Key) *simCaller {
	return s.callers[int(key.Caller.Port)-1]
}

func (s *simulation) newCaller() {
	flow := Key{Caller: Address{IP: [4]byte{100, 64, 0, 1}, Port: uint16(len(s.callers) + 1)}, Service: serviceAddress}
	s.callers = append(s.callers, &simCaller{flow: flow})
}

func (s *simulation) randomCaller() *simCaller { return s.callers[s.draw("caller", len(s.callers))] }

// step does one thing that can happen at any time.
func (s *simulation) step() {
	actions := []func(){
		s.deliver, s.deliver, s.deliver, s.deliver, s.deliver, s.deliver,
		func() { s.open(s.randomCaller()) },
		func() { s.open(s.randomCaller()) },
		func() { s.send(s.randomCaller()) },
		func() { s.send(s.randomCaller()) },
		s.restartBalancer, s.restartAgent, s.crash, s.toggleFull, s.advance,
	}
	actions[s.draw("action", len(actions))]()
}

func (s *simulation) restartBalancer() {
	s.balancers[s.draw("restarted balancer", len(s.balancers))] = s.newBalancer()
}

// restartAgent discards the agent's table; its endpoint continues to run.
func (s *simulation) restartAgent() {
	a := s.agents[s.draw("restarted agent", len(s.agents))]
	a.flowTable = NewAgentTable(s.now, 2, simFlowLifetime, false)
}

// crash discards all flows of an endpoint, which starts anew.
func (s *simulation) crash() {
	if s.draw("crash", 4) == 0 {
		a := s.agents[s.draw("crashed", len(s.agents))]
		next := a.endpoint.next
		a.endpoint = newSimEndpoint(0)
		a.endpoint.next, a.endpoint.startedAt = next, s.now
	}
}

func (s *simulation) toggleFull() {
	e := s.agents[s.draw("filled", len(s.agents))].endpoint
	e.full = !e.full
}

func (s *simulation) advance() {
	longest := 100
	if s.draw("long", 8) == 0 {
		longest = 3000
	}
	s.now += time.Duration(s.draw("ms", longest)) * time.Millisecond
	for _, a := range s.agents {
		for _, u := range a.flowTable.Tick(s.now) {
			s.applyVerdict(a, Packet{Flow: u.Flow, Opening: true}, u.Verdict.Balancer, u.Verdict)
		}
		if s.saturated {
			s.admitWaiting(a)
		}
		if s.draw("report", 3) > 0 {
			s.report(a)
		}
	}
	s.retrySearches()
}

// report delivers a report of an agent to all balancers, which share its load. Distant agents
// do not report.
func (s *simulation) report(a *simAgent) {
	load := s.table.Agents[a.address].AgentLoad
	if s.table.Agents[a.address].Distant {
		if a.flowTable.startedAt < a.endpoint.startedAt {
			a.flowTable.ConfirmComplete(1)
		}
		return
	}
	if alive := load.Alive(s.now); !alive {
		for b, assignments := range s.balancers {
			for _, resend := range assignments.AgentReported(s.now, a.address, s.table) {
				s.applyDecision(b, resend.Packet, resend.Decision, 0)
			}
		}
	}
	usage := placement.Usage{FlowsKnown: a.flowTable.FlowsKnown(s.now), BulkQueries: s.bulk}
	if s.saturated {
		usage.Running = s.draw("running", 4)
	}
	load.Report(s.now, usage)
	if a.flowTable.startedAt < a.endpoint.startedAt {
		a.flowTable.ConfirmComplete(1)
	}
}

// No flow that an endpoint holds is reset, whatever is lost, restarted or delivered
// late. Once messages arrive again, a packet of a flow reaches the endpoint that holds
// it.
func TestFlowsAreFoundAndNeverResetInError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, 3, 3, 120) })
}

// runSimulation runs random steps of a simulation with agents and callers, and then
// checks that the callers' flows can be reached.
func runSimulation(t *rapid.T, agents, callers, steps int) {
	s := newSimulation(t, agents, 2)
	s.bulk = rapid.Bool().Draw(t, "bulk")
	s.lossy = rapid.Bool().Draw(t, "lossy")
	for range callers {
		s.newCaller()
	}
	for range rapid.IntRange(10, steps).Draw(t, "steps") {
		s.step()
	}
	s.lossy = false
	s.settle()
	for _, c := range s.callers {
		s.mustReach(c)
	}
}

// As TestFlowsAreFoundAndNeverResetInError, for a service that is too large to be searched
// as a whole at once.
func TestFlowsOfALargeServiceAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, preferenceThreshold+4, 2, 60) })
}

// mustReach sends on a flow until a packet reaches its endpoint, as a caller repeats
// its packet too.
func (s *simulation) mustReach(c *simCaller) {
	holder := s.holderOf(c)
	if c.acceptedSequence == 0 || c.reset || holder == nil {
		return
	}
	before := holder.endpoint.delivered[c.flow]
	const repeats = 3
	for range repeats {
		s.now += searchTimeout + time.Millisecond
		s.send(c)
		s.settle()
		for range 8 {
			s.now += retryInterval
			s.retrySearches()
			s.settle()
		}
		if holder.endpoint.delivered[c.flow] > before {
			return
		}
	}
	s.t.Fatalf("%v is open at %v, which none of %d packets reached", c.flow, holder.address, repeats)
}
