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
	"cactustray/flow/handover"
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

// forwarder is the state that the traffic goroutines share. mu guards flowTable.
type forwarder struct {
	// peers is the socket for datagrams of balancers and other agents.
	peers *net.UDPConn
	// outbound is the socket for packets from and to the endpoint and to callers.
	outbound *net.UDPConn
	codec    flow.Codec
	endpoint netip.AddrPort
	// service is the endpoint's service.
	service flow.OwnService
	// callerPort is the port at which callers receive packets.
	callerPort uint16
	startOrder flow.StartOrder
	loop       *control.Loop
	log        *event.Log

	mu        sync.Mutex
	flowTable *flow.AgentTable
	// silent is true while the endpoint leaves packets unanswered.
	silent atomic.Bool

	// evacuated is 1 while the endpoint's failure domain is evacuated, else 0.
	evacuated atomic.Int64

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
	f := &forwarder{
		peers: peers, outbound: outbound, codec: codec, loop: loop, log: log, answers: metrics.NewTimer(),
		endpoint: p.Endpoint, service: flow.NewOwnService(p.Service, flow.TagOf(xxhash.Sum64String(p.Service))), callerPort: p.Edge.Port(),
		startOrder: flow.NewStartOrder(clock.Now(), time.Now().UnixMilli()),
		flowTable:  flow.NewAgentTable(clock.Now(), initialSlots, p.FlowLifetime(), p.FirstStart),
	}
	f.stopNanos.Store(int64(p.StopTimeout()))
	f.flowTable.SetColdLimit(coldLimitOf(p))
	return f, nil
}

func (f *forwarder) usage() flow.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.flowTable.Usage(clock.Now())
}

// applyHello stores what a balancer knows of the endpoint, and reports whether it shows
// that every flow of the endpoint is known, which was not certain until now, or that this had been
// concluded wrongly.
func (f *forwarder) applyHello(now time.Duration, h wire.Hello) (confirmed, refuted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.Slots > 0 { // a balancer that knows the endpoint only by this agent's reports states none
		f.flowTable.SetSlots(h.Slots)
	}
	switch {
	case f.startOrder.EndpointIsOlder(now, h.EndpointKnown):
		return false, f.flowTable.RefuteComplete(h.EndpointStart)
	case f.flowTable.FlowsKnown(now) || !f.startOrder.EndpointIsNewer(now, time.Now().UnixMilli(), h.EndpointStart, h.Clock):
		return false, false
	}
	return f.flowTable.ConfirmComplete(h.EndpointStart), false
}

// flowsKnown reports whether every flow of the endpoint is known.
func (f *forwarder) flowsKnown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.flowTable.FlowsKnown(clock.Now())
}

// heldRoutes returns the routes of the endpoint's flows, if all of them are known.
func (f *forwarder) heldRoutes(now time.Duration) ([]flow.Address, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.flowTable.HeldRoutes(now)
}

// sweep removes expired flows, and logs and counts their unanswered requests.
func (f *forwarder) sweep() {
	for _, a := range withFlows(f, func(t *flow.AgentTable) []flow.AbandonedRequest { return t.Sweep(clock.Now()) }) {
		f.unanswered.Add(1)
		f.logRequest(EventUnanswered, a.Flow, a.Request, 0)
	}
}

// servePeers receives the datagrams of balancers and other agents.
func (f *forwarder) servePeers(ctx context.Context) error {
	return datagram.Receive(ctx, f.peers, 0, datagram.MaxPacket, f.socketFailed, func(buffer []byte, from netip.AddrPort) {
		f.log.Contain("datagram of a node", func() { f.datagramReceived(buffer, from) })
	})
}

func (f *forwarder) datagramReceived(buffer []byte, from netip.AddrPort) {
	if wire.KindOf(buffer).IsForward() {
		f.packetForwarded(buffer)
		return
	}
	message, err := wire.Decode(buffer)
	if err != nil {
		f.counters.CountMalformed(f.log, clock.Now(), err)
		return
	}
	switch m := message.(type) {
	case wire.Hello:
		f.loop.Offer(helloReceived{Hello: m, balancer: flow.AddressOf(from)})
	case wire.Queries:
		f.answer(m, from)
	case wire.BulkQuery:
		answer := withFlows(f, func(t *flow.AgentTable) flow.BulkAnswer { return t.BulkQuery(clock.Now(), flow.BulkQuery(m)) })
		f.counters.SendToNode(f.peers, wire.Encode(wire.BulkAnswer(answer)), from)
	case wire.HandoverPart:
		f.loop.Offer(handoverPartReceived{part: handover.Part(m)})
	}
}

// withFlows runs one step on the flow table and returns its result.
func withFlows[T any](f *forwarder, step func(*flow.AgentTable) T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return step(f.flowTable)
}

