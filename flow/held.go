package flow

import (
	"time"
)

const (
	// acceptWindow is how far a caller's first acknowledgement may lie beyond
	// the sequence of the endpoint's acceptance, in bytes: a few packets.
	// Another endpoint's random start falls within it once in 65,536 flows.
	acceptWindow = 1 << 16
	// AnswerTime is how long an endpoint has to answer an opening packet before
	// another is tried. Answers take below a millisecond beside an endpoint; a
	// caller repeats its packet after 200 ms.
	AnswerTime = 60 * time.Millisecond
	// closedKeep is how long a closed flow is remembered for late packets: the
	// longest pause between two retransmissions of either end, 1.6 s, twice.
	closedKeep = 3200 * time.Millisecond
	// maxHeld bounds the table; an endpoint takes about 2,000 flows.
	maxHeld = 1 << 15
)

type holdState uint8

const (
	// offered: the opening packet was delivered and has no answer yet.
	offered holdState = iota
	// accepted: the endpoint answered; the caller may yet choose another.
	accepted
	// open: the caller's packets are delivered.
	open
	// trial: delivered without knowledge, as after a restart of the agent.
	trial
	// passed: handed to another agent.
	passed
	// refused: the endpoint gave the opening packet back.
	refused
	// lost: the endpoint no longer knows the flow.
	lost
)

type hold struct {
	state holdState
	// announce tells that the balancer searches for the flow.
	announce     bool
	busy         bool
	callerDone   bool
	endpointDone bool
	// sequence is the endpoint's first, in its acceptance.
	sequence uint32
	balancer Address
	// hops is the count that came with the last packet.
	hops uint8
	// other is the alternative for an offered flow, and the agent that a
	// passed flow went to.
	other Address
	last  Stamp
	// received is the end of the caller's data so far, in its sequence.
	received uint32
	// asked is when the request in progress reached the endpoint, request its
	// id, and beside how many others were in progress.
	asked   Stamp
	request string
	beside  uint16
	// opening is the opening datagram until the endpoint answers.
	opening []byte
}

// Delivery is what a balancer says with a packet.
type Delivery struct {
	// Balancer is who sent it, and is told of the flow's fate.
	Balancer Address
	// Alternative is the agent that takes the flow if this one is busy.
	Alternative Address
	// AlternativeRunning is how many requests it had in progress, as the balancer
	// last heard.
	AlternativeRunning uint8
	// Search tells that the balancer does not know who holds the flow.
	Search bool
	// Hops counts the nodes that have passed the packet on or returned it.
	Hops uint8
	// Silent tells of a returned packet that the endpoint left it unanswered: it may
	// still answer, while one that gave the packet back does not.
	Silent bool
}

// maxHops bounds how often a packet goes from node to node: three endpoints that
// refuse it, and one that takes it, with their balancer in between.
const maxHops = 7

// Move is what becomes of a packet at an agent.
type Move uint8

const (
	// Drop: the packet goes nowhere.
	Drop Move = iota
	// Deliver: to the endpoint beside the agent.
	Deliver
	// Pass: to the agent To.
	Pass
	// Return: back to the balancer To, which knows other endpoints.
	Return
	// ToCaller: to the flow's caller.
	ToCaller
	// Deny: the balancer To is told that the flow is not held here.
	Deny
	// End: the caller gets a reset.
	End
)

// Verdict is a decision on a packet at an agent.
type Verdict struct {
	Move   Move
	To     Address
	Reason Reason
	// Tell is the balancer to tell that the flow is at Owner, or zero. A zero
	// Owner is this agent.
	Tell  Address
	Owner Address
	Reset Reset
	// Balancer is the one that last sent a packet of the flow, or zero.
	Balancer Address
	// Hops is the count that goes with a packet that is passed or returned.
	Hops uint8
	// Begins tells that a request reaches the endpoint with the packet.
	Begins bool
	// Ended is the request that ends with the packet, when Ends is set.
	Ends  bool
	Ended Request
}

// Held is what an agent knows of its endpoint's flows. The endpoint is the truth
// about them: what the table lacks is tried there, and what the endpoint gives
// back is not there.
//
// Invariant: a packet of a flow that is accepted elsewhere is never delivered,
// since the caller acknowledges the sequence of the acceptance that it took.
type Held struct {
	flows map[Key]hold
	slots int
	// complete tells that the table has every flow of the endpoint: the agent
	// started before any of them.
	complete bool
	since    Stamp
	lifetime time.Duration

	running     int
	count       int
	runningTime time.Duration
	counted     Stamp

	pending      []pendingOpen
	silence      silence
	failing      failing
	answering    answering
	endpointLast Stamp
}

type pendingOpen struct {
	key Key
	due Stamp
}

// NewHeld returns the table of an agent that starts now. slots is how many
// requests the endpoint works on at once, lifetime the longest life of a flow;
// complete tells that no endpoint can be older than this agent.
func NewHeld(now Stamp, slots int, lifetime time.Duration, complete bool) *Held {
	return &Held{
		flows: make(map[Key]hold), slots: max(slots, 1), complete: complete,
		since: now, lifetime: lifetime, counted: now, endpointLast: now,
	}
}

// Slots sets how many requests the endpoint works on at once.
func (h *Held) Slots(slots int) { h.slots = max(slots, 1) }

// SetLifetime sets the longest life of a flow.
func (h *Held) SetLifetime(lifetime time.Duration) { h.lifetime = lifetime }

// knowsAll tells whether a flow without a record cannot be at the endpoint.
func (h *Held) knowsAll(now Stamp) bool { return h.complete || now-h.since > h.lifetime }

