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

// world is a small system: callers, balancers with Picks, agents with Held, and
// endpoints as the packet protocol has them. Messages between them are delivered
// in any order, some of them not at all.
type world struct {
	t         *rapid.T
	now       Stamp
	table     *Map
	balancers []*Picks
	agents    []*worldAgent
	callers   []*worldCaller
	queue     []message
	lossy     bool
	packets   []Packet
}

type worldAgent struct {
	address  Address
	held     *Held
	endpoint *worldEndpoint
}

// worldEndpoint is the truth about its flows.
type worldEndpoint struct {
	next uint32
	half map[Key]uint32
	open map[Key]bool
	// starts has the sequence of every flow that it accepted.
	starts map[Key]uint32
	full   bool
	got    map[Key]int
	wrong  map[Key]int
}

// worldCaller opens one flow and sends on it.
type worldCaller struct {
	flow Key
	// taken is the sequence of the acceptance that it took, or 0.
	taken  uint32
	reset  bool
	copies uint32
}

// message is on its way: to does what its arrival brings about.
type message struct {
	what string
	to   func()
}

const (
	worldService  = 443
	worldLifetime = time.Minute
)

func newWorld(t *rapid.T, agents, balancers int) *world {
	w := &world{t: t, now: time.Second}
	service := &Service{Name: "orders", Tag: 1}
	w.table = NewMap()
	w.table.Complete = true
	w.table.Current = func() Stamp { return w.now }
	for i := range agents {
		a := &worldAgent{address: Address{IP: [4]byte{10, 0, 0, byte(i + 1)}, Port: 7}, endpoint: newWorldEndpoint(uint32(i))}
		a.held = NewHeld(w.now, 2, worldLifetime, true)
		w.agents = append(w.agents, a)
		site := NewSite(a.address, service, placement.Candidate{Gauge: new(placement.Gauge), Slots: 2, Learned: w.now, Remote: i%2 == 1})
		service.Takers = append(service.Takers, site)
		service.Candidates = append(service.Candidates, &site.Candidate)
		service.Holders = append(service.Holders, site)
		w.table.Agents[a.address] = site
	}
	w.table.Routes[serviceAddress] = &Route{Shares: []Share{{Service: service, Weight: 1}}, Weight: 1}
	for range balancers {
		w.balancers = append(w.balancers, newTestPicks())
	}
	return w
}

var serviceAddress = Address{IP: [4]byte{198, 18, 0, 1}, Port: worldService}

func newTestPicks() *Picks { return NewPicks(worldLifetime, rand.New(rand.NewPCG(1, 2))) }

func newWorldEndpoint(seed uint32) *worldEndpoint {
	return &worldEndpoint{
		next: (seed + 1) << 24, half: make(map[Key]uint32), open: make(map[Key]bool), starts: make(map[Key]uint32),
		got: make(map[Key]int), wrong: make(map[Key]int),
	}
}

func (w *world) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, name) }

func (w *world) post(what string, to func()) {
	if w.lossy && w.draw("lost", 12) == 0 {
		w.t.Logf("lost: %s", what)
		return
	}
	w.queue = append(w.queue, message{what: what, to: to})
}

// deliver lets one message arrive.
func (w *world) deliver() {
	if len(w.queue) == 0 {
		return
	}
	i := w.draw("message", len(w.queue))
	m := w.queue[i]
	w.queue = append(w.queue[:i], w.queue[i+1:]...)
	w.t.Logf("%v %s", w.now, m.what)
	m.to()
}

func (w *world) settle() {
	const most = 2000
	for range most {
		if len(w.queue) == 0 {
			return
		}
		w.deliver()
	}
	w.t.Fatalf("messages go round: %s", w.queue[0].what)
}

// caller opens a flow, or sends a copy of its opening packet.
func (w *world) open(c *worldCaller) {
	if c.taken != 0 || c.reset || c.copies > lastCopy {
		return
	}
	p := Packet{Flow: c.flow, Opening: true, Copy: c.copies}
	c.copies++
	w.toBalancer(p)
}

func (w *world) send(c *worldCaller) {
	if c.taken != 0 && !c.reset {
		w.toBalancer(Packet{Flow: c.flow, Acknowledged: c.taken + 1, Data: 100})
	}
}

func (w *world) toBalancer(p Packet) {
	b := w.draw("balancer", len(w.balancers))
	w.post(fmt.Sprintf("%v opening=%v to balancer %d", p.Flow, p.Opening, b), func() {
		w.carryOut(b, p, w.balancers[b].FromCaller(w.now, p, w.table, w.datagram(p)), 0)
	})
}

