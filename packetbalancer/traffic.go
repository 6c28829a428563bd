package packetbalancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/control/clock"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/traffic"
	"cactustray/flow/wire"
	"cactustray/placement"
	"cactustray/settings"
	"cactustray/steering/datagram"
)

const (
	// sweepInterval is how often old flows are forgotten.
	sweepInterval = 2 * time.Second
)

// forwarder is what the traffic goroutines share. picks is guarded by mu.
type forwarder struct {
	edge  *net.UDPConn
	peers *net.UDPConn
	codec flow.Codec
	// self is where agents and balancers reach this balancer.
	self flow.Address
	// callerPort is the port at which callers take packets.
	callerPort uint16
	table      atomic.Pointer[flow.Map]
	early      *early
	loop       *control.Loop
	log        *event.Log

	mu    sync.Mutex
	picks *flow.Picks
	swept time.Duration

	// stop is how long a planned stop may take, in nanoseconds.
	stop atomic.Int64

	counters traffic.Counters
	// received counts callers' packets.
	received atomic.Int64
}

func newForwarder(s *settings.Settings, codec flow.Codec, loop *control.Loop, log *event.Log) (*forwarder, error) {
	p := s.Packets
	edge, err := datagram.Listen(p.Edge)
	if err != nil {
		return nil, err
	}
	peers, err := datagram.Listen(p.Peer)
	if err != nil {
		_ = edge.Close()
		return nil, err
	}
	t := &forwarder{
		edge: edge, peers: peers, codec: codec, loop: loop, log: log, early: newEarly(),
		self: flow.AddressOf(p.ReachedPeer()), callerPort: p.Edge.Port(),
		picks: flow.NewPicks(p.FlowLifetime(), newRandom()),
	}
	t.table.Store(flow.NewMap())
	t.stop.Store(int64(p.StopTime()))
	t.picks.SetSearchRate(searchRate(p))
	return t, nil
}

func (t *forwarder) socketFailed(socket string, err error) {
	t.log.Emit(EventSocketFailed, event.Fields{"socket": socket, "cause": err.Error()})
}

// serveEdge forwards callers' packets.
func (t *forwarder) serveEdge(ctx context.Context) error {
	return datagram.Receive(ctx, t.edge, wire.EnvelopeSize, t.socketFailed, func(buffer []byte, _ netip.AddrPort) {
		t.received.Add(1)
		now := clock.Now()
		if !t.early.keep(now, buffer) {
			t.forward(now, buffer)
		}
	})
}

// forward decides on a caller's packet. buffer has room for an envelope before
// the packet.
func (t *forwarder) forward(now time.Duration, buffer []byte) {
	packet, err := t.codec.Decode(buffer[wire.EnvelopeSize:])
	if err != nil {
		t.counters.Refused(t.log, clock.Now(), err)
		return
	}
	table := t.table.Load()
	t.mu.Lock()
	t.sweep(now)
	decision := t.picks.FromCaller(now, packet, table, buffer[wire.EnvelopeSize:])
	t.mu.Unlock()
	t.carryOut(packet.Flow, decision, buffer, 0)
}

// flows returns how many flows are remembered.
func (t *forwarder) flows() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(t.picks.Len())
}

// age returns how old the directory is that flows are placed by.
func (t *forwarder) age() time.Duration { return clock.Now() - t.table.Load().Current() }

func (t *forwarder) sweep(now time.Duration) {
	if now-t.swept >= sweepInterval {
		t.swept = now
		t.picks.Sweep(now)
	}
}

// carryOut sends a packet where it was decided. buffer has room for an envelope
// before the packet; it is empty when there is only a reset to send. hops came
// with the packet.
func (t *forwarder) carryOut(key flow.Key, d flow.Decision, buffer []byte, hops uint8) {
	t.counters.Decided(d.Reason)
	t.explain(key, d, buffer)
	if d.End {
		t.reset(d.Reset)
		return
	}
	if len(buffer) < wire.EnvelopeSize {
		return
	}
	delivery := flow.Delivery{
		Balancer: t.self, Alternative: d.Alternative, AlternativeRunning: d.AlternativeRunning,
		Search: len(d.All) > 0, Hops: hops,
	}
	wire.PutEnvelope(buffer, wire.Forward, wire.Envelope{Tag: d.Tag, Delivery: delivery})
	if !d.To.IsZero() {
		t.counters.Send(t.peers, buffer, d.To.AddrPort())
	}
	for _, agent := range d.All {
		t.counters.Send(t.peers, buffer, agent.AddrPort())
	}
}

func (t *forwarder) reset(r flow.Reset) {
	t.counters.Resets.Add(1)
	caller := r.Flow.Caller
	caller.Port = t.callerPort
	t.counters.Send(t.edge, t.codec.AppendReset(nil, r), caller.AddrPort())
}

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
	decision := t.picks.Returned(clock.Now(), packet, agent, envelope.Hops, table, payload)
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

// searchShare is the part of the machine's link that searches may take.
const searchShare = 0.25

// searchRate returns how many bytes a second searches may take.
func searchRate(p *settings.PacketSettings) float64 {
	const bytesPerMegabit = 1e6 / 8
	return searchShare * p.LinkMbps * bytesPerMegabit
}

// apply takes changed settings in.
func (t *forwarder) apply(p *settings.PacketSettings) {
	t.stop.Store(int64(p.StopTime()))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.picks.SetLifetime(p.FlowLifetime())
	t.picks.SetSearchRate(searchRate(p))
}

// stopTime returns how long a planned stop may take.
func (t *forwarder) stopTime() time.Duration { return time.Duration(t.stop.Load()) }