// FromBalancer decides on a caller's packet. datagram is kept, while the endpoint
// has not answered, of opening packets only.
func (h *Held) FromBalancer(now Stamp, p Packet, d Delivery, datagram []byte) Verdict {
	h.account(now)
	if d.Hops > maxHops {
		return Verdict{Move: Drop, Reason: TooManyHops}
	}
	v := h.fromBalancer(now, p, d, datagram)
	v.Hops = d.Hops + 1
	return v
}

func (h *Held) fromBalancer(now Stamp, p Packet, d Delivery, datagram []byte) Verdict {
	r, known := h.flows[p.Flow]
	if p.Opening {
		return h.offer(now, p, d, r, known, datagram)
	}
	if !known {
		return h.unknown(now, p, d)
	}
	return h.carry(now, p, d, r)
}

// offer decides on an opening packet.
func (h *Held) offer(now Stamp, p Packet, d Delivery, r hold, known bool, datagram []byte) Verdict {
	if known && r.state != lost && !r.done() {
		r.last, r.balancer, r.hops = now, d.Balancer, d.Hops
		h.put(p.Flow, r)
		switch r.state {
		case passed:
			return Verdict{Move: Pass, To: r.other, Reason: HandedOn, Tell: d.Balancer, Owner: r.other}
		case refused:
			return Verdict{Move: Return, To: d.Balancer, Reason: EndpointRefused}
		default:
			return Verdict{Move: Deliver, Reason: Repeated}
		}
	}
	if reason, away := h.avoid(now, d); away && !d.Alternative.IsZero() {
		return h.pass(now, p.Flow, d.Balancer, d.Alternative, reason)
	}
	if len(h.flows) >= maxHeld {
		return Verdict{Move: Return, To: d.Balancer, Reason: TableFull}
	}
	h.put(p.Flow, hold{
		state: offered, balancer: d.Balancer, hops: d.Hops, other: d.Alternative, last: now,
		opening: append([]byte(nil), datagram...),
	})
	h.pending = append(h.pending, pendingOpen{key: p.Flow, due: now + AnswerTime})
	return Verdict{Move: Deliver, Reason: Opened}
}

// avoid tells whether a new flow is better placed at its alternative. An endpoint
// that was silent is tried with one flow at a time.
func (h *Held) avoid(now Stamp, d Delivery) (Reason, bool) {
	if h.silence.at(now) || h.silence.trial && len(h.pending) > 0 {
		return EndpointSilent, true
	}
	return EndpointBusy, h.running >= h.slots && h.running > int(d.AlternativeRunning)
}

func (h *Held) pass(now Stamp, key Key, balancer, to Address, reason Reason) Verdict {
	h.put(key, hold{state: passed, balancer: balancer, other: to, last: now})
	return Verdict{Move: Pass, To: to, Reason: reason, Tell: balancer, Owner: to, Balancer: balancer}
}

// unknown decides on a packet of a flow that has no record.
func (h *Held) unknown(now Stamp, p Packet, d Delivery) Verdict {
	if p.Reset {
		return Verdict{Move: Drop, Reason: NotHeld}
	}
	if h.knowsAll(now) || len(h.flows) >= maxHeld {
		return h.notHeld(d)
	}
	r := hold{state: trial, announce: d.Search, balancer: d.Balancer, hops: d.Hops, last: now}
	begins := h.setBusy(now, &r, p)
	h.put(p.Flow, r)
	return Verdict{Move: Deliver, Reason: Tried, Begins: begins}
}

func (h *Held) notHeld(d Delivery) Verdict {
	if d.Search {
		return Verdict{Move: Deny, To: d.Balancer, Reason: NotHeld}
	}
	return Verdict{Move: Return, To: d.Balancer, Reason: NotHeld}
}

// carry decides on a packet of a known flow.
func (h *Held) carry(now Stamp, p Packet, d Delivery, r hold) Verdict {
	switch r.state {
	case passed:
		r.last = now
		h.put(p.Flow, r)
		// Two agents may have handed copies of one opening packet to each other,
		// while a third has the flow.
		if d.Search || d.Hops > 0 {
			return h.notHeld(d)
		}
		return Verdict{Move: Pass, To: r.other, Reason: HandedOn, Tell: d.Balancer, Owner: r.other}
	case lost:
		return Verdict{Move: End, Reason: EndpointLost, Reset: Reset{Flow: p.Flow, Acknowledged: p.Acknowledged}}
	case offered, refused:
		return h.notHeld(d)
	case accepted:
		if p.Acknowledged-r.sequence > acceptWindow {
			return h.mismatched(now, p, d, r)
		}
		r.state = open
	}
	v := Verdict{Move: Deliver, Reason: Known}
	if d.Search && r.state == open {
		v.Tell = d.Balancer
	}
	r.announce = r.announce || d.Search && r.state == trial
	r.last, r.balancer, r.hops = now, d.Balancer, d.Hops
	v.Begins = h.setBusy(now, &r, p)
	r.callerDone = r.callerDone || p.Closing || p.Reset
	h.put(p.Flow, r)
	return v
}

// mismatched decides on a packet that acknowledges another acceptance than the
// one seen here. Where an agent before this one may have seen the right one, the
// endpoint is asked.
func (h *Held) mismatched(now Stamp, p Packet, d Delivery, r hold) Verdict {
	if h.knowsAll(now) {
		return h.notHeld(d)
	}
	r.last, r.balancer, r.announce, r.hops = now, d.Balancer, d.Search, d.Hops
	h.put(p.Flow, r)
	return Verdict{Move: Deliver, Reason: Tried}
}
