package flow

// FromEndpoint decides on a packet that the endpoint sent or gave back.
func (t *AgentTable) FromEndpoint(now Timestamp, p Packet) Verdict {
	t.account(now)
	t.endpointLastSeen = now
	t.silence.answered()
	r, known := t.flows[p.Flow]
	if p.ReturnedByEndpoint {
		v := t.handleReturned(now, p, r, known)
		v.Hops = r.hops + 1
		return v
	}
	if !known {
		r = flowRecord{state: open}
		if p.Accepting {
			r.state = accepted
		}
	}
	v := Verdict{Action: ToCaller, Reason: Known}
	if p.Accepting {
		r.sequence, r.opening = p.Sequence, nil
		if r.state != open {
			r.state = accepted
		}
	} else if r.state == trial || r.state == accepted {
		r.state = open
	}
	if r.searched && r.state == open {
		v.Notify, r.searched = r.balancer, false
	}
	if p.Reset {
		v.Reason = EndpointReset
	}
	if (p.Data > 0 || p.Reset) && r.busy {
		v.RequestEnds, v.EndedRequest = true, r.ended(now)
		t.endRequest(&r)
		if !p.Reset {
			t.processingTime.ended(now, v.EndedRequest, t.slots)
			t.waiting.order.answered(now, r.class, v.EndedRequest)
		}
	}
	r.endpointDone = r.endpointDone || p.Closing || p.Reset
	if r.endpointDone {
		t.endRequest(&r) // no answer follows: it was sent while another agent ran
	}
	r.callerDone = r.callerDone || p.Reset
	r.lastSeen = now
	t.store(p.Flow, r)
	return v
}

// handleReturned decides on a caller's packet that the endpoint gave back.
func (t *AgentTable) handleReturned(now Timestamp, p Packet, r flowRecord, known bool) Verdict {
	if !known {
		return Verdict{Action: Drop, Reason: NotHeld}
	}
	if p.Opening {
		return t.handleRefusedOpening(now, p, r)
	}
	d := Delivery{Balancer: r.balancer, Search: r.searched}
	switch r.state {
	case trial:
		t.remove(p.Flow)
		return t.notHeld(d)
	case accepted:
		return t.notHeld(d)
	case open:
		if r.isClosed() {
			return Verdict{Action: Drop, Reason: Closed}
		}
		v := Verdict{Action: SendReset, Reason: EndpointLost, Reset: Reset{Flow: p.Flow, Acknowledged: p.Acknowledged}}
		if r.busy {
			v.RequestEnds, v.EndedRequest = true, r.ended(now)
		}
		r.state = lost
		t.store(p.Flow, r)
		return v
	default:
		return Verdict{Action: Drop, Reason: NotHeld}
	}
}

func (t *AgentTable) handleRefusedOpening(now Timestamp, p Packet, r flowRecord) Verdict {
	if r.state != offered {
		return Verdict{Action: Drop, Reason: EndpointRefused}
	}
	t.failureRate.ended(now, true)
	if !r.otherAgent.IsZero() {
		return t.forward(now, p.Flow, r, EndpointRefused)
	}
	r.state, r.opening = refused, nil
	t.store(p.Flow, r)
	return Verdict{Action: Return, To: r.balancer, Reason: EndpointRefused}
}

// UnansweredOpening is an opening packet that the endpoint left unanswered. It goes to
// another agent too: the alternate, or one that the balancer finds.
type UnansweredOpening struct {
	Verdict  Verdict
	Flow     Key
	Datagram []byte
}

// Tick returns the opening packets that the endpoint has not answered in time and that
// can go to another agent. It is called every few tens of milliseconds.
func (t *AgentTable) Tick(now Timestamp) []UnansweredOpening {
	t.account(now)
	var overdue []UnansweredOpening
	for len(t.pending) > 0 && t.pending[0].due <= now {
		first := t.pending[0]
		t.pending = t.pending[1:]
		r, known := t.flows[first.key]
		if !known || r.state != offered {
			continue
		}
		if t.endpointLastSeen <= first.due-AnswerTimeout {
			t.silence.unanswered(now)
		}
		if v, ok := t.redirectOverdue(now, first.key, r); ok {
			overdue = append(overdue, UnansweredOpening{Verdict: v, Flow: first.key, Datagram: r.opening})
		}
	}
	return overdue
}

// redirectOverdue decides where an opening packet goes that the endpoint has not
// answered: to the alternate, or back to the balancer if the packet was forwarded to
// this agent, which then has no alternate. ok is false if there is neither: the only
// endpoint of a service may take its time.
func (t *AgentTable) redirectOverdue(now Timestamp, key Key, r flowRecord) (v Verdict, ok bool) {
	switch {
	case !r.otherAgent.IsZero():
		// The endpoint may still accept the flow: without a class, the alternate does not refuse
		// it.
		unclassed := r
		unclassed.class = Class{}
		v = t.forward(now, key, unclassed, EndpointSilent)
	case r.hops > 0:
		v = Verdict{Action: Return, To: r.balancer, Reason: EndpointSilent, Balancer: r.balancer}
	default:
		return Verdict{}, false
	}
	v.Hops = r.hops + 1
	return v, true
}

// AbandonedRequest is a request that was unanswered when its flow was removed.
type AbandonedRequest struct {
	Flow Key
	Request
}

// Sweep removes closed and expired flows, and returns their unanswered requests.
// Calling it every second is enough.
func (t *AgentTable) Sweep(now Timestamp) []AbandonedRequest {
	t.account(now)
	t.expireUnsure(now)
	var abandoned []AbandonedRequest
	for key, r := range t.flows {
		age := now - r.lastSeen
		if age <= closedExpiry || age <= t.lifetime && !r.isClosed() && (r.state == open || r.state == accepted) {
			continue
		}
		if r.busy {
			abandoned = append(abandoned, AbandonedRequest{Flow: key, Request: r.ended(now)})
		}
		t.remove(key)
	}
	return abandoned
}
