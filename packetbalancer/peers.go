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
func (t *forwarder) servePeers(ctx context.Context) error {
	return datagram.Receive(ctx, t.peers, 0, t.socketFailed, func(buffer []byte, from netip.AddrPort) {
		sender := flow.AddressOf(from)
		if wire.KindOf(buffer) == wire.Return {
			t.packetReturned(buffer, sender)
			return
		}
		message, err := wire.Decode(buffer)
		if err != nil {
			t.counters.CountMalformed(t.log, clock.Now(), err)
			return
		}
		t.handleMessage(message, sender)
	})
}

// packetReturned handles a caller's packet that an agent returned undelivered.
func (t *forwarder) packetReturned(buffer []byte, agent flow.Address) {
	envelope, payload, err := wire.OpenEnvelope(buffer)
	if err != nil {
		t.counters.CountMalformed(t.log, clock.Now(), err)
		return
	}
	packet, err := t.codec.Decode(payload)
	if err != nil {
		t.counters.CountMalformed(t.log, clock.Now(), err)
		return
	}
	table := t.table.Load()
	t.mu.Lock()
	decision := t.assignments.Returned(clock.Now(), packet, agent, envelope.Delivery, table, payload)
	t.mu.Unlock()
	t.execute(packet.Flow, decision, buffer, envelope.Hops)
}

// handleMessage handles a message from an agent or another balancer.
func (t *forwarder) handleMessage(message wire.Message, sender flow.Address) {
	now := clock.Now()
	switch m := message.(type) {
	case wire.Report:
		t.reportReceived(now, sender, m.Usage)
		if len(m.Balancers) > 0 {
			t.loop.Offer(reportReceived{balancers: m.Balancers})
		}
	case wire.Owner:
		if m.Agent.IsZero() {
			m.Agent = sender
		}
		var tag uint16
		if endpoint := t.table.Load().Agents[m.Agent]; endpoint != nil {
			tag = endpoint.Service.Tag
		}
		t.mu.Lock()
		queued := t.assignments.Found(now, m.Flow, m.Agent, tag)
		t.mu.Unlock()
		for _, datagram := range queued {
			buffer := append(make([]byte, wire.EnvelopeSize), datagram...)
			t.execute(m.Flow, flow.Decision{To: m.Agent, Tag: tag, Reason: flow.Known}, buffer, 0)
		}
	case wire.Denied:
		t.mu.Lock()
		decision, datagram := t.assignments.Denied(now, m.Flow, sender, t.table.Load())
		t.mu.Unlock()
		if decision.SendReset || len(decision.SearchAgents) > 0 {
			t.execute(m.Flow, decision, append(make([]byte, wire.EnvelopeSize), datagram...), 0)
		}
	case wire.DirectoryAnnouncement:
		t.loop.Offer(announcementReceived{DirectoryAnnouncement: m, from: sender})
	}
}

// reportReceived stores the load of an agent's endpoint. If the agent was
// unresponsive until now, packets that it may have missed are sent to it again.
func (t *forwarder) reportReceived(now time.Duration, agent flow.Address, usage placement.Usage) {
	table := t.table.Load()
	endpoint := table.Agents[agent]
	if endpoint == nil {
		return
	}
	wasAlive := endpoint.AgentLoad.Alive(now)
	endpoint.AgentLoad.Report(now, usage)
	if wasAlive {
		return
	}
	t.mu.Lock()
	resends := t.assignments.AgentReported(now, agent, table)
	t.mu.Unlock()
	for _, a := range resends {
		buffer := append(make([]byte, wire.EnvelopeSize), a.Datagram...)
		t.execute(a.Packet.Flow, a.Decision, buffer, 0)
	}
}

// endSearches sends resets for the searched flows that no agent holds according to
// the routing table, which has become complete.
func (t *forwarder) endSearches(now time.Duration) {
	t.mu.Lock()
	ended := t.assignments.EndSearches(now, t.table.Load())
	t.mu.Unlock()
	for _, d := range ended {
		t.execute(d.Reset.Flow, d, nil, 0)
	}
}
