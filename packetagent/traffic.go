package packetagent

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
	"cactustray/metrics"
	"cactustray/settings"
	"cactustray/steering/datagram"

	"github.com/cespare/xxhash/v2"
)

// initialSlots is assumed until a balancer says how many requests the endpoint
// works on at once.
const initialSlots = 2

// forwarder is what the traffic goroutines share. held is guarded by mu.
type forwarder struct {
	peers    *net.UDPConn
	outbound *net.UDPConn
	codec    flow.Codec
	endpoint netip.AddrPort
	// tag is the endpoint's service's.
	tag uint16
	// callerPort is the port at which callers take packets.
	callerPort uint16
	loop       *control.Loop
	log        *event.Log

	mu     sync.Mutex
	held   *flow.Held
	silent bool

	// stop is how long a planned stop may take, in nanoseconds.
	stop atomic.Int64

	counters traffic.Counters
	// unanswered counts requests whose flow ended without an answer.
	unanswered atomic.Int64
	// answers is the time from a request's first packet to its answer's first.
	answers *metrics.Times
}

func newForwarder(s *settings.Settings, codec flow.Codec, loop *control.Loop, log *event.Log) (*forwarder, error) {
	p := s.Packets
	peers, err := datagram.Listen(p.Peer)
	if err != nil {
		return nil, err
	}
	outbound, err := datagram.Listen(p.Outbound)
	if err != nil {
		_ = peers.Close()
		return nil, err
	}
	t := &forwarder{
		peers: peers, outbound: outbound, codec: codec, loop: loop, log: log, answers: metrics.NewTimes(),
		endpoint: p.Endpoint, tag: flow.TagOf(xxhash.Sum64String(p.Service)), callerPort: p.Edge.Port(),
		held: flow.NewHeld(clock.Now(), initialSlots, p.FlowLifetime(), p.FirstStart),
	}
	t.stop.Store(int64(p.StopTime()))
	return t, nil
}

func (t *forwarder) usage() flow.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held.Usage(clock.Now())
}

func (t *forwarder) setSlots(slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held.Slots(slots)
}

func (t *forwarder) sweep() {
	t.mu.Lock()
	left := t.held.Sweep(clock.Now())
	t.mu.Unlock()
	for _, l := range left {
		t.unanswered.Add(1)
		t.explainRequest(EventUnanswered, l.Flow, l.Request, 0)
	}
}

// servePeers takes in what balancers and other agents send.
func (t *forwarder) servePeers(ctx context.Context) error {
	return datagram.Receive(ctx, t.peers, 0, t.socketFailed, func(buffer []byte, from netip.AddrPort) {
		if wire.KindOf(buffer) == wire.Forward {
			t.forwarded(buffer)
			return
		}
		message, err := wire.Decode(buffer)
		if err != nil {
			t.counters.Refused(t.log, clock.Now(), err)
			return
		}
		if hello, ok := message.(wire.Hello); ok {
			t.loop.Offer(greeted{Hello: hello, balancer: flow.AddressOf(from)})
		}
	})
}

func (t *forwarder) socketFailed(socket string, err error) {
	t.log.Emit(EventSocketFailed, event.Fields{"socket": socket, "cause": err.Error()})
}

// forwarded takes in a caller's packet.
func (t *forwarder) forwarded(buffer []byte) {
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
	verdict := t.decide(packet, envelope, payload)
	if verdict.Begins {
		t.name(packet.Flow, payload)
	}
	t.carryOut(packet.Flow, verdict, envelope.Balancer, buffer)
	if verdict.Reason == flow.Opened {
		time.AfterFunc(flow.AnswerTime, t.tick)
	}
}

// name notes the id of a request that begins, for the logs, and logs it: should
// the machine be lost, this line is all that tells where it was.
func (t *forwarder) name(key flow.Key, payload []byte) {
	id := t.codec.RequestID(payload)
	t.mu.Lock()
	t.held.Name(key, id)
	beside := t.held.Usage(clock.Now()).Running - 1
	t.mu.Unlock()
	t.explainRequest(EventRequest, key, flow.Request{ID: id, Beside: beside}, 0)
}

