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

// Request is what an agent saw of a request.
type Request struct {
	ID string
	// Took is the time from its first packet to the first of the answer, or
	// until it was given up.
	Took time.Duration
	// Beside is how many other requests were in progress when it came.
	Beside int
}

// Usage is how busy the endpoint is, by the packets that went by.
type Usage struct {
	// Flows counts flows that are accepted or open.
	Flows int
	// Running counts flows whose request has no answer yet.
	Running int
	// RunningTime is the sum of the running requests' time so far: the
	// difference of two readings over their distance is the mean number.
	RunningTime time.Duration
	// Silent tells that the endpoint leaves packets unanswered.
	Silent bool
	// Failing is the share of late requests that failed.
	Failing float64
}

// Outcome takes in whether a request that ended had failed.
func (h *Held) Outcome(now Stamp, failed bool) { h.failing.ended(now, failed) }

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

// FromEndpoint decides on a packet that the endpoint sent or gave back.
func (h *Held) FromEndpoint(now Stamp, p Packet) Verdict {
	h.account(now)
	h.endpointLast = now
	h.silence.answered()
	r, known := h.flows[p.Flow]
	if p.Bounced {
		v := h.bounced(now, p, r, known)
		v.Hops = r.hops + 1
		return v
	}
	if !known {
		r = hold{state: open}
		if p.Accepting {
			r.state = accepted
		}
	}
	v := Verdict{Move: ToCaller, Reason: Known}
	if p.Accepting {
		r.sequence, r.opening = p.Sequence, nil
		if r.state != open {
			r.state = accepted
		}
	} else if r.state == trial || r.state == accepted {
		r.state = open
	}
	if r.announce && r.state == open {
		v.Tell, r.announce = r.balancer, false
	}
	if p.Reset {
		v.Reason = EndpointReset
	}
	if (p.Data > 0 || p.Reset) && r.busy {
		v.Ends, v.Ended = true, r.ended(now)
		h.settle(&r)
	}
	r.endpointDone = r.endpointDone || p.Closing || p.Reset
	r.callerDone = r.callerDone || p.Reset
	r.last = now
	h.put(p.Flow, r)
	return v
}

// bounced decides on a caller's packet that the endpoint gave back.
func (h *Held) bounced(now Stamp, p Packet, r hold, known bool) Verdict {
	if !known {
		return Verdict{Move: Drop, Reason: NotHeld}
	}
	if p.Opening {
		return h.openingRefused(now, p, r)
	}
	d := Delivery{Balancer: r.balancer, Search: r.announce}
	switch r.state {
	case trial:
		h.remove(p.Flow)
		return h.notHeld(d)
	case accepted:
		return h.notHeld(d)
	case open:
		if r.done() {
			return Verdict{Move: Drop, Reason: Closed}
		}
		v := Verdict{Move: End, Reason: EndpointLost, Reset: Reset{Flow: p.Flow, Acknowledged: p.Acknowledged}}
		if r.busy {
			v.Ends, v.Ended = true, r.ended(now)
		}
		r.state = lost
		h.put(p.Flow, r)
		return v
	default:
		return Verdict{Move: Drop, Reason: NotHeld}
	}
}

func (h *Held) openingRefused(now Stamp, p Packet, r hold) Verdict {
	if r.state != offered {
		return Verdict{Move: Drop, Reason: EndpointRefused}
	}
	if !r.other.IsZero() {
		return h.pass(now, p.Flow, r.balancer, r.other, EndpointRefused)
	}
	r.state, r.opening = refused, nil
	h.put(p.Flow, r)
	return Verdict{Move: Return, To: r.balancer, Reason: EndpointRefused}
}

// Unanswered is an opening packet that the endpoint left unanswered and that
// another agent gets too.
type Unanswered struct {
	Verdict  Verdict
	Flow     Key
	Datagram []byte
}

// Tick returns the opening packets that are overdue, and forgets old flows. It
// is called every few tens of milliseconds.
func (h *Held) Tick(now Stamp) []Unanswered {
	h.account(now)
	var overdue []Unanswered
	for len(h.pending) > 0 && h.pending[0].due <= now {
		first := h.pending[0]
		h.pending = h.pending[1:]
		r, known := h.flows[first.key]
		if !known || r.state != offered {
			continue
		}
		if h.endpointLast <= first.due-AnswerTime {
			h.silence.unanswered(now)
		}
		if r.other.IsZero() {
			continue
		}
		datagram := r.opening
		v := h.pass(now, first.key, r.balancer, r.other, EndpointSilent)
		overdue = append(overdue, Unanswered{Verdict: v, Flow: first.key, Datagram: datagram})
	}
	return overdue
}

// Left is a request that a flow left behind without an answer.
type Left struct {
	Flow Key
	Request
}

// Sweep forgets closed and old flows, and returns the requests that they leave
// unanswered; every second is enough.
func (h *Held) Sweep(now Stamp) []Left {
	h.account(now)
	var left []Left
	for key, r := range h.flows {
		age := now - r.last
		if age <= closedKeep || age <= h.lifetime && !r.done() && (r.state == open || r.state == accepted) {
			continue
		}
		if r.busy {
			left = append(left, Left{Flow: key, Request: r.ended(now)})
		}
		h.remove(key)
	}
	return left
}

// Silent tells whether the endpoint leaves packets unanswered.
func (h *Held) Silent(now Stamp) bool { return h.silence.at(now) }

// Usage returns how busy the endpoint is.
func (h *Held) Usage(now Stamp) Usage {
	h.account(now)
	return Usage{
		Flows: h.count, Running: h.running, RunningTime: h.runningTime,
		Silent: h.silence.at(now), Failing: h.failing.now(now),
	}
}

// account adds the time since the last call to the running requests' time.
func (h *Held) account(now Stamp) {
	h.runningTime += time.Duration(h.running) * (now - h.counted)
	h.counted = now
}

func (r hold) done() bool { return r.callerDone && r.endpointDone }

func (r hold) counts() bool { return (r.state == accepted || r.state == open) && !r.done() }

// put stores a record and keeps the counts.
func (h *Held) put(key Key, r hold) {
	before, known := h.flows[key]
	if known && before.counts() {
		h.count--
	}
	if r.counts() {
		h.count++
	}
	if !r.counts() && r.state != trial {
		h.settle(&r)
	}
	h.flows[key] = r
}

// setBusy notes that the caller's request is at the endpoint, and tells whether
// it begins with this packet.
func (h *Held) setBusy(now Stamp, r *hold, p Packet) bool {
	end := p.Sequence + uint32(p.Data)
	if p.Data == 0 || r.received != 0 && int32(end-r.received) <= 0 {
		return false // nothing, or sent again
	}
	r.received = end
	if r.busy {
		return false
	}
	r.busy, r.asked, r.request, r.beside = true, now, "", uint16(h.running)
	h.running++
	return true
}

// Name notes the id of the request in progress on a flow.
func (h *Held) Name(key Key, id string) {
	if r, known := h.flows[key]; known && r.busy {
		r.request = id
		h.flows[key] = r
	}
}

// SlotCount is how many requests the endpoint works on at once, as far as is known.
func (h *Held) SlotCount() int { return h.slots }

func (r hold) ended(now Stamp) Request {
	return Request{ID: r.request, Took: now - r.asked, Beside: int(r.beside)}
}

func (h *Held) settle(r *hold) {
	if r.busy {
		r.busy = false
		h.running--
	}
}

func (h *Held) remove(key Key) {
	r := h.flows[key]
	h.settle(&r)
	if r.counts() {
		h.count--
	}
	delete(h.flows, key)
}
