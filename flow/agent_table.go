package flow

import (
	"time"
)

const (
	// acceptWindow is how far, in bytes, a caller's first acknowledgment may lie beyond
	// the sequence number of the endpoint's acceptance: a few packets. The random
	// initial number of another endpoint falls within it once in 65,536 flows.
	acceptWindow = 1 << 16
	// AnswerTimeout is how long an endpoint has to answer an opening packet before another
	// endpoint is tried. An endpoint next to its agent answers in less than a
	// millisecond; a caller retransmits its packet after 200 ms.
	AnswerTimeout = 60 * time.Millisecond
	// closedExpiry is how long a closed flow is retained for late packets: twice the
	// longest pause between two retransmissions of either end, 1.6 s. A flow that the
	// endpoint has not accepted or has lost, or that was forwarded, is retained as long.
	closedExpiry = 3200 * time.Millisecond
	// maxFlows bounds the table; an endpoint takes about 2,000 flows.
	maxFlows = 1 << 15
)

type flowState uint8

const (
	// offered: the opening packet was delivered and has no answer yet.
	offered flowState = iota
	// accepted: the endpoint answered; the caller may still take the acceptance of another
	// endpoint.
	accepted
	// open: the caller's packets are delivered.
	open
	// trial: delivered although the flow is unknown, as after a restart of the agent.
	trial
	// forwarded: forwarded to another agent.
	forwarded
	// refused: the endpoint gave the opening packet back.
	refused
	// lost: the endpoint no longer knows the flow.
	lost
	// delayed: the opening packet waits at the agent until the endpoint has room.
	delayed
)

type flowRecord struct {
	state flowState
	// searched is true while the balancer searches for the flow and has yet to be
	// notified of its agent.
	searched bool
	// busy is true while a request is in progress on the flow.
	busy bool
	// callerDone and endpointDone are true once that end has closed or reset the flow.
	callerDone   bool
	endpointDone bool
	// sequence is the initial sequence number of the endpoint, from its acceptance.
	sequence uint32
	// balancer is the one that last sent a packet of the flow.
	balancer Address
	// hops is the hop count of the last packet from a balancer or agent.
	hops uint8
	// otherAgent is the alternate for an offered flow, or the agent to which a
	// forwarded flow went. otherNaming is how the opening packet states its service there.
	otherAgent  Address
	otherNaming Naming
	lastSeen    Timestamp
	// received is the sequence number after the caller's last data so far.
	received uint32
	// requestedAt is when the request in progress reached the endpoint, requestID its
	// id, and concurrent how many other requests were in progress at that time.
	requestedAt Timestamp
	requestID   string
	concurrent  uint16
	// opening is the opening datagram, retained until the endpoint answers.
	opening []byte
	// class is the class of the flow's requests; it may be unknown.
	class Class
}

// Delivery is what a balancer sends with a packet.
type Delivery struct {
	// Balancer sent the packet, and is notified of what becomes of the flow.
	Balancer Address
	// Alternate is the agent that takes the flow if this one's endpoint is busy or
	// silent or refuses it.
	Alternate Address
	// AlternateRunning is how many requests the alternate's endpoint had in
	// progress, by its last report to the balancer.
	AlternateRunning uint8
	// AlternateNaming is how an opening packet states its service to the alternate.
	AlternateNaming Naming
	// Search is true if the balancer does not know which agent holds the flow.
	Search bool
	// Hops counts the nodes that have forwarded or returned the packet.
	Hops uint8
	// Class is the class of the requests on a new flow; it may be unknown. The alternate
	// reads classes too if it is known.
	Class Class
	// Silent is true for a returned packet that the endpoint left unanswered: it may
	// still answer, whereas an endpoint that gave the packet back will not.
	Silent bool
	// Evacuated is true for an opening packet that is returned because the agent's failure
	// domain is evacuated.
	Evacuated bool
	// NameRequired is true for an opening packet that is returned because it does not name its
	// service although its balancer can.
	NameRequired bool
}

// maxHops bounds how often a packet is sent between nodes: to three endpoints that
// refuse it and one that accepts it, with their balancer in between.
const maxHops = 7

