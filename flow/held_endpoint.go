package flow

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
		if !p.Reset {
			h.answering.ended(now, v.Ended, h.slots)
		}
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
// another agent gets too, named or found by the balancer.
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
		if v, ok := h.elsewhere(now, first.key, r); ok {
			overdue = append(overdue, Unanswered{Verdict: v, Flow: first.key, Datagram: r.opening})
		}
	}
	return overdue
}

// elsewhere decides where an opening packet goes that the endpoint has not answered: to
// the alternative, or back to the balancer if it was handed on to this agent, which is
// not told of another one. The only endpoint of a service may take its time.
func (h *Held) elsewhere(now Stamp, key Key, r hold) (v Verdict, ok bool) {
	switch {
	case !r.other.IsZero():
		v = h.pass(now, key, r.balancer, r.other, EndpointSilent)
	case r.hops > 0:
		v = Verdict{Move: Return, To: r.balancer, Reason: EndpointSilent, Balancer: r.balancer}
	default:
		return Verdict{}, false
	}
	v.Hops = r.hops + 1
	return v, true
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
