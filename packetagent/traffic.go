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

// initialSlots is the endpoint's number of slots until a hello message from a
// balancer states it.
const initialSlots = 2

// forwarder is the state that the traffic goroutines share. mu guards flowTable and
// silent.
type forwarder struct {
	// peers is the socket for datagrams of balancers and other agents.
	peers *net.UDPConn
	// outbound is the socket for packets from and to the endpoint and to callers.
	outbound *net.UDPConn
	codec    flow.Codec
	endpoint netip.AddrPort
	// tag is the tag of the endpoint's service.
	tag uint16
	// callerPort is the port at which callers receive packets.
	callerPort uint16
	loop       *control.Loop
	log        *event.Log

	mu        sync.Mutex
	flowTable *flow.AgentTable
	silent    bool

	// stopNanos is how long a graceful stop may take, in nanoseconds.
	stopNanos atomic.Int64

	counters traffic.Counters
	// unanswered counts requests whose flow ended without an answer.
	unanswered atomic.Int64
	// answers has the times from the first packet of a request to the first packet of
	// its answer.
	answers *metrics.Timer
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
		peers: peers, outbound: outbound, codec: codec, loop: loop, log: log, answers: metrics.NewTimer(),
		endpoint: p.Endpoint, tag: flow.TagOf(xxhash.Sum64String(p.Service)), callerPort: p.Edge.Port(),
		flowTable: flow.NewAgentTable(clock.Now(), initialSlots, p.FlowLifetime(), p.FirstStart),
	}
	t.stopNanos.Store(int64(p.StopTimeout()))
	return t, nil
}

func (t *forwarder) usage() flow.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.flowTable.Usage(clock.Now())
}

func (t *forwarder) setSlots(slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flowTable.SetSlots(slots)
}

// sweep removes expired flows, and logs and counts their unanswered requests.
func (t *forwarder) sweep() {
	t.mu.Lock()
	expired := t.flowTable.Sweep(clock.Now())
	t.mu.Unlock()
	for _, l := range expired {
		t.unanswered.Add(1)
		t.logRequest(EventUnanswered, l.Flow, l.Request, 0)
	}
}

// servePeers receives the datagrams of balancers and other agents.
func (t *forwarder) servePeers(ctx context.Context) error {
	return datagram.Receive(ctx, t.peers, 0, t.socketFailed, func(buffer []byte, from netip.AddrPort) {
		if wire.KindOf(buffer) == wire.Forward {
			t.packetForwarded(buffer)
			return
		}
		message, err := wire.Decode(buffer)
		if err != nil {
			t.counters.CountMalformed(t.log, clock.Now(), err)
			return
		}
		if hello, ok := message.(wire.Hello); ok {
			t.loop.Offer(helloReceived{Hello: hello, balancer: flow.AddressOf(from)})
		}
	})
}

func (t *forwarder) socketFailed(socket string, err error) {
	t.log.Emit(EventSocketFailed, event.Fields{"socket": socket, "cause": err.Error()})
}

// packetForwarded handles a caller's packet that a balancer or another agent forwarded.
func (t *forwarder) packetForwarded(buffer []byte) {
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
	verdict := t.decide(packet, envelope, payload)
	if verdict.RequestBegins {
		t.recordRequestID(packet.Flow, payload)
	}
	t.execute(packet.Flow, verdict, envelope.Balancer, buffer)
	if verdict.Reason == flow.Opened {
		time.AfterFunc(flow.AnswerTimeout, t.redirectOpenings)
	}
}

// recordRequestID records the id of a request that begins, for later log lines, and
// logs it: if the machine fails, this line is the only record of where the request was.
func (t *forwarder) recordRequestID(key flow.Key, payload []byte) {
	id := t.codec.RequestID(payload)
	t.mu.Lock()
	t.flowTable.SetRequestID(key, id)
	concurrent := t.flowTable.Usage(clock.Now()).Running - 1
	t.mu.Unlock()
	t.logRequest(EventRequest, key, flow.Request{ID: id, Concurrent: concurrent}, 0)
}