// Action is what an agent does with a packet.
type Action uint8

const (
	// Drop: the packet is discarded.
	Drop Action = iota
	// Deliver: to the agent's own endpoint.
	Deliver
	// ForwardToAgent: to the agent To.
	ForwardToAgent
	// Return: back to the balancer To, which knows other endpoints.
	Return
	// ToCaller: to the flow's caller.
	ToCaller
	// Deny: the balancer To is notified that the flow is not held here.
	Deny
	// SendReset: a reset goes to the caller.
	SendReset
)

// Verdict is an agent's decision on a packet.
type Verdict struct {
	Action Action
	To     Address
	Reason Reason
	// Notify is the balancer to notify that the flow is at Owner, or zero. A zero Owner
	// is this agent.
	Notify Address
	Owner  Address
	Reset  Reset
	// Balancer gets the replies about a packet that is forwarded; it may be zero for any
	// other.
	Balancer Address
	// Class goes with an opening packet that is forwarded; it may be unknown. Naming is how the
	// packet states its service.
	Class  Class
	Naming Naming
	// Hops is the hop count to send with a packet that is forwarded or returned.
	Hops uint8
	// RequestBegins is true if a request starts with this packet, which goes to the
	// endpoint.
	RequestBegins bool
	// RequestEnds is true if a request ends with this packet, and EndedRequest is that
	// request.
	RequestEnds  bool
	EndedRequest Request
}

// AgentTable is an agent's table of its endpoint's flows. The endpoint is authoritative:
// a packet of a flow without a record is tried there, unless the table is complete, and
// the endpoint does not hold a flow whose packet it gives back.
//
// Invariant: a packet of a flow that another endpoint accepted is never delivered,
// since the caller acknowledges the sequence number of the acceptance that it took.
type AgentTable struct {
	flows map[Key]flowRecord
	slots int
	// complete is true if the table has every flow of the endpoint: the agent
	// started before any of them.
	complete  bool
	startedAt Timestamp
	// confirmedStart is the start of the endpoint by which complete was concluded, or 0, and
	// refutedStart one that is earlier than the agent's.
	confirmedStart, refutedStart int64
	lifetime                     time.Duration
	// knownSince is from when the table has every flow that opened. takenOver is true if it took
	// over the flows of the agent before, and takenComplete if that knew all of them.
	knownSince    Timestamp
	takenOver     bool
	takenComplete bool
	// unsure are flows taken over that the endpoint may hold, and when they were.
	unsure map[Key]Timestamp
	// leaving is true once the flows were handed over.
	leaving bool

	running     int
	flowCount   int
	runningTime time.Duration
	accountedAt Timestamp

	// evacuated is true if the endpoint's failure domain is evacuated.
	evacuated        bool
	cold             coldLimit
	pending          []pendingOpen
	waiting          waitingOpenings
	silence          silence
	failureRate      failureRate
	processingTime   processingTime
	endpointLastSeen Timestamp
}

type pendingOpen struct {
	key Key
	due Timestamp
}

// NewAgentTable returns the table of an agent that starts now. slots is how many requests
// the endpoint works on at once, lifetime the maximum lifetime of a flow; complete is
// true if the endpoint cannot have started before this agent.
func NewAgentTable(now Timestamp, slots int, lifetime time.Duration, complete bool) *AgentTable {
	return &AgentTable{
		flows: make(map[Key]flowRecord), slots: max(slots, 1), complete: complete,
		startedAt: now, knownSince: now, lifetime: lifetime, accountedAt: now, endpointLastSeen: now,
		waiting: waitingOpenings{order: newClassOrder(max(slots, 1))},
	}
}

// SetSlots sets how many requests the endpoint works on at once.
func (t *AgentTable) SetSlots(slots int) {
	t.slots = max(slots, 1)
	t.waiting.order.setSlots(t.slots)
}

// SetLifetime sets the maximum lifetime of a flow.
func (t *AgentTable) SetLifetime(lifetime time.Duration) { t.lifetime = lifetime }

