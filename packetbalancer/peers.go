package packetbalancer

import (
	"context"
	"net/netip"
	"time"

	"cactustray/control/clock"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"
	"cactustray/steering/datagram"
)

// servePeers receives the datagrams of agents and other balancers.
func (f *forwarder) servePeers(ctx context.Context) error {
	return datagram.Receive(ctx, f.peers, 0, f.socketFailed, func(buffer []byte, from netip.AddrPort) {
		sender := flow.AddressOf(from)
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
	})
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
	f.mu.Lock()
	decision := f.assignments.Returned(clock.Now(), packet, agent, envelope.Delivery, table, payload)
	f.mu.Unlock()
	f.execute(packet.Flow, decision, buffer, envelope.Hops)
}

// handleMessage handles a message from an agent or another balancer.
func (f *forwarder) handleMessage(message wire.Message, sender flow.Address) {
	now := clock.Now()
	switch m := message.(type) {
	case wire.Report:
		f.reportReceived(now, sender, m.Usage)
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
		f.mu.Lock()
		decision, datagram := f.assignments.Unsure(now, key, agent, f.table.Load())
		f.mu.Unlock()
		f.continueSearch(key, decision, datagram)
	}
}

// flowFound records that a flow is at an agent, and sends the packets that waited for it.
func (f *forwarder) flowFound(now time.Duration, key flow.Key, agent flow.Address) {
	var tag uint16
	if endpoint := f.table.Load().Agents[agent]; endpoint != nil {
		tag = endpoint.Service.Tag
	}
	f.mu.Lock()
	waiting := f.assignments.Found(now, key, agent, tag)
	f.mu.Unlock()
	for _, datagram := range waiting {
		buffer := append(make([]byte, wire.EnvelopeSize), datagram...)
		f.execute(key, flow.Decision{To: agent, Tag: tag, Reason: flow.Known}, buffer, 0)
	}
}

// flowDenied records that an agent does not hold a flow.
func (f *forwarder) flowDenied(now time.Duration, key flow.Key, agent flow.Address) {
	f.mu.Lock()
	decision, datagram := f.assignments.Denied(now, key, agent, f.table.Load())
	f.mu.Unlock()
	f.continueSearch(key, decision, datagram)
}

// continueSearch carries out a decision on a search, if there is anything to do.
func (f *forwarder) continueSearch(key flow.Key, d flow.Decision, datagram []byte) {
	if d.SendReset || len(d.SearchAgents)+len(d.QueryAgents) > 0 {
		f.execute(key, d, append(make([]byte, wire.EnvelopeSize), datagram...), 0)
	}
}

// reportReceived stores the load of an agent's endpoint. If the agent was
// unresponsive until now, packets that it or another unresponsive agent may have
// missed are sent again.
func (f *forwarder) reportReceived(now time.Duration, agent flow.Address, usage placement.Usage) {
	table := f.table.Load()
	endpoint := table.Agents[agent]
	if endpoint == nil {
		return
	}
	wasAlive := endpoint.AgentLoad.Alive(now)
	endpoint.AgentLoad.Report(now, usage)
	if wasAlive {
		return
	}
	f.mu.Lock()
	resends := f.assignments.AgentReported(now, agent, table)
	f.mu.Unlock()
	for _, r := range resends {
		buffer := append(make([]byte, wire.EnvelopeSize), r.Datagram...)
		f.execute(r.Packet.Flow, r.Decision, buffer, 0)
	}
}

// endSearches sends resets for the searched flows that no agent holds according to
// the routing table, which has become complete or has lost endpoints.
func (f *forwarder) endSearches(now time.Duration) {
	f.mu.Lock()
	ended := f.assignments.EndSearches(now, f.table.Load())
	f.mu.Unlock()
	for _, d := range ended {
		f.execute(d.Reset.Flow, d, nil, 0)
	}
}