func (w *world) carryOut(b int, p Packet, d Decision, hops uint8) {
	if d.End {
		w.reset(d.Reset)
		return
	}
	from := Address{IP: [4]byte{10, 1, 0, byte(b + 1)}, Port: 7}
	if !d.To.IsZero() {
		w.toAgent(d.To, p, Delivery{Balancer: from, Alternative: d.Alternative, Hops: hops})
	}
	for _, agent := range d.All {
		w.toAgent(agent, p, Delivery{Balancer: from, Search: true, Hops: hops})
	}
}

func (w *world) toAgent(to Address, p Packet, d Delivery) {
	a := w.agents[to.IP[3]-1]
	w.post(fmt.Sprintf("%v opening=%v search=%v to agent %v", p.Flow, p.Opening, d.Search, to), func() {
		w.follow(a, p, d.Balancer, a.held.FromBalancer(w.now, p, d, []byte{1}))
	})
}

func (w *world) follow(a *worldAgent, p Packet, balancer Address, v Verdict) {
	b := 0
	if v.Move == Return || v.Move == Deny {
		b = int(v.To.IP[3] - 1)
	}
	switch v.Move {
	case Deliver:
		w.toEndpoint(a, p)
	case Pass:
		w.toAgent(v.To, p, Delivery{Balancer: balancer, Hops: v.Hops})
	case Return:
		w.post(fmt.Sprintf("%v returned by %v", p.Flow, a.address), func() {
			w.carryOut(b, p, w.balancers[b].Returned(w.now, p, a.address, Delivery{Hops: v.Hops, Silent: v.Reason == EndpointSilent}, w.table, w.datagram(p)), v.Hops)
		})
	case Deny:
		w.post(fmt.Sprintf("%v denied by %v", p.Flow, a.address), func() {
			d, datagram := w.balancers[b].Denied(w.now, p.Flow, a.address, w.table)
			if datagram != nil {
				p = w.packetOf(datagram)
			}
			w.carryOut(b, p, d, 0)
		})
	case End:
		w.reset(v.Reset)
	case ToCaller:
		w.toCaller(p)
	}
	if !v.Tell.IsZero() {
		owner := v.Owner
		if owner.IsZero() {
			owner = a.address
		}
		b := int(v.Tell.IP[3] - 1)
		w.post(fmt.Sprintf("%v is at %v", p.Flow, owner), func() {
			for _, datagram := range w.balancers[b].Found(w.now, p.Flow, owner, 0) {
				w.carryOut(b, w.packetOf(datagram), Decision{To: owner}, 0)
			}
		})
	}
}

// datagram stands for a packet's bytes.
func (w *world) datagram(p Packet) []byte {
	w.packets = append(w.packets, p)
	return binary.BigEndian.AppendUint32(nil, uint32(len(w.packets)-1))
}

func (w *world) packetOf(datagram []byte) Packet { return w.packets[binary.BigEndian.Uint32(datagram)] }

// toEndpoint is on one machine: it arrives at once, in order.
func (w *world) toEndpoint(a *worldAgent, p Packet) {
	e := a.endpoint
	if p.Opening {
		if e.full && e.starts[p.Flow] == 0 {
			w.bounce(a, p)
			return
		}
		if e.starts[p.Flow] == 0 {
			e.next += 1 << 20
			e.half[p.Flow], e.starts[p.Flow] = e.next, e.next
		}
		w.fromEndpoint(a, Packet{Flow: p.Flow, Accepting: true, Sequence: e.starts[p.Flow]})
		return
	}
	if start := e.half[p.Flow]; start != 0 && p.Acknowledged-start <= acceptWindow {
		delete(e.half, p.Flow)
		e.open[p.Flow] = true
	}
	if !e.open[p.Flow] {
		e.wrong[p.Flow]++
		w.bounce(a, p)
		return
	}
	e.got[p.Flow]++
	w.fromEndpoint(a, Packet{Flow: p.Flow, Data: 10})
}

func (w *world) bounce(a *worldAgent, p Packet) {
	p.Bounced = true
	w.fromEndpoint(a, p)
}

func (w *world) fromEndpoint(a *worldAgent, p Packet) {
	v := a.held.FromEndpoint(w.now, p)
	p.Bounced = false
	w.follow(a, p, v.Balancer, v)
}

func (w *world) toCaller(p Packet) {
	c := w.callerOf(p.Flow)
	w.post(fmt.Sprintf("%v accepting=%v to caller", p.Flow, p.Accepting), func() {
		if p.Accepting && c.taken == 0 && !c.reset {
			c.taken = p.Sequence
		}
	})
}

// reset checks that nothing is lost by it: no endpoint holds the flow open.
func (w *world) reset(r Reset) {
	if c := w.callerOf(r.Flow); r.Acknowledged == 0 && c.taken != 0 {
		return // the caller does not heed it
	}
	for _, a := range w.agents {
		if a.endpoint.open[r.Flow] {
			w.t.Fatalf("reset of %v, which is open at %v", r.Flow, a.address)
		}
	}
	if c := w.callerOf(r.Flow); c.taken != 0 && w.heldBy(c) != nil {
		w.t.Fatalf("reset of %v, whose acceptance an endpoint keeps", r.Flow)
	}
	w.callerOf(r.Flow).reset = true
}

