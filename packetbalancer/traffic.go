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