// decide asks the table of flows, unless the packet is for another service: the
// balancer does not know yet that the address has changed hands.
func (t *forwarder) decide(packet flow.Packet, e wire.Envelope, payload []byte) flow.Verdict {
	if e.Tag != 0 && e.Tag != t.tag {
		return flow.Verdict{Move: flow.Return, To: e.Balancer, Reason: flow.ForeignService, Hops: e.Hops + 1}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held.FromBalancer(clock.Now(), packet, e.Delivery, payload)
}

// serveEndpoint takes in what the endpoint sends or gives back.
func (t *forwarder) serveEndpoint(ctx context.Context) error {
	return datagram.Receive(ctx, t.outbound, wire.EnvelopeSize, t.socketFailed, func(buffer []byte, _ netip.AddrPort) {
		payload := buffer[wire.EnvelopeSize:]
		packet, err := t.codec.Decode(payload)
		if err != nil {
			t.counters.Refused(t.log, clock.Now(), err)
			return
		}
		if packet.Bounced {
			t.codec.Unbounce(payload)
		} else {
			packet.Flow = flow.Key{Caller: packet.Flow.Service, Service: packet.Flow.Caller}
		}
		t.mu.Lock()
		verdict := t.held.FromEndpoint(clock.Now(), packet)
		t.mu.Unlock()
		t.noteSilence()
		t.carryOut(packet.Flow, verdict, verdict.Balancer, buffer)
		t.noteEnd(packet.Flow, verdict, payload)
	})
}

const (
	// serverError is the first status that tells of a failure of the endpoint.
	serverError = 500
	// notRun is the status of a request that a full endpoint did not run: its load
	// says so already.
	notRun = 503
)

// noteEnd records the end of a request; payload is the packet that ended it.
func (t *forwarder) noteEnd(key flow.Key, v flow.Verdict, payload []byte) {
	if !v.Ends {
		return
	}
	e, status := EventUnanswered, 0
	if v.Move == flow.ToCaller && v.Reason != flow.EndpointReset {
		e, status = EventAnswered, t.codec.Status(payload)
		t.answers.Add(v.Ended.Took)
	} else {
		t.unanswered.Add(1)
	}
	t.mu.Lock()
	t.held.Outcome(clock.Now(), e == EventUnanswered || status >= serverError && status != notRun)
	t.mu.Unlock()
	t.explainRequest(e, key, v.Ended, status)
}

// tick hands opening packets on that the endpoint has not answered.
func (t *forwarder) tick() {
	t.mu.Lock()
	overdue := t.held.Tick(clock.Now())
	t.mu.Unlock()
	t.noteSilence()
	for _, u := range overdue {
		buffer := append(make([]byte, wire.EnvelopeSize), u.Datagram...)
		t.carryOut(u.Flow, u.Verdict, u.Verdict.Balancer, buffer)
	}
}

// noteSilence tells the control goroutine when the endpoint falls silent or
// answers again.
func (t *forwarder) noteSilence() {
	t.mu.Lock()
	silent := t.held.Silent(clock.Now())
	changed := silent != t.silent
	t.silent = silent
	t.mu.Unlock()
	if changed {
		t.loop.Offer(silenceChanged{silent: silent})
	}
}

// carryOut sends a packet where it was decided. buffer has the room of an
// envelope before the packet; balancer is the one to answer to.
func (t *forwarder) carryOut(key flow.Key, v flow.Verdict, balancer flow.Address, buffer []byte) {
	t.counters.Decided(v.Reason)
	t.explain(key, v)
	payload := buffer[wire.EnvelopeSize:]
	switch v.Move {
	case flow.Deliver:
		t.counters.Send(t.outbound, payload, t.endpoint)
	case flow.ToCaller:
		t.counters.Send(t.outbound, payload, t.callerAt(key))
	case flow.Pass:
		// The other agent's address may have gone to another service.
		wire.PutEnvelope(buffer, wire.Forward, wire.Envelope{Tag: t.tag, Delivery: flow.Delivery{Balancer: balancer, Hops: v.Hops}})
		t.counters.Send(t.peers, buffer, v.To.AddrPort())
	case flow.Return:
		wire.PutEnvelope(buffer, wire.Return, wire.Envelope{Delivery: flow.Delivery{Balancer: balancer, Hops: v.Hops, Silent: v.Reason == flow.EndpointSilent}})
		t.counters.Send(t.peers, buffer, v.To.AddrPort())
	case flow.Deny:
		t.counters.Send(t.peers, wire.Encode(wire.Denied{Flow: key}), v.To.AddrPort())
	case flow.End:
		t.counters.Resets.Add(1)
		t.counters.Send(t.outbound, t.codec.AppendReset(nil, v.Reset), t.callerAt(key))
	}
	if !v.Tell.IsZero() {
		t.counters.Send(t.peers, wire.Encode(wire.Owner{Flow: key, Agent: v.Owner}), v.Tell.AddrPort())
	}
}

func (t *forwarder) callerAt(key flow.Key) netip.AddrPort {
	caller := key.Caller
	caller.Port = t.callerPort
	return caller.AddrPort()
}

// apply takes changed settings in.
func (t *forwarder) apply(p *settings.PacketSettings) {
	t.stop.Store(int64(p.StopTime()))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held.SetLifetime(p.FlowLifetime())
}

// stopTime returns how long a planned stop may take.
func (t *forwarder) stopTime() time.Duration { return time.Duration(t.stop.Load()) }
