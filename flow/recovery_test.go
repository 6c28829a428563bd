package flow

import (
	simheap "container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// lostFlows is a balancer after a loss of power of all VMs, as one of 24: callers use flows that
// nobody holds, and some that endpoints hold, whose packets came to another balancer before.
// Datagrams to agents take as long as on the first deployment of the work page, and the
// balancer works on one at a time.
type lostFlows struct {
	now         Timestamp
	events      simEvents
	sequence    int
	routing     *RoutingTable
	assignments *Assignments
	agents      map[Address]*AgentTable
	// busyUntil is until when the balancer works on datagrams.
	busyUntil Timestamp
	// queryBatches are the queries that wait to be sent, as in packetbalancer.
	queryBatches map[Address][]Query
	bulkTimer    bool

	firstSent map[Key]Timestamp
	ended     map[Key]Timestamp
	found     map[Key]Timestamp
	traffic   lostFlowTraffic
}

// lostFlowTraffic is what the balancer exchanged with agents, with UDP and IP headers.
type lostFlowTraffic struct{ sent, received, bytes int }

const (
	lostFlowEndpointsA, lostFlowEndpointsB = 49, 12
	// workPerDatagram is 20 microseconds of a core on a balancer with a fifth of a core.
	workPerDatagram = 100 * time.Microsecond
	datagramHeader  = 28
	lostPacketSize  = 934
)

type simEvent struct {
	at       Timestamp
	sequence int
	run      func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (l *lostFlows) after(delay time.Duration, run func()) {
	l.sequence++
	simheap.Push(&l.events, simEvent{at: l.now + delay, sequence: l.sequence, run: run})
}

// newLostFlows sets up two services, between which the route is split, and agents that know
// their flows and hold some that this balancer has not seen.
func newLostFlows(bulk bool, flowsHeld int) *lostFlows {
	l := &lostFlows{
		now: time.Minute, assignments: newTestAssignments(), agents: make(map[Address]*AgentTable), queryBatches: make(map[Address][]Query),
		firstSent: make(map[Key]Timestamp), ended: make(map[Key]Timestamp), found: make(map[Key]Timestamp),
	}
	l.routing = NewRoutingTable()
	l.routing.Complete, l.routing.CurrentAt = true, func() Timestamp { return l.now }
	a, b := &Service{Name: "a", ID: 1, Tag: 1}, &Service{Name: "b", Tag: 3}
	for i := range lostFlowEndpointsA + lostFlowEndpointsB {
		service := a
		if i >= lostFlowEndpointsA {
			service = b
		}
		endpoint := NewEndpoint(agentAt(i), service, placement.Candidate{AgentLoad: new(placement.AgentLoad), Slots: 3, Remote: i%3 != 0})
		endpoint.Accept()
		service.Holders = append(service.Holders, endpoint)
		l.routing.Agents[endpoint.Agent] = endpoint
		table := NewAgentTable(l.now, 3, simFlowLifetime, true)
		l.agents[endpoint.Agent] = table
		for n := range flowsHeld {
			l.open(endpoint.Agent, callerKey(20_000+i*flowsHeld+n))
		}
		l.report(endpoint.Agent, bulk)
	}
	l.routing.Routes[serviceAddress] = &Route{Shares: []Share{{Service: a, Weight: 90}, {Service: b, Weight: 10}}, Weight: 100}
	l.checkSearches()
	return l
}

func (l *lostFlows) open(agent Address, key Key) {
	table := l.agents[agent]
	table.FromBalancer(l.now, Packet{Flow: key, Opening: true}, Delivery{}, nil)
	table.FromEndpoint(l.now, Packet{Flow: key, Accepting: true, Sequence: 1000})
	table.FromBalancer(l.now, Packet{Flow: key, Acknowledged: 1001}, Delivery{}, nil)
}

func (l *lostFlows) report(agent Address, bulk bool) {
	l.routing.Agents[agent].AgentLoad.Report(l.now, placement.Usage{FlowsKnown: true, BulkQueries: bulk})
	l.after(100*time.Millisecond, func() { l.report(agent, bulk) })
}

// checkSearches is packetbalancer's periodic check.
func (l *lostFlows) checkSearches() {
	retried, _ := l.assignments.RetrySearches(l.now, l.routing)
	for _, r := range retried {
		l.apply(r.Packet, r.Decision)
	}
	l.after(20*time.Millisecond, l.checkSearches)
}

// received runs a step of the balancer once it has worked on the datagrams before.
func (l *lostFlows) received(run func()) {
	l.busyUntil = max(l.busyUntil, l.now) + workPerDatagram
	l.after(l.busyUntil-l.now, run)
}

// sent sends a datagram to an agent, which answers at once, and counts both.
func (l *lostFlows) sent(agent Address, size int, deliver func() (answerSize int, receive func())) {
	l.traffic.sent++
	l.traffic.bytes += size + datagramHeader
	l.busyUntil = max(l.busyUntil, l.now) + workPerDatagram
	latency := 200 * time.Microsecond
	if l.routing.Agents[agent].Remote {
		latency = 1400 * time.Microsecond
	}
	l.after(l.busyUntil-l.now+latency, func() {
		answerSize, receive := deliver()
		if receive == nil {
			return
		}
		l.traffic.received++
		l.traffic.bytes += answerSize + datagramHeader
		l.after(latency, func() { l.received(receive) })
	})
}

// send sends a caller's packet, and again after each pause until the flow ends or is found.
func (l *lostFlows) send(key Key, pauses []time.Duration) {
	if l.firstSent[key] == 0 {
		l.firstSent[key] = l.now
	}
	if l.ended[key] != 0 || l.found[key] != 0 {
		return
	}
	packet := Packet{Flow: key, Acknowledged: 1001, Data: 900}
	l.received(func() {
		l.apply(packet, l.assignments.FromCaller(l.now, packet, l.routing, make([]byte, lostPacketSize)))
	})
	if len(pauses) > 0 {
		l.after(pauses[0], func() { l.send(key, pauses[1:]) })
	}
}

func (l *lostFlows) apply(packet Packet, d Decision) {
	if d.SendReset && l.ended[packet.Flow] == 0 {
		l.ended[packet.Flow] = l.now
	}
	if !d.To.IsZero() {
		l.deliver(d.To, packet, Delivery{})
	}
	for _, agent := range d.SearchAgents {
		l.deliver(agent, packet, Delivery{Search: true})
	}
	for _, agent := range d.QueryAgents {
		if len(l.queryBatches) == 0 {
			l.after(2*time.Millisecond, l.sendQueries)
		}
		l.queryBatches[agent] = append(l.queryBatches[agent], d.Query)
	}
	if d.BulkQueried > 0 {
		l.scheduleBulk()
	}
}

func (l *lostFlows) foundAt(key Key, agent Address) {
	if l.found[key] == 0 {
		l.found[key] = l.now
	}
	for range l.assignments.Found(l.now, key, agent, nil) {
		l.deliver(agent, Packet{Flow: key, Acknowledged: 1001}, Delivery{})
	}
}

func (l *lostFlows) denied(key Key, agent Address) {
	d, _ := l.assignments.Denied(l.now, key, agent, l.routing)
	l.apply(Packet{Flow: key, Acknowledged: 1001}, d)
}

// deliver sends a caller's packet to an agent.
func (l *lostFlows) deliver(agent Address, packet Packet, d Delivery) {
	d.Balancer = Address{Port: 9}
	l.sent(agent, lostPacketSize+17, func() (int, func()) {
		v := l.agents[agent].FromBalancer(l.now, packet, d, nil)
		switch {
		case v.Action == Deny:
			return 28, func() { l.denied(packet.Flow, agent) }
		case v.Action == Deliver && d.Search:
			return 28, func() { l.foundAt(packet.Flow, agent) }
		}
		return 0, nil
	})
}

func (l *lostFlows) sendQueries() {
	batches := l.queryBatches
	l.queryBatches = make(map[Address][]Query)
	for agent, batch := range batches {
		l.sent(agent, 5+16*len(batch), func() (int, func()) {
			var held, denied []Key
			for _, q := range batch {
				if l.agents[agent].Query(l.now, q) == Holds {
					held = append(held, q.Flow)
				} else {
					denied = append(denied, q.Flow)
				}
			}
			return 5 + 12*len(batch), func() {
				for _, key := range held {
					l.foundAt(key, agent)
				}
				for _, key := range denied {
					l.denied(key, agent)
				}
			}
		})
	}
}

func (l *lostFlows) scheduleBulk() {
	due := l.assignments.BulkDueAt()
	if due == 0 || l.bulkTimer {
		return
	}
	l.bulkTimer = true
	l.after(max(due-l.now, 0), func() {
		l.bulkTimer = false
		for _, d := range l.assignments.FlushBulk(l.now) {
			l.sent(d.Agent, 16+4*len(d.Fingerprints), func() (int, func()) {
				answer := l.agents[d.Agent].BulkQuery(l.now, d.BulkQuery)
				return 18 + 12*len(answer.Held) + 4*len(answer.Unsure), func() { l.bulkAnswered(d.Agent, answer) }
			})
		}
		l.scheduleBulk()
	})
}

func (l *lostFlows) bulkAnswered(agent Address, answer BulkAnswer) {
	held, next := l.assignments.BulkAnswered(l.now, agent, answer, l.routing)
	for _, key := range held {
		l.foundAt(key, agent)
	}
	for _, r := range next {
		l.apply(r.Packet, r.Decision)
	}
}

// run lets callers use lost flows within the given time, and moves flows that endpoints hold to
// this balancer meanwhile. It returns how long callers waited for resets, in order.
func (l *lostFlows) run(lost, moved int, within time.Duration) []time.Duration {
	pauses := []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}
	agents := make([]Address, 0, len(l.agents))
	for i := range len(l.agents) {
		agents = append(agents, agentAt(i))
	}
	for i := range lost {
		l.after(within*time.Duration(i)/time.Duration(lost), func() { l.send(callerKey(i), pauses) })
	}
	for i := range moved {
		key := callerKey(10_000 + i)
		l.after(within*time.Duration(i)/time.Duration(moved), func() {
			l.open(agents[i%len(agents)], key) // through another balancer, a moment ago
			l.send(key, pauses)
		})
	}
	for end := l.now + within + 5*time.Second; len(l.events) > 0 && l.events[0].at < end; {
		next := simheap.Pop(&l.events).(simEvent)
		l.now = next.at
		next.run()
	}
	waits := make([]time.Duration, 0, lost)
	for i := range lost {
		if at := l.ended[callerKey(i)]; at != 0 {
			waits = append(waits, at-l.firstSent[callerKey(i)])
		}
	}
	slices.Sort(waits)
	return waits
}

// Once all VMs have returned, callers of 3,600 flows that nobody holds send within a second through 24
// balancers with 10 Mbit/s and a fifth of a core: 150 each. With a query for each flow and agent, a
// balancer was busy for seconds, and callers waited for that.
func TestLostFlowsEndSoonOnASmallBalancer(t *testing.T) {
	const lost, moved = 150, 20
	for _, bulk := range []bool{false, true} {
		for _, held := range []int{0, 30} {
			for _, within := range []time.Duration{200 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprintf("bulk=%t held=%d within=%v", bulk, held, within), func(t *testing.T) {
					l := newLostFlows(bulk, held)
					waits := l.run(lost, moved, within)
					must.Len(t, lost, waits)
					t.Logf("%d datagrams sent, %d received, %d bytes; reset after %v (median), %v (99 of 100), %v at most",
						l.traffic.sent, l.traffic.received, l.traffic.bytes, waits[lost/2], waits[lost*99/100], waits[lost-1])
					slowest := time.Duration(0)
					for i := range moved {
						key := callerKey(10_000 + i)
						must.EqOp(t, 0, l.ended[key], must.Sprint("a flow that an endpoint holds was reset"))
						must.NotEqOp(t, 0, l.found[key])
						slowest = max(slowest, l.found[key]-l.firstSent[key])
					}
					t.Logf("moved flows are found after %v at most", slowest)
					if bulk {
						must.Less(t, 400*time.Millisecond, waits[lost-1])
						must.Less(t, 4000, l.traffic.sent)
					}
				})
			}
		}
	}
}

// After a balancer was added, 300 flows that endpoints hold move to it within a second. Collecting
// queries must not make their callers wait for longer than separate queries do.
func TestMovedFlowsAreFoundAsSoonInBulk(t *testing.T) {
	const moved = 300
	slowest := make(map[bool]time.Duration)
	for _, bulk := range []bool{false, true} {
		l := newLostFlows(bulk, 30)
		l.run(0, moved, time.Second)
		var waits []time.Duration
		for i := range moved {
			key := callerKey(10_000 + i)
			must.EqOp(t, 0, l.ended[key])
			must.NotEqOp(t, 0, l.found[key])
			waits = append(waits, l.found[key]-l.firstSent[key])
		}
		slices.Sort(waits)
		t.Logf("bulk=%t: %d datagrams sent, %d bytes; found after %v (median), %v at most", bulk, l.traffic.sent, l.traffic.bytes, waits[moved/2], waits[moved-1])
		slowest[bulk] = waits[moved-1]
	}
	must.LessEq(t, slowest[false], slowest[true])
	must.Less(t, 200*time.Millisecond, slowest[true])
}
