package flow

import "time"

// Request describes a request as an agent observed it.
type Request struct {
	ID string
	// Elapsed is the time from the first packet of the request to the first of the answer,
	// or until the request was abandoned.
	Elapsed time.Duration
	// Concurrent is how many other requests were in progress when this one arrived.
	Concurrent int
}

// Usage is the load of the endpoint, as observed from its packets.
type Usage struct {
	// Flows counts accepted and open flows.
	Flows int
	// Running counts flows whose request has no answer yet.
	Running int
	// RunningTime is the integral of Running over time: the difference of two readings
	// divided by the time between them is the mean number of running requests.
	RunningTime time.Duration
	// Silent is true if the endpoint leaves packets unanswered.
	Silent bool
	// Failing is the share of recent requests that failed, from 0 to 1.
	Failing float64
	// ProcessingTime is the mean time that the endpoint works on a request, or 0 if it has not
	// answered recently.
	ProcessingTime time.Duration
}

// RecordOutcome records whether a request that ended had failed.
func (h *AgentTable) RecordOutcome(now Timestamp, failed bool) { h.failureRate.ended(now, failed) }

// Silent reports whether the endpoint leaves packets unanswered.
func (h *AgentTable) Silent(now Timestamp) bool { return h.silence.isSilent(now) }

// Usage returns the load of the endpoint.
func (h *AgentTable) Usage(now Timestamp) Usage {
	h.account(now)
	return Usage{
		Flows: h.flowCount, Running: h.running, RunningTime: h.runningTime,
		Silent: h.silence.isSilent(now), Failing: h.failureRate.now(now), ProcessingTime: h.processingTime.now(now),
	}
}

// account adds the time since the last call, once per running request, to runningTime.
func (h *AgentTable) account(now Timestamp) {
	h.runningTime += time.Duration(h.running) * (now - h.accountedAt)
	h.accountedAt = now
}

func (r flowRecord) isClosed() bool { return r.callerDone && r.endpointDone }

func (r flowRecord) isCounted() bool {
	return (r.state == accepted || r.state == open) && !r.isClosed()
}

// store stores a record and updates the counts.
func (h *AgentTable) store(key Key, r flowRecord) {
	before, known := h.flows[key]
	if known && before.isCounted() {
		h.flowCount--
	}
	if r.isCounted() {
		h.flowCount++
	}
	if !r.isCounted() && r.state != trial {
		h.endRequest(&r)
	}
	h.flows[key] = r
}

// beginRequest records that the caller's request reached the endpoint, and reports
// whether the request begins with this packet.
func (h *AgentTable) beginRequest(now Timestamp, r *flowRecord, p Packet) bool {
	end := p.Sequence + uint32(p.Data)
	if p.Data == 0 || r.received != 0 && int32(end-r.received) <= 0 {
		return false // no data, or a retransmission
	}
	r.received = end
	if r.busy {
		return false
	}
	r.busy, r.requestedAt, r.requestID, r.concurrent = true, now, "", uint16(h.running)
	h.running++
	return true
}

// SetRequestID sets the id of the request in progress on a flow.
func (h *AgentTable) SetRequestID(key Key, id string) {
	if r, known := h.flows[key]; known && r.busy {
		r.requestID = id
		h.flows[key] = r
	}
}

func (r flowRecord) ended(now Timestamp) Request {
	return Request{ID: r.requestID, Elapsed: now - r.requestedAt, Concurrent: int(r.concurrent)}
}

func (h *AgentTable) endRequest(r *flowRecord) {
	if r.busy {
		r.busy = false
		h.running--
	}
}

func (h *AgentTable) remove(key Key) {
	r := h.flows[key]
	h.endRequest(&r)
	if r.isCounted() {
		h.flowCount--
	}
	delete(h.flows, key)
}
