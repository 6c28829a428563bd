package packetbalancer

import (
	"context"
	"net/netip"
	"time"

	"cactustray/control/clock"
	"cactustray/flow"
	"cactustray/flow/handover"
	"cactustray/flow/wire"
	"cactustray/placement"
	"cactustray/steering/datagram"
)

// servePeers receives the datagrams of agents and other balancers.
func (f *forwarder) servePeers(ctx context.Context) error {
	return datagram.Receive(ctx, f.peers, 0, datagram.MaxPacket, f.socketFailed, func(buffer []byte, from netip.AddrPort) {
		f.log.Contain("datagram of a node", func() { f.datagramReceived(buffer, flow.AddressOf(from)) })
	})
}

func (f *forwarder) datagramReceived(buffer []byte, sender flow.Address) {
	if wire.KindOf(buffer) == wire.Return {
		f.packetReturned(buffer, sender)
		return
	}
	message, err := wire.Decode(buffer)
	if err != nil {
		f.counters.CountMalformed(f.log, clock.Now(), err)
		return
	}
	f.handleMessage(message, sender)
}

// withAssignments runs one step on the assignments and returns its result.
func withAssignments[T any](f *forwarder, step func(*flow.Assignments) T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return step(f.assignments)
}

// continued is the decision on a search that goes on, with the packet to send.
type continued struct {
	flow.Decision
	datagram []byte
}

// packetReturned handles a caller's packet that an agent returned undelivered.
func (f *forwarder) packetReturned(buffer []byte, agent flow.Address) {
	envelope, payload, err := wire.OpenEnvelope(buffer)
	if err != nil {
		f.counters.CountMalformed(f.log, clock.Now(), err)
		return
	}
	packet, err := f.codec.Decode(payload)
	if err != nil {
		f.counters.CountMalformed(f.log, clock.Now(), err)
		return
	}
	table := f.table.Load()
	decision := withAssignments(f, func(a *flow.Assignments) flow.Decision {
		return a.Returned(clock.Now(), packet, agent, envelope.Delivery, table, payload)
	})
	f.execute(packet.Flow, decision, buffer, envelope.Hops)
}

// handleMessage handles a message from an agent or another balancer.
func (f *forwarder) handleMessage(message wire.Message, sender flow.Address) {
	now := clock.Now()
	switch m := message.(type) {
	case wire.Report:
		f.survivors.record(now, m.BalancersKnown)
		f.readsClassReceived(sender, m.ReadsClass)
		f.reportReceived(now, sender, m.Usage)
		if m.RoutesStated && m.FlowsKnown && f.table.Load().Agents[sender] != nil {
			f.heldRoutes.Record(now, sender, m.Routes)
		}
		if len(m.Balancers) > 0 {
			f.loop.Offer(reportReceived{balancers: m.Balancers})
		}
	case wire.Owner:
		if m.Agent.IsZero() {
			m.Agent = sender
		}
		f.flowFound(now, m.Flow, m.Agent)
	case wire.Denied:
		f.flowDenied(now, m.Flow, sender)
	case wire.Answers:
		f.answersReceived(now, m, sender)
	case wire.BulkAnswer:
		f.bulkAnswered(now, flow.BulkAnswer(m), sender)
	case wire.HandoverPart:
		f.loop.Offer(handoverReceived{agent: sender, part: handover.Part(m)})
	case wire.HandoverQuery:
		f.loop.Offer(handoverQueried{agent: sender, process: m.Process})
	case wire.DirectoryAnnouncement:
		f.loop.Offer(announcementReceived{DirectoryAnnouncement: m, from: sender})
	}
}

func (f *forwarder) answersReceived(now time.Duration, m wire.Answers, agent flow.Address) {
	for _, key := range m.Held {
		f.flowFound(now, key, agent)
	}
	for _, key := range m.Denied {
		f.flowDenied(now, key, agent)
	}
	for _, key := range m.Unsure {
		f.continueSearch(key, withAssignments(f, func(a *flow.Assignments) (c continued) {
			c.Decision, c.datagram = a.Unsure(now, key, agent, f.table.Load())
			return c
		}))
	}
}

// flowFound records that a flow is at an agent, and sends the packets that waited for it.
func (f *forwarder) flowFound(now time.Duration, key flow.Key, agent flow.Address) {
	var service *flow.Service
	var tag uint16
	if endpoint := f.table.Load().Agents[agent]; endpoint != nil {
		service, tag = endpoint.Service, endpoint.Service.Tag
	}
	waiting := withAssignments(f, func(a *flow.Assignments) [][]byte { return a.Found(now, key, agent, service) })
	for _, datagram := range waiting {
		buffer := append(make([]byte, wire.EnvelopeSize), datagram...)
		f.execute(key, flow.Decision{To: agent, Tag: tag, Reason: flow.Known}, buffer, 0)
	}
}

// flowDenied records that an agent does not hold a flow.
func (f *forwarder) flowDenied(now time.Duration, key flow.Key, agent flow.Address) {
	f.continueSearch(key, withAssignments(f, func(a *flow.Assignments) (c continued) {
		c.Decision, c.datagram = a.Denied(now, key, agent, f.table.Load())
		return c
	}))
}

// continueSearch carries out a decision on a search, if there is anything to do.
func (f *forwarder) continueSearch(key flow.Key, c continued) {
	if c.Continues() {
		f.execute(key, c.Decision, append(make([]byte, wire.EnvelopeSize), c.datagram...), 0)
	}
}

// reportReceived stores the load of an agent's endpoint. If the agent was
// unresponsive until now, packets that it or another unresponsive agent may have
// missed are sent again.
func (f *forwarder) reportReceived(now time.Duration, agent flow.Address, usage placement.Usage) {
	table := f.table.Load()
	endpoint := table.Agents[agent]
	if endpoint == nil {
		f.loop.Offer(agentIntroduced{agent: agent, usage: usage})
		return
	}
	wasAlive := endpoint.AgentLoad.Alive(now)
	endpoint.AgentLoad.Report(now, usage)
	if wasAlive {
		return
	}
	resends := withAssignments(f, func(a *flow.Assignments) []flow.Resend { return a.AgentReported(now, agent, table) })
	for _, r := range resends {
		buffer := append(make([]byte, wire.EnvelopeSize), r.Datagram...)
		f.execute(r.Packet.Flow, r.Decision, buffer, 0)
	}
}

// endSearches sends resets for the searched flows that no agent holds according to
// the routing table, which has become complete or has lost endpoints.
func (f *forwarder) endSearches(now time.Duration) {
	for _, d := range withAssignments(f, func(a *flow.Assignments) []flow.Decision { return a.EndSearches(now, f.table.Load()) }) {
		f.execute(d.Reset.Flow, d, nil, 0)
	}
}