// heldBy returns the agent of the endpoint whose acceptance the caller took, if
// that endpoint still knows it.
func (w *world) heldBy(c *worldCaller) *worldAgent {
	for _, a := range w.agents {
		if a.endpoint.open[c.flow] || c.taken != 0 && a.endpoint.half[c.flow] == c.taken {
			return a
		}
	}
	return nil
}

func (w *world) callerOf(key Key) *worldCaller {
	return w.callers[int(key.Caller.Port)-1]
}

func (w *world) newCaller() {
	flow := Key{Caller: Address{IP: [4]byte{100, 64, 0, 1}, Port: uint16(len(w.callers) + 1)}, Service: serviceAddress}
	w.callers = append(w.callers, &worldCaller{flow: flow})
}

func (w *world) pick() *worldCaller { return w.callers[w.draw("caller", len(w.callers))] }

// step does one thing that can happen at any moment.
func (w *world) step() {
	actions := []func(){
		w.deliver, w.deliver, w.deliver, w.deliver, w.deliver, w.deliver,
		func() { w.open(w.pick()) },
		func() { w.open(w.pick()) },
		func() { w.send(w.pick()) },
		func() { w.send(w.pick()) },
		w.restartBalancer, w.restartAgent, w.crash, w.fill, w.elapse,
	}
	actions[w.draw("action", len(actions))]()
}

func (w *world) restartBalancer() {
	w.balancers[w.draw("restarted balancer", len(w.balancers))] = newTestPicks()
}

// restartAgent loses the agent's table; its endpoint goes on.
func (w *world) restartAgent() {
	a := w.agents[w.draw("restarted agent", len(w.agents))]
	a.held = NewHeld(w.now, 2, worldLifetime, false)
}

// crash loses all flows of an endpoint, which starts anew.
func (w *world) crash() {
	if w.draw("crash", 4) == 0 {
		a := w.agents[w.draw("crashed", len(w.agents))]
		next := a.endpoint.next
		a.endpoint = newWorldEndpoint(0)
		a.endpoint.next = next
	}
}

func (w *world) fill() {
	e := w.agents[w.draw("filled", len(w.agents))].endpoint
	e.full = !e.full
}

func (w *world) elapse() {
	longest := 100
	if w.draw("long", 8) == 0 {
		longest = 3000
	}
	w.now += time.Duration(w.draw("ms", longest)) * time.Millisecond
	for _, a := range w.agents {
		for _, u := range a.held.Tick(w.now) {
			w.follow(a, Packet{Flow: u.Flow, Opening: true}, u.Verdict.Balancer, u.Verdict)
		}
		if w.draw("heard", 3) > 0 {
			w.report(a)
		}
	}
}

// report lets the balancers hear of an agent; the gauge stands for both.
func (w *world) report(a *worldAgent) {
	gauge := w.table.Agents[a.address].Gauge
	if heard := gauge.Alive(w.now); !heard {
		for b, picks := range w.balancers {
			for _, again := range picks.Heard(w.now, a.address, w.table) {
				w.carryOut(b, again.Packet, again.Decision, 0)
			}
		}
	}
	gauge.Report(w.now, placement.Usage{})
}

// No flow that an endpoint holds is reset, whatever is lost, restarted or
// delivered late; and once messages arrive again, a packet of a flow reaches the
// endpoint that holds it.
func TestFlowsAreFoundAndNeverResetInError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playWorld(t, 3, 3, 120) })
}

// playWorld plays steps of a world with agents and callers, and then looks for their
// flows.
func playWorld(t *rapid.T, agents, callers, steps int) {
	w := newWorld(t, agents, 2)
	w.lossy = rapid.Bool().Draw(t, "lossy")
	for range callers {
		w.newCaller()
	}
	for range rapid.IntRange(10, steps).Draw(t, "steps") {
		w.step()
	}
	w.lossy = false
	w.settle()
	for _, c := range w.callers {
		w.mustReach(c)
	}
}

// The same for a service that is too large to be searched as a whole at once.
func TestFlowsOfALargeServiceAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playWorld(t, preferAll+4, 2, 60) })
}

// mustReach sends on a flow until it is found: a caller repeats its packet too.
func (w *world) mustReach(c *worldCaller) {
	holder := w.heldBy(c)
	if c.taken == 0 || c.reset || holder == nil {
		return
	}
	before := holder.endpoint.got[c.flow]
	const repeats = 3
	for range repeats {
		w.now += searchTime + time.Millisecond
		w.send(c)
		w.settle()
		if holder.endpoint.got[c.flow] > before {
			return
		}
	}
	w.t.Fatalf("%v is open at %v, which none of %d packets reached", c.flow, holder.address, repeats)
}
