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

// servePeers takes in what agents and other balancers send.
func (t *forwarder) servePeers(ctx context.Context) error {
	return datagram.Receive(ctx, t.peers, 0, t.socketFailed, func(buffer []byte, from netip.AddrPort) {
		sender := flow.AddressOf(from)
		if wire.KindOf(buffer) == wire.Return {
			t.returned(buffer, sender)
			return
		}
		message, err := wire.Decode(buffer)
		if err != nil {
			t.counters.Refused(t.log, clock.Now(), err)
			return
		}
		t.notice(message, sender)
	})
}

// returned takes in a caller's packet that an agent does not deliver.
func (t *forwarder) returned(buffer []byte, agent flow.Address) {
	envelope, payload, err := wire.OpenEnvelope(buffer)
	if err != nil {
		t.counters.Refused(t.log, clock.Now(), err)
		return
	}
	packet, err := t.codec.Decode(payload)
	if err != nil {
		t.counters.Refused(t.log, clock.Now(), err)
		return
	}
	table := t.table.Load()
	t.mu.Lock()
	decision := t.picks.Returned(clock.Now(), packet, agent, envelope.Delivery, table, payload)
	t.mu.Unlock()
	t.carryOut(packet.Flow, decision, buffer, envelope.Hops)
}

func (t *forwarder) notice(message wire.Message, sender flow.Address) {
	now := clock.Now()
	switch m := message.(type) {
	case wire.Report:
		t.reported(now, sender, m.Usage)
		if len(m.Balancers) > 0 {
			t.loop.Offer(reported{balancers: m.Balancers})
		}
	case wire.Owner:
		if m.Agent.IsZero() {
			m.Agent = sender
		}
		var tag uint16
		if site := t.table.Load().Agents[m.Agent]; site != nil {
			tag = site.Service.Tag
		}
		t.mu.Lock()
		kept := t.picks.Found(now, m.Flow, m.Agent, tag)
		t.mu.Unlock()
		for _, datagram := range kept {
			buffer := append(make([]byte, wire.EnvelopeSize), datagram...)
			t.carryOut(m.Flow, flow.Decision{To: m.Agent, Tag: tag, Reason: flow.Known}, buffer, 0)
		}
	case wire.Denied:
		t.mu.Lock()
		decision, datagram := t.picks.Denied(now, m.Flow, sender, t.table.Load())
		t.mu.Unlock()
		if decision.End || len(decision.All) > 0 {
			t.carryOut(m.Flow, decision, append(make([]byte, wire.EnvelopeSize), datagram...), 0)
		}
	case wire.News:
		t.loop.Offer(heardNews{News: m, from: sender})
	}
}

// reported takes the load of an agent's endpoint in. One that was not heard before
// gets what was sent to it in vain.
func (t *forwarder) reported(now time.Duration, agent flow.Address, usage placement.Usage) {
	table := t.table.Load()
	site := table.Agents[agent]
	if site == nil {
		return
	}
	heard := site.Gauge.Alive(now)
	site.Gauge.Report(now, usage)
	if heard {
		return
	}
	t.mu.Lock()
	again := t.picks.Heard(now, agent, table)
	t.mu.Unlock()
	for _, a := range again {
		buffer := append(make([]byte, wire.EnvelopeSize), a.Datagram...)
		t.carryOut(a.Packet.Flow, a.Decision, buffer, 0)
	}
}

// conclude ends the flows that nobody holds by a map that has become complete.
func (t *forwarder) conclude(now time.Duration) {
	t.mu.Lock()
	ended := t.picks.Concluded(now, t.table.Load())
	t.mu.Unlock()
	for _, d := range ended {
		t.carryOut(d.Reset.Flow, d, nil, 0)
	}
}