// answer answers a balancer's queries. Flows that the endpoint lost are reset.
func (f *forwarder) answer(m wire.Queries, balancer netip.AddrPort) {
	var answers wire.Answers
	var ended []flow.Query
	now := clock.Now()
	for _, q := range m.Flows {
		switch withFlows(f, func(t *flow.AgentTable) flow.Answer { return t.Query(now, q) }) {
		case flow.Holds:
			answers.Held = append(answers.Held, q.Flow)
		case flow.Denies:
			answers.Denied = append(answers.Denied, q.Flow)
		case flow.IsUnsure:
			answers.Unsure = append(answers.Unsure, q.Flow)
		case flow.HasEnded:
			ended = append(ended, q)
		}
	}
	if len(answers.Held)+len(answers.Denied)+len(answers.Unsure) > 0 {
		f.counters.SendToNode(f.peers, wire.Encode(answers), balancer)
	}
	for _, q := range ended {
		f.execute(q.Flow, flow.Verdict{Action: flow.SendReset, Reason: flow.EndpointLost, Reset: flow.Reset(q)}, flow.Address{}, make([]byte, wire.EnvelopeSize))
	}
}

func (f *forwarder) socketFailed(socket string, err error) {
	f.log.Emit(EventSocketFailed, event.Fields{"socket": socket, "cause": err.Error()})
}

// packetForwarded handles a caller's packet that a balancer or another agent forwarded.
func (f *forwarder) packetForwarded(datagram []byte) {
	envelope, buffer, err := wire.OpenForward(datagram)
	if err != nil {
		f.counters.CountMalformed(f.log, clock.Now(), err)
		return
	}
	payload := buffer[wire.EnvelopeSize:]
	packet, err := f.codec.Decode(payload)
	if err != nil {
		f.counters.CountMalformed(f.log, clock.Now(), err)
		return
	}
	verdict := f.decide(packet, envelope, payload)
	if verdict.RequestBegins {
		f.recordRequestID(packet.Flow, payload)
	}
	f.execute(packet.Flow, verdict, envelope.Balancer, buffer)
	if verdict.Reason == flow.Opened {
		f.awaitAnswer()
	}
}

// recordRequestID records the id of a request that begins, for later log lines, and
// logs it: if the machine fails, this line is the only record of where the request was.
func (f *forwarder) recordRequestID(key flow.Key, payload []byte) {
	id := f.codec.RequestID(payload)
	concurrent := withFlows(f, func(t *flow.AgentTable) int {
		t.SetRequestID(key, id)
		return t.Usage(clock.Now()).Running - 1
	})
	f.logRequest(EventRequest, key, flow.Request{ID: id, Concurrent: concurrent}, 0)
}

