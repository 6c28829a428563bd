package flow

import (
	"slices"
	"time"
)

// Request is what an agent saw of a request.
type Request struct {
	ID string
	// Took is the time from its first packet to the first of the answer, or
	// until it was given up.
	Took time.Duration
	// Waited is the part of it in which the agent kept it, for want of a slot.
	Waited time.Duration
	// Beside is how many other requests were in progress when it came.
	Beside int
}

// Usage is how busy the endpoint is, by the packets that went by.
type Usage struct {
	// Flows counts flows that are accepted or open.
	Flows int
	// Running counts flows whose request has no answer yet, be it at the endpoint or
	// waiting for it.
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
		Flows: h.count, Running: h.load(), RunningTime: h.runningTime,
		Silent: h.silence.at(now), Failing: h.failing.now(now), Answer: h.answering.now(now),
	}
}

// account adds the time since the last call to the running requests' time.
func (h *Held) account(now Stamp) {
	h.runningTime += time.Duration(h.load()) * (now - h.counted)
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
		h.settle(key, &r)
	}
	h.flows[key] = r
}

// begins tells whether a request begins with a packet of the caller.
func (r *hold) begins(p Packet) bool {
	end := p.Sequence + uint32(p.Data)
	if p.Data == 0 || r.received != 0 && int32(end-r.received) <= 0 {
		return false // nothing, or sent again
	}
	r.received = end
	return !r.busy
}

// arrive notes that a request has come.
func (h *Held) arrive(now Stamp, r *hold) {
	r.asked, r.request, r.beside = now, "", uint16(h.load())
}

// start notes that a request reaches the endpoint.
func (h *Held) start(now Stamp, r *hold) {
	r.busy, r.started = true, now
	h.running++
}

// occupy notes that a request takes one of the endpoint's slots.
func (h *Held) occupy(now Stamp, key Key) {
	h.working = append(h.working, atEndpoint{flow: key, since: now})
}

// load is how many requests are in progress: at the endpoint, or waiting for it.
func (h *Held) load() int { return h.running + len(h.queue.requests) }

// Name notes the id of the request in progress on a flow.
func (h *Held) Name(key Key, id string) {
	if r, known := h.flows[key]; known && (r.busy || r.queued) {
		r.request = id
		h.flows[key] = r
	}
}

func (r hold) ended(now Stamp) Request {
	waited := r.started - r.asked
	if r.queued {
		waited = now - r.asked
	}
	return Request{ID: r.request, Took: now - r.asked, Waited: waited, Beside: int(r.beside)}
}

// settle ends the request in progress on a flow, if there is one.
func (h *Held) settle(key Key, r *hold) {
	if r.busy {
		r.busy = false
		h.running--
		h.working = slices.DeleteFunc(h.working, func(w atEndpoint) bool { return w.flow == key })
	}
	if r.queued {
		r.queued = false
		h.queue.remove(key)
	}
}

func (h *Held) remove(key Key) {
	r := h.flows[key]
	counted := r.counts()
	h.settle(key, &r)
	if counted {
		h.count--
	}
	delete(h.flows, key)
}