// isComplete reports whether a flow without a record cannot be at the endpoint.
func (t *AgentTable) isComplete(now Timestamp) bool {
	return t.complete || t.takenComplete || now-t.knownSince > t.lifetime
}

// FromBalancer decides on a caller's packet that a balancer or another agent sent.
// datagram is copied for opening packets only, and retained until the endpoint answers.
func (t *AgentTable) FromBalancer(now Timestamp, p Packet, d Delivery, datagram []byte) Verdict {
	t.account(now)
	if d.Hops > maxHops {
		return Verdict{Action: Drop, Reason: TooManyHops}
	}
	v := t.fromBalancer(now, p, d, datagram)
	v.Hops = d.Hops + 1
	return v
}

func (t *AgentTable) fromBalancer(now Timestamp, p Packet, d Delivery, datagram []byte) Verdict {
	r, known := t.flows[p.Flow]
	if p.Opening {
		return t.handleOpening(now, p, d, r, known, datagram)
	}
	if !known {
		return t.handleUnknown(now, p, d)
	}
	return t.handleKnown(now, p, d, r)
}

// handleOpening decides on an opening packet.
func (t *AgentTable) handleOpening(now Timestamp, p Packet, d Delivery, r flowRecord, known bool, datagram []byte) Verdict {
	if known && r.state != lost && !r.isClosed() {
		r.lastSeen, r.balancer, r.hops = now, d.Balancer, d.Hops
		t.store(p.Flow, r)
		switch r.state {
		case forwarded:
			return Verdict{Action: ForwardToAgent, To: r.otherAgent, Reason: HandedOn, Notify: d.Balancer, Owner: r.otherAgent, Class: r.class, Naming: r.otherNaming}
		case refused:
			return Verdict{Action: Return, To: d.Balancer, Reason: EndpointRefused}
		case delayed:
			return t.admitOrWait(now, p, r)
		default:
			return Verdict{Action: Deliver, Reason: Repeated}
		}
	}
	if t.evacuated {
		return Verdict{Action: Return, To: d.Balancer, Reason: Evacuated}
	}
	if t.leaving {
		return Verdict{Action: Return, To: d.Balancer, Reason: HandingOver}
	}
	if reason, away := t.shouldForward(now, d); away && !d.Alternate.IsZero() {
		return t.forward(now, p.Flow, flowRecord{balancer: d.Balancer, otherAgent: d.Alternate, otherNaming: d.AlternateNaming, class: d.Class}, reason)
	}
	if len(t.flows) >= maxFlows {
		return Verdict{Action: Return, To: d.Balancer, Reason: TableFull}
	}
	return t.admitOrWait(now, p, flowRecord{
		state: offered, balancer: d.Balancer, hops: d.Hops, otherAgent: d.Alternate, otherNaming: d.AlternateNaming, lastSeen: now,
		opening: append([]byte(nil), datagram...), class: d.Class,
	})
}

// admitOrWait decides whether an opening packet goes to the endpoint now.
func (t *AgentTable) admitOrWait(now Timestamp, p Packet, r flowRecord) Verdict {
	if t.isSaturated(now) && len(t.waiting.flows) < maxWaitingOpenings {
		return t.wait(now, p, r)
	}
	if t.isColdLimitUsedUp(now) { // and too many opening packets wait
		return Verdict{Action: Return, To: r.balancer, Reason: EndpointCold}
	}
	t.waiting.remove(p.Flow)
	r.state = offered
	t.store(p.Flow, r)
	t.admit(now, p.Flow)
	return Verdict{Action: Deliver, Reason: Opened}
}

// shouldForward reports whether a new flow is better placed at its alternate, and
// why. An endpoint that was silent is tried with one flow at a time.
func (t *AgentTable) shouldForward(now Timestamp, d Delivery) (Reason, bool) {
	if t.silence.isSilent(now) || t.silence.trial && len(t.pending) > 0 {
		return EndpointSilent, true
	}
	if t.isColdLimitUsedUp(now) {
		return EndpointCold, true
	}
	return EndpointBusy, t.running >= t.slots && t.running > int(d.AlternateRunning)
}

