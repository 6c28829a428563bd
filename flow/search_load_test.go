package flow

import (
	"slices"
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// takeover is a balancer with a slow link to which the fabric moves many open flows at
// once, as after it was added. Every flow is at an endpoint that it does not prefer.
type takeover struct {
	t           *testing.T
	now         Timestamp
	routing     *RoutingTable
	assignments *Assignments
	agents      map[Address]*AgentTable
	found       map[Key]Timestamp
	resets      int
}

func newTakeover(t *testing.T, endpoints, flows int) *takeover {
	routing, service := largeRoutingTable(endpoints)
	w := &takeover{t: t, now: time.Second, routing: routing, assignments: newTestAssignments(), agents: make(map[Address]*AgentTable), found: make(map[Key]Timestamp)}
	for _, endpoint := range service.Holders {
		w.agents[endpoint.Agent] = NewAgentTable(w.now, 2, simFlowLifetime, true)
	}
	for i := range flows {
		preferred := preferredAgents(service.Holders, callerKey(i), searchChoices)
		at := i % endpoints
		for slices.Contains(preferred, service.Holders[at].Agent) {
			at = (at + 1) % endpoints
		}
		w.open(service.Holders[at].Agent, callerKey(i))
	}
	return w
}

// open opens a flow at an agent's endpoint.
func (w *takeover) open(agent Address, key Key) {
	table := w.agents[agent]
	table.FromBalancer(w.now, Packet{Flow: key, Opening: true}, Delivery{}, nil)
	table.FromEndpoint(w.now, Packet{Flow: key, Accepting: true, Sequence: 1000})
	table.FromBalancer(w.now, Packet{Flow: key, Acknowledged: 1001}, Delivery{}, nil)
}

// send sends a caller's data packet through the balancer.
func (w *takeover) send(key Key) {
	packet, datagram := Packet{Flow: key, Acknowledged: 1001, Data: 900}, make([]byte, 934)
	w.apply(key, packet, w.assignments.FromCaller(w.now, packet, w.routing, datagram))
}

func (w *takeover) apply(key Key, packet Packet, d Decision) {
	if d.SendReset {
		w.resets++
	}
	if !d.To.IsZero() {
		w.arrive(d.To, packet, Delivery{})
	}
	for _, agent := range d.SearchAgents {
		w.arrive(agent, packet, Delivery{Search: true})
	}
	for _, agent := range d.QueryAgents {
		w.query(agent, d.Query, packet)
	}
}

// query delivers a query to an agent, and its answer to the balancer.
func (w *takeover) query(agent Address, q Query, packet Packet) {
	if w.agents[agent].Query(w.now, q) == Holds {
		for range w.assignments.Found(w.now, q.Flow, agent, nil) {
			w.arrive(agent, packet, Delivery{})
		}
		return
	}
	next, _ := w.assignments.Denied(w.now, q.Flow, agent, w.routing)
	w.apply(q.Flow, packet, next)
}

// arrive delivers a caller's packet to an agent, and the agent's notice to the balancer.
func (w *takeover) arrive(agent Address, packet Packet, d Delivery) {
	d.Balancer = Address{Port: 9}
	v := w.agents[agent].FromBalancer(w.now, packet, d, nil)
	switch {
	case v.Action == Deny:
		next, _ := w.assignments.Denied(w.now, packet.Flow, agent, w.routing)
		w.apply(packet.Flow, packet, next)
	case v.Action == Deliver && w.found[packet.Flow] == 0:
		w.found[packet.Flow] = w.now
		w.assignments.Found(w.now, packet.Flow, agent, nil)
	}
}

// Hundreds of open flows move to a balancer with a link of 10 Mbit/s within a second, and
// each caller sends 900 bytes, again after 200 and 600 ms. All but a few flows are found
// before the second copy.
func TestFlowsThatMoveToASlowLinkAreFound(t *testing.T) {
	const flows, endpoints = 300, 40
	w := newTakeover(t, endpoints, flows)
	type sending struct {
		at  Timestamp
		key Key
	}
	var sent []sending
	for ms := range 1800 {
		w.now = time.Second + time.Duration(ms)*time.Millisecond
		for agent := range w.agents {
			w.routing.Agents[agent].AgentLoad.Report(w.now, placement.Usage{FlowsKnown: true})
		}
		if i := ms / 3; ms%3 == 0 && i < flows {
			sent = append(sent, sending{w.now, callerKey(i)})
			w.send(callerKey(i))
		}
		for _, s := range sent {
			if age := w.now - s.at; age == 200*time.Millisecond || age == 600*time.Millisecond {
				if w.found[s.key] == 0 {
					w.send(s.key)
				}
			}
		}
	}
	late := 0
	for _, s := range sent {
		if at := w.found[s.key]; at == 0 || at-s.at > 200*time.Millisecond {
			late++
		}
	}
	must.EqOp(t, 0, w.resets)
	must.LessEq(t, flows/100, late, must.Sprint("flows not found within 200 ms"))
}
