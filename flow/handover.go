package flow

import "time"

// HeldFlow is an open flow that an agent hands over.
type HeldFlow struct {
	Flow Key
	// Received is the sequence number after the caller's last data, or 0 if there was none yet.
	Received uint32
}

// Handover is what an agent that stops knows of its endpoint's flows.
type Handover struct {
	// Complete is true if every flow that the endpoint may hold is in Open or Unsure, and KnownFor is
	// for how long every flow that opened is.
	Complete bool
	KnownFor time.Duration
	// Open are the flows that the endpoint holds, Unsure those that it may hold: it was still
	// opening them, or only the endpoint knows.
	Open   []HeldFlow
	Unsure []Key
}

// HandOver returns what the next agent of the endpoint needs to know, and the opening packets that
// waited, which go back to their balancers. From then on the table accepts no opening packet, so
// that no flow opens that the next agent does not know.
func (t *AgentTable) HandOver(now Timestamp) (Handover, []AdmittedOpening) {
	t.leaving = true
	returned := t.returnWaiting(HandingOver)
	h := Handover{Complete: t.isComplete(now), KnownFor: now - t.knownSince}
	if len(t.flows) >= maxFlows {
		h = Handover{}
	}
	for key, r := range t.flows {
		switch {
		case r.isClosed():
		case r.state == open:
			h.Open = append(h.Open, HeldFlow{Flow: key, Received: r.received})
		case r.state == offered, r.state == accepted, r.state == trial:
			h.Unsure = append(h.Unsure, key)
		}
	}
	for key := range t.unsure {
		if _, known := t.flows[key]; !known {
			h.Unsure = append(h.Unsure, key)
		}
	}
	return h, returned
}

// TakeOver adds what the agent knew that ran before this one, or what a still earlier one did if
// that arrives first. Records of this agent, which are later, stay.
func (t *AgentTable) TakeOver(now Timestamp, h Handover) {
	for _, held := range h.Open {
		r, known := t.flows[held.Flow]
		switch {
		case !known && len(t.flows) < maxFlows:
			t.store(held.Flow, flowRecord{state: open, received: held.Received, lastSeen: now})
		case known && r.state == trial:
			r.state = open
			t.store(held.Flow, r)
		}
	}
	if t.unsure == nil {
		t.unsure = make(map[Key]Timestamp)
	}
	for _, key := range h.Unsure {
		t.unsure[key] = now
	}
	t.takenOver, t.takenComplete = true, h.Complete
	t.knownSince = min(t.startedAt, now-h.KnownFor)
}

// mayLack reports whether the endpoint may hold a flow that the table does not show as held.
func (t *AgentTable) mayLack(now Timestamp, key Key) bool {
	if !t.isComplete(now) {
		return true
	}
	_, unsure := t.unsure[key]
	return unsure
}

// expireUnsure removes the flows handed over that are older than a flow may be.
func (t *AgentTable) expireUnsure(now Timestamp) {
	for key, at := range t.unsure {
		if now-at > t.lifetime {
			delete(t.unsure, key)
		}
	}
}
