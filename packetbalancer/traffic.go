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
	// sweepInterval is how often expired flows are removed.
	sweepInterval = 2 * time.Second
)

// forwarder is the state that the traffic goroutines share. mu guards assignments and
// lastSweep.
type forwarder struct {
	// edge receives callers' packets and sends resets to callers.
	edge *net.UDPConn
	// peers is the socket for datagrams of agents and other balancers.
	peers *net.UDPConn
	codec flow.Codec
	// self is the address at which agents and balancers reach this balancer.
	self flow.Address
	// callerPort is the port at which callers receive packets.
	callerPort uint16
	table      atomic.Pointer[flow.RoutingTable]
	earlyQueue *earlyQueue
	queries    *queryBatches
	// retryScheduled is true while a timer runs for retrySearches.
	retryScheduled atomic.Bool
	// bulkScheduled is true while a timer runs for sendBulk.
	bulkScheduled atomic.Bool
	// manyLostLogged is when EventManyLost was last logged, or 0.
	manyLostLogged atomic.Int64
	loop           *control.Loop
	log            *event.Log

	mu          sync.Mutex
	assignments *flow.Assignments
	lastSweep   time.Duration

	// stopNanos is how long a graceful stop may take, in nanoseconds.
	stopNanos atomic.Int64

	counters   traffic.Counters
	placements placements
	survivors  survivors
	// heldRoutes has what agents have stated about the routes of their endpoints' flows.
	heldRoutes flow.HeldRoutes
	// received counts the packets received from callers.
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
	f := &forwarder{
		edge: edge, peers: peers, codec: codec, loop: loop, log: log, earlyQueue: newEarlyQueue(),
		self: flow.AddressOf(p.AdvertisedPeer()), callerPort: p.Edge.Port(),
		assignments: flow.NewAssignments(p.FlowLifetime(), newRandom()),
	}
	f.queries = newQueryBatches(func(agent flow.Address, batch []flow.Query) {
		f.counters.SendToNode(f.peers, wire.Encode(wire.Queries{Flows: batch}), agent.AddrPort())
	})
	f.table.Store(flow.NewRoutingTable())
	f.stopNanos.Store(int64(p.StopTimeout()))
	f.assignments.SetSearchRate(searchRate(p))
	return f, nil
}

func (f *forwarder) socketFailed(socket string, err error) {
	f.log.Emit(EventSocketFailed, event.Fields{"socket": socket, "cause": err.Error()})
}

// serveEdge receives and forwards callers' packets.
func (f *forwarder) serveEdge(ctx context.Context) error {
	return datagram.Receive(ctx, f.edge, wire.EnvelopeSize, datagram.MaxPacket, f.socketFailed, func(buffer []byte, _ netip.AddrPort) {
		f.received.Add(1)
		now := clock.Now()
		if !f.earlyQueue.add(now, buffer) {
			f.log.Contain("caller's packet", func() { f.forward(now, buffer, false) })
		}
	})
}

// forward decides where a caller's packet goes and sends it there. buffer has space
// for an envelope before the packet.
func (f *forwarder) forward(now time.Duration, buffer []byte, stored bool) {
	packet, err := f.codec.Decode(buffer[wire.EnvelopeSize:])
	if err != nil {
		f.counters.CountMalformed(f.log, clock.Now(), err)
		return
	}
	table := f.table.Load()
	d := f.decide(now, packet, table, buffer[wire.EnvelopeSize:])
	// A stored opening packet may be older than its caller's next copy, which another endpoint may
	// have accepted; without a class its agent does not refuse it.
	d.StatesClass = d.StatesClass && !stored
	f.execute(packet.Flow, d, buffer, 0)
}

// decide returns the decision on a caller's packet.
func (f *forwarder) decide(now time.Duration, packet flow.Packet, table *flow.RoutingTable, datagram []byte) flow.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sweep(now)
	return f.assignments.FromCaller(now, packet, table, datagram)
}

// flows returns the number of flows with a stored assignment.
func (f *forwarder) flows() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(f.assignments.Len())
}

// age returns the age of the directory that flows are placed by.
func (f *forwarder) age() time.Duration { return clock.Now() - f.table.Load().CurrentAt() }

// sweep removes expired flows once every sweepInterval. The caller holds mu.
func (f *forwarder) sweep(now time.Duration) {
	if now-f.lastSweep >= sweepInterval {
		f.lastSweep = now
		f.assignments.Sweep(now)
	}
}

// execute carries out a decision: it sends the packet to the agents chosen, or a reset
// to the caller. buffer has space for an envelope before the packet; it may be empty if
// there is only a reset to send. hops is the hop count received with the packet.
func (f *forwarder) execute(key flow.Key, d flow.Decision, buffer []byte, hops uint8) {
	f.counters.CountDecision(d.Reason)
	f.placements.count(d)
	f.logDecision(key, d, buffer)
	if d.SendReset {
		f.sendReset(d.Reset)
		return
	}
	if len(buffer) < wire.EnvelopeSize {
		return
	}
	delivery := flow.Delivery{
		Balancer: f.self, Alternate: d.Alternate, AlternateRunning: d.AlternateRunning,
		Search: len(d.SearchAgents) > 0, Hops: hops,
	}
	wire.PutEnvelope(buffer, wire.Forward, wire.Envelope{StatedService: flow.StatedService{Naming: d.Naming, Tag: d.Tag}, Delivery: delivery})
	if !d.To.IsZero() {
		f.counters.SendToNode(f.peers, withTrailers(buffer, d), d.To.AddrPort())
	}
	for _, agent := range d.SearchAgents {
		f.counters.SendToNode(f.peers, buffer, agent.AddrPort())
	}
	for _, agent := range d.QueryAgents {
		f.queries.add(agent, d.Query)
	}
	if d.BulkQueried > 0 {
		f.scheduleBulk()
	}
	if d.Reason == flow.Searched || d.Reason == flow.SearchWaits {
		f.scheduleRetry()
	}
}

func (f *forwarder) sendReset(r flow.Reset) {
	f.counters.Resets.Add(1)
	caller := r.Flow.Caller
	caller.Port = f.callerPort
	f.counters.Send(f.edge, f.codec.AppendReset(nil, r), caller.AddrPort())
}

// searchShare is the share of the machine's link that searches may use.
const searchShare = 0.25

// searchRate returns how many bytes per second searches may use.
func searchRate(p *settings.PacketSettings) float64 {
	const bytesPerMegabit = 1e6 / 8
	return searchShare * p.LinkMbps * bytesPerMegabit
}

// apply applies changed settings, except addresses.
func (f *forwarder) apply(p *settings.PacketSettings) {
	f.stopNanos.Store(int64(p.StopTimeout()))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.assignments.SetLifetime(p.FlowLifetime())
	f.assignments.SetSearchRate(searchRate(p))
}

// stopTime returns how long a graceful stop may take.
func (f *forwarder) stopTime() time.Duration { return time.Duration(f.stopNanos.Load()) }
