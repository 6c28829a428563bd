package flow

import (
	"slices"
	"time"
)

const (
	// saturation is how many requests in progress for each slot saturate an endpoint: one
	// that runs and one that can start at once when that ends. Beyond it, requests wait at
	// the endpoint in order of arrival until all of them are late.
	saturation = 2
	// admissionTime is how long after its opening packet was delivered a flow counts as a
	// request in progress: its caller sends the request within two round trips.
	admissionTime = 50 * time.Millisecond
	// firstCopyDelay and lastCopyDelay are when callers send the copies of an opening packet,
	// and openingPatience when they give up.
	firstCopyDelay  = 200 * time.Millisecond
	lastCopyDelay   = 600 * time.Millisecond
	openingPatience = 1400 * time.Millisecond
	// maxWaitingOpenings bounds the opening packets that wait at an agent.
	maxWaitingOpenings = 1024
)

// waitingOpenings are the flows whose opening packets wait at the agent while its endpoint is
// saturated. A flow that has not opened has run nothing: its caller may still open it
// elsewhere, and loses none of its retries as by a refusal.
//
// The order decides which is delivered first; without classes it is the newest. When more is
// requested than the endpoint can do, serving in order would make every request late; this way
// those that can still be in time are, and the others get what capacity is left.
type waitingOpenings struct {
	order openingOrder
	// flows are in the order in which their callers began to open them.
	flows []waitingOpening
	// admitted are the flows whose opening packets were delivered recently.
	admitted []admittedOpening
	// checkedAt is when openings were last refused that cannot be served in time, and refused
	// how many there were.
	checkedAt Timestamp
	refused   [BandCount]int64
}

type waitingOpening struct {
	key   Key
	begun Timestamp
	class Class
}

type admittedOpening struct {
	key Key
	at  Timestamp
}

// begunAt returns when a caller began to open the flow of which it now sends a copy.
func begunAt(now Timestamp, copies uint32) Timestamp {
	switch copies {
	case 0:
		return now
	case 1:
		return now - firstCopyDelay
	default:
		return now - lastCopyDelay
	}
}

// add adds a flow in the order of its begin.
func (w *waitingOpenings) add(key Key, begun Timestamp, class Class) {
	at := len(w.flows)
	for at > 0 && w.flows[at-1].begun > begun {
		at--
	}
	w.flows = slices.Insert(w.flows, at, waitingOpening{key: key, begun: begun, class: class})
}

func (w *waitingOpenings) remove(key Key) {
	w.flows = slices.DeleteFunc(w.flows, func(o waitingOpening) bool { return o.key == key })
}

// expire removes the flows that their callers have given up.
func (w *waitingOpenings) expire(now Timestamp) {
	given := 0
	for given < len(w.flows) && now-w.flows[given].begun >= openingPatience {
		given++
	}
	w.flows = slices.Delete(w.flows, 0, given)
}

// isSaturated reports whether the endpoint has as many requests in progress, with those that
// recently admitted flows are about to send, as it can start without a wait, or is cold and gets no
// new flow now.
func (t *AgentTable) isSaturated(now Timestamp) bool {
	expired := 0
	for expired < len(t.waiting.admitted) && now-t.waiting.admitted[expired].at > admissionTime {
		expired++
	}
	t.waiting.admitted = slices.Delete(t.waiting.admitted, 0, expired)
	load := t.running
	for _, a := range t.waiting.admitted {
		if r, known := t.flows[a.key]; known && r.received == 0 && !r.isClosed() && (r.state == offered || r.state == accepted || r.state == open) {
			load++
		}
	}
	return load >= saturation*t.slots || t.isColdLimitUsedUp(now)
}

// admit records that the opening packet of a flow goes to the endpoint.
func (t *AgentTable) admit(now Timestamp, key Key) {
	t.cold.record(now)
	t.pending = append(t.pending, pendingOpen{key: key, due: now + AnswerTimeout})
	t.waiting.admitted = append(t.waiting.admitted, admittedOpening{key: key, at: now})
	t.waiting.order.delivered(now, t.flows[key].class)
}

// wait lets a flow's opening packet wait. It replaces the record of an earlier copy.
func (t *AgentTable) wait(now Timestamp, p Packet, r flowRecord) Verdict {
	t.waiting.remove(p.Flow)
	t.waiting.add(p.Flow, begunAt(now, p.Copy), r.class)
	r.state = delayed
	t.store(p.Flow, r)
	return Verdict{Action: Drop, Reason: OpeningWaits}
}

// AdmittedOpening is an opening packet that waited and goes to the endpoint now, or whose caller
// gets a reset.
type AdmittedOpening struct {
	Verdict  Verdict
	Flow     Key
	Datagram []byte
}

// AdmitWaiting returns the opening packets that the endpoint has room for, in the order of their
// delivery, and the resets for those that cannot be served within their time limit. It is called
// after each packet of the endpoint and periodically.
func (t *AgentTable) AdmitWaiting(now Timestamp) []AdmittedOpening {
	if len(t.waiting.flows) == 0 {
		return nil
	}
	t.waiting.expire(now)
	admitted := t.refuseHopeless(now)
	for len(t.waiting.flows) > 0 && !t.isSaturated(now) {
		next := t.waiting.order.next(now, t.waiting.flows)
		key := t.waiting.flows[next].key
		t.waiting.flows = slices.Delete(t.waiting.flows, next, next+1)
		r, known := t.flows[key]
		if !known || r.state != delayed {
			continue
		}
		r.state = offered
		t.store(key, r)
		t.admit(now, key)
		admitted = append(admitted, AdmittedOpening{Verdict: Verdict{Action: Deliver, Reason: Opened}, Flow: key, Datagram: r.opening})
	}
	return admitted
}
