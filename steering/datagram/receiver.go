package datagram

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"cactustray/placement"
	"cactustray/steering"
	"cactustray/ticket"
)

// notifyInterval is the minimum time between two notices that a node has an
// older ticket.
const notifyInterval = 100 * time.Millisecond

// buffers holds buffers for encoding envelopes.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, bufferSize)
	return &b
}}

// bufferSize is the initial capacity of an encoding buffer, in bytes. A
// datagram that fits a path's MTU stays far below it, even with its envelope.
const bufferSize = 1 << 14

// receiver processes the datagrams that arrive at an agent. One goroutine owns
// it.
type receiver struct {
	conn     *Conn
	opener   *steering.Opener
	placer   *placement.Placer
	buffer   []byte
	envelope Envelope
	// reset is true if the last datagram is delivered only to be reset.
	reset bool
	// received, sender and deliver are the datagram in progress and whether it is for the
	// flows of this endpoint; step processes it.
	received []byte
	sender   netip.AddrPort
	deliver  bool
	step     func()
	// balancerNotified and controlNotified are the times of the last notice to
	// a balancer and to the control goroutine.
	balancerNotified time.Time
	controlNotified  time.Time
}

func newReceiver(conn *Conn, sealer *steering.Sealer) *receiver {
	r := &receiver{
		conn:   conn,
		opener: sealer.NewOpener(),
		placer: placement.NewPlacer(),
		buffer: make([]byte, MaxDatagram),
	}
	r.step = func() { r.deliver = r.receive(time.Now(), r.received, r.sender) }
	return r
}

// contained does what receive does with the first n bytes of the buffer. A panic gives up
// that datagram.
func (r *receiver) contained(n int, from netip.AddrPort) bool {
	r.received, r.sender, r.deliver = r.buffer[:n], from, false
	r.conn.shared.Contain("datagram of a balancer", r.step)
	return r.deliver
}

// receive processes and counts one datagram. It reports whether the datagram,
// then in r.envelope, is for the flows of this endpoint.
func (r *receiver) receive(now time.Time, raw []byte, from netip.AddrPort) (deliver bool) {
	deliver, reason := r.decide(now, raw, from)
	r.conn.shared.Counters.Count(reason)
	r.reset = isReset(reason)
	if deliver {
		r.traceArrival()
	}
	return deliver
}

func (r *receiver) decide(now time.Time, raw []byte, from netip.AddrPort) (bool, steering.Reason) {
	if !r.envelope.Parse(raw) {
		return false, steering.Malformed
	}
	snapshot := r.conn.shared.Steering.Load()
	if r.envelope.IsLoad {
		return false, r.receiveLoad(snapshot, from)
	}
	packet, ok := Classify(r.envelope.Payload, r.envelope.Caller, netip.AddrPort{}, r.opener)
	if !ok || !r.envelope.Caller.IsValid() {
		return false, steering.Malformed
	}
	arrival := r.envelope.arrival(from, packet)
	decision := snapshot.Receive(arrival)
	if decision.Reason != steering.UnknownService && decision.Reason != steering.WrongEndpoint {
		r.compareTickets(now, snapshot, arrival)
	}
	switch decision.Action {
	case steering.Deliver:
		return true, decision.Reason
	case steering.Place:
		return r.place(now, arrival, decision)
	case steering.Forward:
		r.forwardToPeer(arrival, decision.Endpoint.Key, decision.Endpoint.Datagram)
	}
	return false, decision.Reason
}

// receiveLoad passes a peer's load to the control goroutine if it comes from
// the peer's address.
func (r *receiver) receiveLoad(snapshot *steering.AgentSnapshot, from netip.AddrPort) steering.Reason {
	if r.envelope.Service != snapshot.Service {
		return steering.UnknownService
	}
	peer := snapshot.Peer(r.envelope.Endpoint)
	if peer == nil || peer.Datagram != unmapped(from) {
		return steering.Stranger
	}
	r.conn.offer(placement.LoadReceived{Load: r.envelope.Load})
	return steering.Reported
}

// compareTickets notifies whichever node routes by the older ticket: the
// sender, or the control goroutine here.
func (r *receiver) compareTickets(now time.Time, snapshot *steering.AgentSnapshot, a steering.Arrival) {
	sender, self := snapshot.Behind(a)
	if sender && !a.HandedOn && now.Sub(r.balancerNotified) >= notifyInterval {
		r.balancerNotified = now
		r.conn.notifyNewerTicket(snapshot, a.Sender)
	}
	if self && now.Sub(r.controlNotified) >= notifyInterval {
		r.controlNotified = now
		r.conn.offer(steering.NewerTicket{Service: a.Service, Ticket: a.Ticket})
	}
}

// place decides whether a new flow stays at this endpoint. A flow that should
// not stay but has no alternate is delivered as well, so that its caller gets
// an answer.
func (r *receiver) place(now time.Time, a steering.Arrival, decision steering.Decision) (bool, steering.Reason) {
	view := r.conn.shared.View.Load()
	if view == nil {
		return true, steering.Forwarded
	}
	arrival := placement.Arrival{
		Flow:        a.Packet.Flow,
		HandedOn:    a.HandedOn,
		Connections: r.conn.shared.Connections.Open(),
		Random:      rand.Uint64(),
	}
	if decision.Endpoint != nil {
		arrival.Home = decision.Endpoint.Key
	}
	placed := r.placer.Place(now, view, arrival)
	switch placed.Verdict {
	case placement.Forward:
		r.forwardToPeer(a, placed.Alternate.Key, placed.Alternate.Datagram)
		if placed.Corrected {
			return false, steering.Corrected
		}
		return false, steering.HandedOn
	case placement.Refuse:
		return true, steering.Refused
	}
	return true, steering.Forwarded
}

// forwardToPeer forwards the datagram to another agent of the service, with the
// newer of the sender's and this agent's ticket numbers.
func (r *receiver) forwardToPeer(a steering.Arrival, endpoint ticket.EndpointKey, to netip.AddrPort) {
	envelope := r.envelope
	envelope.Endpoint = endpoint
	envelope.HandedOn++
	envelope.Trace = r.traceForward(endpoint)
	envelope.Ticket = max(a.Ticket, r.conn.shared.Steering.Load().Ticket())
	_ = r.conn.send(&envelope, to) // a lost datagram is sent again by the caller
}
