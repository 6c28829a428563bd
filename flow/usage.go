package flow

import "time"

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
	// Answer is the mean time that the endpoint works on a request, or 0 where it
	// has not answered lately.
	Answer time.Duration
}

// Outcome takes in whether a request that ended had failed.
func (h *Held) Outcome(now Stamp, failed bool) { h.failing.ended(now, failed) }

// Silent tells whether the endpoint leaves packets unanswered.
func (h *Held) Silent(now Stamp) bool { return h.silence.at(now) }

// Usage returns how busy the endpoint is.
func (h *Held) Usage(now Stamp) Usage {
	h.account(now)
	return Usage{
		Flows: h.count, Running: h.running, RunningTime: h.runningTime,
		Silent: h.silence.at(now), Failing: h.failing.now(now), Answer: h.answering.now(now),
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
