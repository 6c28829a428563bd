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

// behindInterval is the shortest time between two notices that a node is
// behind.
const behindInterval = 100 * time.Millisecond

// buffers hold encoded envelopes on their way to a socket.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, readSize)
	return &b
}}

// readSize is the largest datagram that arrives: a path's MTU with an
// envelope stays far below it, in bytes.
const readSize = 1 << 14

// receiver decides on what arrives at an agent. One goroutine owns it.
type receiver struct {
	conn     *Conn
	opener   *steering.Opener
	placer   *placement.Placer
	buffer   []byte
	envelope Envelope
	// reset tells that the datagram received last is to be reset.
	reset   bool
	told    time.Time
	noticed time.Time
}

func newReceiver(conn *Conn, sealer *steering.Sealer) *receiver {
	return &receiver{
		conn:   conn,
		opener: sealer.NewOpener(),
		placer: placement.NewPlacer(),
		buffer: make([]byte, MaxDatagram),
	}
}

// receive decides on one datagram, counts it, and tells whether it is for the
// flows of this endpoint; the envelope then holds it.
func (r *receiver) receive(now time.Time, raw []byte, from netip.AddrPort) (deliver bool) {
	deliver, reason := r.decide(now, raw, from)
	r.conn.residence.Counters.Count(reason)
	r.reset = isReset(reason)
	if deliver {
		r.traceDelivery()
	}
	return deliver
}

func (r *receiver) decide(now time.Time, raw []byte, from netip.AddrPort) (bool, steering.Reason) {
	if !r.envelope.Parse(raw) {
		return false, steering.Malformed
	}
	steer := r.conn.residence.Steering.Load()
	if r.envelope.IsLoad {
		return false, r.hear(steer, from)
	}
	packet, ok := Classify(r.envelope.Payload, r.envelope.Caller, netip.AddrPort{}, r.opener)
	if !ok || !r.envelope.Caller.IsValid() {
		return false, steering.Malformed
	}
	arrival := r.envelope.arrival(from, packet)
	reception := steer.Receive(arrival)
	if reception.Reason != steering.UnknownService && reception.Reason != steering.WrongEndpoint {
		r.compareTickets(now, steer, arrival)
	}
	switch reception.Action {
	case steering.Deliver:
		return true, reception.Reason
	case steering.Place:
		return r.place(now, arrival, reception)
	case steering.Pass:
		r.pass(arrival, reception.Endpoint.Key, reception.Endpoint.Datagram)
	}
	return false, reception.Reason
}

// hear takes a peer's load in, if the peer itself sent it.
func (r *receiver) hear(steer *steering.Residence, from netip.AddrPort) steering.Reason {
	if r.envelope.Service != steer.Service {
		return steering.UnknownService
	}
	peer := steer.Peer(r.envelope.Endpoint)
	if peer == nil || peer.Datagram != unmapped(from) {
		return steering.Stranger
	}
	r.conn.offer(placement.Heard{Load: r.envelope.Load})
	return steering.Reported
}

// compareTickets tells whichever node routes by the older ticket.
func (r *receiver) compareTickets(now time.Time, steer *steering.Residence, a steering.Arrival) {
	sender, self := steer.Behind(a)
	if sender && !a.HandedOn && now.Sub(r.told) >= behindInterval {
		r.told = now
		r.conn.tellBehind(steer, a.Sender)
	}
	if self && now.Sub(r.noticed) >= behindInterval {
		r.noticed = now
		r.conn.offer(steering.Behind{Service: a.Service, Ticket: a.Ticket})
	}
}

// place decides whether a new flow stays. One that should not, but has nowhere
// to go, is delivered too, so that its caller gets an answer.
func (r *receiver) place(now time.Time, a steering.Arrival, reception steering.Reception) (bool, steering.Reason) {
	view := r.conn.residence.View.Load()
	if view == nil {
		return true, steering.Forwarded
	}
	arrival := placement.Arrival{
		Flow:        a.Packet.Flow,
		HandedOn:    a.HandedOn,
		Connections: r.conn.residence.Connections.Open(),
		Random:      rand.Uint64(),
	}
	if reception.Endpoint != nil {
		arrival.Home = reception.Endpoint.Key
	}
	placed := r.placer.Place(now, view, arrival)
	switch placed.Verdict {
	case placement.HandOn:
		r.pass(a, placed.Alternate.Key, placed.Alternate.Datagram)
		if placed.Corrected {
			return false, steering.Corrected
		}
		return false, steering.HandedOn
	case placement.Refuse:
		return true, steering.Refused
	}
	return true, steering.Forwarded
}

// pass sends the datagram on to another agent of the service; the ticket it
// then carries is the one of this agent.
func (r *receiver) pass(a steering.Arrival, endpoint ticket.EndpointKey, to netip.AddrPort) {
	envelope := r.envelope
	envelope.Endpoint = endpoint
	envelope.HandedOn++
	envelope.Trace = r.traceHandOn(endpoint)
	envelope.Ticket = max(a.Ticket, r.conn.residence.Steering.Load().Ticket())
	_ = r.conn.send(&envelope, to) // lost as on any network; callers repeat
}