// forward forwards the opening packet of r to the other agent of r, with the class of r.
func (t *AgentTable) forward(now Timestamp, key Key, r flowRecord, reason Reason) Verdict {
	t.store(key, flowRecord{
		state: forwarded, balancer: r.balancer, otherAgent: r.otherAgent, otherNaming: r.otherNaming, lastSeen: now, class: r.class,
	})
	return Verdict{
		Action: ForwardToAgent, To: r.otherAgent, Reason: reason, Notify: r.balancer, Owner: r.otherAgent, Balancer: r.balancer,
		Class: r.class, Naming: r.otherNaming,
	}
}

// handleUnknown decides on a packet of a flow that has no record.
func (t *AgentTable) handleUnknown(now Timestamp, p Packet, d Delivery) Verdict {
	if p.Reset {
		return Verdict{Action: Drop, Reason: NotHeld}
	}
	// A flow that a balancer has on record here may be one of an agent that ran after the one whose
	// flows were taken over.
	onRecord := t.takenComplete && !d.Search && d.Hops == 0
	if !t.mayLack(now, p.Flow) && !onRecord || len(t.flows) >= maxFlows {
		return t.notHeld(d)
	}
	r := flowRecord{state: trial, searched: d.Search, balancer: d.Balancer, hops: d.Hops, lastSeen: now}
	begins := t.beginRequest(now, &r, p)
	t.store(p.Flow, r)
	t.silence.tried(now)
	return Verdict{Action: Deliver, Reason: Tried, RequestBegins: begins}
}

func (t *AgentTable) notHeld(d Delivery) Verdict {
	if d.Search {
		return Verdict{Action: Deny, To: d.Balancer, Reason: NotHeld}
	}
	return Verdict{Action: Return, To: d.Balancer, Reason: NotHeld}
}

// handleKnown decides on a packet, other than an opening one, of a flow that has a
// record.
func (t *AgentTable) handleKnown(now Timestamp, p Packet, d Delivery, r flowRecord) Verdict {
	switch r.state {
	case forwarded:
		r.lastSeen = now
		t.store(p.Flow, r)
		// Two agents may have forwarded copies of one opening packet to each other,
		// while a third holds the flow.
		if d.Search || d.Hops > 0 {
			return t.notHeld(d)
		}
		return Verdict{Action: ForwardToAgent, To: r.otherAgent, Reason: HandedOn, Notify: d.Balancer, Owner: r.otherAgent}
	case lost:
		return Verdict{Action: SendReset, Reason: EndpointLost, Reset: Reset{Flow: p.Flow, Acknowledged: p.Acknowledged}}
	case delayed:
		t.waiting.remove(p.Flow) // its caller took the acceptance of another endpoint
		t.remove(p.Flow)
		return t.notHeld(d)
	case offered, refused:
		return t.notHeld(d)
	case accepted:
		if p.Acknowledged-r.sequence > acceptWindow {
			return t.handleMismatch(now, p, d, r)
		}
		r.state = open
	}
	v := Verdict{Action: Deliver, Reason: Known}
	if d.Search && r.state == open {
		v.Notify = d.Balancer
	}
	r.searched = r.searched || d.Search && r.state == trial
	r.lastSeen, r.balancer, r.hops = now, d.Balancer, d.Hops
	v.RequestBegins = t.beginRequest(now, &r, p)
	r.callerDone = r.callerDone || p.Closing || p.Reset
	t.store(p.Flow, r)
	return v
}

// handleMismatch decides on a packet that acknowledges another acceptance than the
// recorded one. If the endpoint may have sent that acceptance while an earlier agent ran
// next to it, the packet is tried there.
func (t *AgentTable) handleMismatch(now Timestamp, p Packet, d Delivery, r flowRecord) Verdict {
	if !t.mayLack(now, p.Flow) {
		return t.notHeld(d)
	}
	r.lastSeen, r.balancer, r.searched, r.hops = now, d.Balancer, d.Search, d.Hops
	t.store(p.Flow, r)
	return Verdict{Action: Deliver, Reason: Tried}
}