// decide returns the flow table's verdict on a packet. A packet for another service is
// returned to its balancer, which does not know yet that the address now belongs to this
// service, and so is an opening packet that does not name its service although it could.
func (f *forwarder) decide(packet flow.Packet, e wire.Envelope, payload []byte) flow.Verdict {
	if reason, refuses := f.service.Refuses(packet, e.StatedService); refuses {
		return flow.Verdict{Action: flow.Return, To: e.Balancer, Reason: reason, Hops: e.Hops + 1}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.flowTable.FromBalancer(clock.Now(), packet, e.Delivery, payload)
}

// serveEndpoint receives the endpoint's packets, and callers' packets that it returns.
func (f *forwarder) serveEndpoint(ctx context.Context) error {
	return datagram.Receive(ctx, f.outbound, wire.EnvelopeSize, datagram.MaxPacket, f.socketFailed, func(buffer []byte, _ netip.AddrPort) {
		f.log.Contain("endpoint's packet", func() { f.packetFromEndpoint(buffer) })
	})
}

// packetFromEndpoint handles a packet that the endpoint sent or gave back.
func (f *forwarder) packetFromEndpoint(buffer []byte) {
	payload := buffer[wire.EnvelopeSize:]
	packet, err := f.codec.Decode(payload)
	if err != nil {
		f.counters.CountMalformed(f.log, clock.Now(), err)
		return
	}
	if packet.ReturnedByEndpoint {
		f.codec.RestoreReturned(payload)
	} else {
		packet.Flow = flow.Key{Caller: packet.Flow.Service, Service: packet.Flow.Caller}
	}
	verdict := withFlows(f, func(t *flow.AgentTable) flow.Verdict { return t.FromEndpoint(clock.Now(), packet) })
	f.checkSilence()
	f.execute(packet.Flow, verdict, verdict.Balancer, buffer)
	f.recordRequestEnd(packet.Flow, verdict, payload)
	f.admitWaiting()
}

// admitWaiting sends the opening packets that waited to the endpoint, if it has room, and resets
// to the callers of those that cannot be served within their time limit.
func (f *forwarder) admitWaiting() {
	admitted := withFlows(f, func(t *flow.AgentTable) []flow.AdmittedOpening { return t.AdmitWaiting(clock.Now()) })
	for _, a := range admitted {
		f.execute(a.Flow, a.Verdict, flow.Address{}, append(make([]byte, wire.EnvelopeSize), a.Datagram...))
		if a.Verdict.Action == flow.Deliver {
			f.awaitAnswer()
		}
	}
}

// awaitAnswer makes an opening packet go elsewhere if the endpoint does not answer it.
func (f *forwarder) awaitAnswer() {
	time.AfterFunc(flow.AnswerTimeout, func() { f.log.Contain("unanswered opening", f.redirectOpenings) })
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
func (f *forwarder) recordRequestEnd(key flow.Key, v flow.Verdict, payload []byte) {
	if !v.RequestEnds {
		return
	}
	e, status := EventUnanswered, 0
	if v.Action == flow.ToCaller && v.Reason != flow.EndpointReset {
		e, status = EventAnswered, f.codec.Status(payload)
		f.answers.Observe(v.EndedRequest.Elapsed)
	} else {
		f.unanswered.Add(1)
	}
	failed := e == EventUnanswered || status >= serverError && status != notRun
	withFlows(f, func(t *flow.AgentTable) bool {
		t.RecordOutcome(clock.Now(), failed)
		return failed
	})
	f.logRequest(e, key, v.EndedRequest, status)
}

// redirectOpenings forwards or returns the opening packets that the endpoint has not
// answered within flow.AnswerTimeout.
func (f *forwarder) redirectOpenings() {
	overdue := withFlows(f, func(t *flow.AgentTable) []flow.UnansweredOpening { return t.Tick(clock.Now()) })
	f.checkSilence()
	for _, u := range overdue {
		buffer := append(make([]byte, wire.EnvelopeSize), u.Datagram...)
		f.execute(u.Flow, u.Verdict, u.Verdict.Balancer, buffer)
	}
}

// checkSilence notifies the control goroutine when the endpoint stops answering or
// answers again.
func (f *forwarder) checkSilence() {
	silent := withFlows(f, func(t *flow.AgentTable) bool { return t.Silent(clock.Now()) })
	if f.silent.Swap(silent) != silent {
		f.loop.Offer(silenceChanged{silent: silent})
	}
}

// execute carries out a verdict: it sends the packet, a message to a balancer, or a
// reset to the caller. buffer has space for an envelope before the packet; balancer is
// the one that gets replies about the flow.
func (f *forwarder) execute(key flow.Key, v flow.Verdict, balancer flow.Address, buffer []byte) {
	f.counters.CountDecision(v.Reason)
	f.logDecision(key, v)
	payload := buffer[wire.EnvelopeSize:]
	switch v.Action {
	case flow.Deliver:
		f.counters.Send(f.outbound, payload, f.endpoint)
	case flow.ToCaller:
		f.counters.Send(f.outbound, payload, f.callerAddress(key))
	case flow.ForwardToAgent:
		f.counters.SendToNode(f.peers, f.encodeForward(buffer, v, balancer), v.To.AddrPort())
	case flow.Return:
		wire.PutEnvelope(buffer, wire.Return, wire.Envelope{Delivery: flow.Delivery{
			Balancer: balancer, Hops: v.Hops, Silent: v.Reason == flow.EndpointSilent || v.Reason == flow.HandingOver, Evacuated: v.Reason == flow.Evacuated,
			NameRequired: v.Reason == flow.NameRequired,
		}})
		f.counters.SendToNode(f.peers, buffer, v.To.AddrPort())
	case flow.Deny:
		f.counters.SendToNode(f.peers, wire.Encode(wire.Denied{Flow: key}), v.To.AddrPort())
	case flow.SendReset:
		f.counters.Resets.Add(1)
		f.counters.Send(f.outbound, f.codec.AppendReset(nil, v.Reset), f.callerAddress(key))
	}
	if !v.Notify.IsZero() {
		f.counters.SendToNode(f.peers, wire.Encode(wire.Owner{Flow: key, Agent: v.Owner}), v.Notify.AddrPort())
	}
}

// encodeForward returns the datagram that forwards the packet in buffer, after space for an
// envelope, to another agent. It states the service, since the other agent's address may meanwhile
// belong to another one, and the class of the requests if it is known: then that agent reads it.
func (f *forwarder) encodeForward(buffer []byte, v flow.Verdict, balancer flow.Address) []byte {
	stated := f.service.Stated(v.Naming)
	wire.PutEnvelope(buffer, wire.Forward, wire.Envelope{StatedService: stated, Delivery: flow.Delivery{Balancer: balancer, Hops: v.Hops}})
	if v.Class.IsKnown() {
		buffer = wire.AppendClass(buffer, v.Class)
	}
	if v.Naming == flow.ByName {
		buffer = wire.AppendName(buffer, stated.Name, flow.ByName)
	}
	return buffer
}

func (f *forwarder) callerAddress(key flow.Key) netip.AddrPort {
	caller := key.Caller
	caller.Port = f.callerPort
	return caller.AddrPort()
}

// apply applies changed settings, except addresses.
func (f *forwarder) apply(p *settings.PacketSettings) {
	f.stopNanos.Store(int64(p.StopTimeout()))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flowTable.SetLifetime(p.FlowLifetime())
	f.flowTable.SetColdLimit(coldLimitOf(p))
}

// stopTime returns how long a graceful stop may take.
func (f *forwarder) stopTime() time.Duration { return time.Duration(f.stopNanos.Load()) }