// decide returns the flow table's verdict on a packet. A packet for another service is
// returned to its balancer, which does not know yet that the address now belongs to this
// service.
func (t *forwarder) decide(packet flow.Packet, e wire.Envelope, payload []byte) flow.Verdict {
	if e.Tag != 0 && e.Tag != t.tag {
		return flow.Verdict{Action: flow.Return, To: e.Balancer, Reason: flow.ForeignService, Hops: e.Hops + 1}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.flowTable.FromBalancer(clock.Now(), packet, e.Delivery, payload)
}

// serveEndpoint receives the endpoint's packets, and callers' packets that it returns.
func (t *forwarder) serveEndpoint(ctx context.Context) error {
	return datagram.Receive(ctx, t.outbound, wire.EnvelopeSize, t.socketFailed, func(buffer []byte, _ netip.AddrPort) {
		payload := buffer[wire.EnvelopeSize:]
		packet, err := t.codec.Decode(payload)
		if err != nil {
			t.counters.CountMalformed(t.log, clock.Now(), err)
			return
		}
		if packet.ReturnedByEndpoint {
			t.codec.RestoreReturned(payload)
		} else {
			packet.Flow = flow.Key{Caller: packet.Flow.Service, Service: packet.Flow.Caller}
		}
		t.mu.Lock()
		verdict := t.flowTable.FromEndpoint(clock.Now(), packet)
		t.mu.Unlock()
		t.checkSilence()
		t.execute(packet.Flow, verdict, verdict.Balancer, buffer)
		t.recordRequestEnd(packet.Flow, verdict, payload)
	})
}

const (
	// serverError is the lowest HTTP status that means a failure of the endpoint.
	serverError = 500
	// notRun is the HTTP status of a request that a fully loaded endpoint did not run.
	// It does not count as a failure, because the reported load shows it already.
	notRun = 503
)

// recordRequestEnd records and logs the end of a request, if the packet ended one;
// payload is that packet.
func (t *forwarder) recordRequestEnd(key flow.Key, v flow.Verdict, payload []byte) {
	if !v.RequestEnds {
		return
	}
	e, status := EventUnanswered, 0
	if v.Action == flow.ToCaller && v.Reason != flow.EndpointReset {
		e, status = EventAnswered, t.codec.Status(payload)
		t.answers.Observe(v.EndedRequest.Elapsed)
	} else {
		t.unanswered.Add(1)
	}
	t.mu.Lock()
	t.flowTable.RecordOutcome(clock.Now(), e == EventUnanswered || status >= serverError && status != notRun)
	t.mu.Unlock()
	t.logRequest(e, key, v.EndedRequest, status)
}

// redirectOpenings forwards or returns the opening packets that the endpoint has not
// answered within flow.AnswerTimeout.
func (t *forwarder) redirectOpenings() {
	t.mu.Lock()
	overdue := t.flowTable.Tick(clock.Now())
	t.mu.Unlock()
	t.checkSilence()
	for _, u := range overdue {
		buffer := append(make([]byte, wire.EnvelopeSize), u.Datagram...)
		t.execute(u.Flow, u.Verdict, u.Verdict.Balancer, buffer)
	}
}

// checkSilence notifies the control goroutine when the endpoint stops answering or
// answers again.
func (t *forwarder) checkSilence() {
	t.mu.Lock()
	silent := t.flowTable.Silent(clock.Now())
	changed := silent != t.silent
	t.silent = silent
	t.mu.Unlock()
	if changed {
		t.loop.Offer(silenceChanged{silent: silent})
	}
}

// execute carries out a verdict: it sends the packet, a message to a balancer, or a
// reset to the caller. buffer has space for an envelope before the packet; balancer is
// the one that gets replies about the flow.
func (t *forwarder) execute(key flow.Key, v flow.Verdict, balancer flow.Address, buffer []byte) {
	t.counters.CountDecision(v.Reason)
	t.logDecision(key, v)
	payload := buffer[wire.EnvelopeSize:]
	switch v.Action {
	case flow.Deliver:
		t.counters.Send(t.outbound, payload, t.endpoint)
	case flow.ToCaller:
		t.counters.Send(t.outbound, payload, t.callerAddress(key))
	case flow.ForwardToAgent:
		// The tag lets the other agent refuse the packet if its address now belongs to
		// another service.
		wire.PutEnvelope(buffer, wire.Forward, wire.Envelope{Tag: t.tag, Delivery: flow.Delivery{Balancer: balancer, Hops: v.Hops}})
		t.counters.Send(t.peers, buffer, v.To.AddrPort())
	case flow.Return:
		wire.PutEnvelope(buffer, wire.Return, wire.Envelope{Delivery: flow.Delivery{Balancer: balancer, Hops: v.Hops, Silent: v.Reason == flow.EndpointSilent}})
		t.counters.Send(t.peers, buffer, v.To.AddrPort())
	case flow.Deny:
		t.counters.Send(t.peers, wire.Encode(wire.Denied{Flow: key}), v.To.AddrPort())
	case flow.SendReset:
		t.counters.Resets.Add(1)
		t.counters.Send(t.outbound, t.codec.AppendReset(nil, v.Reset), t.callerAddress(key))
	}
	if !v.Notify.IsZero() {
		t.counters.Send(t.peers, wire.Encode(wire.Owner{Flow: key, Agent: v.Owner}), v.Notify.AddrPort())
	}
}

func (t *forwarder) callerAddress(key flow.Key) netip.AddrPort {
	caller := key.Caller
	caller.Port = t.callerPort
	return caller.AddrPort()
}

// apply applies changed settings, except addresses.
func (t *forwarder) apply(p *settings.PacketSettings) {
	t.stopNanos.Store(int64(p.StopTimeout()))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flowTable.SetLifetime(p.FlowLifetime())
}

// stopTime returns how long a graceful stop may take.
func (t *forwarder) stopTime() time.Duration { return time.Duration(t.stopNanos.Load()) }
