package flow

import "time"

// Request describes a request as an agent observed it.
type Request struct {
	ID string
	// Elapsed is the time from the first packet of the request to the first of the
	// answer, or until the request was abandoned.
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
	// Waiting counts flows whose opening packet waits at the agent.
	Waiting int
	// RunningTime is the integral of Running over time: the difference of two readings
	// divided by the time between them is the mean number of running requests.
	RunningTime time.Duration
	// Silent is true if the endpoint leaves packets unanswered.
	Silent bool
	// Failing is the share of recent requests that failed, from 0 to 1.
	Failing float64
	// ProcessingTime is the mean time that the endpoint works on a request, or 0 if it
	// has not answered recently.
	ProcessingTime time.Duration
}

// RecordOutcome records whether a request that ended had failed.
func (t *AgentTable) RecordOutcome(now Timestamp, failed bool) { t.failureRate.ended(now, failed) }

// Silent reports whether the endpoint leaves packets unanswered.
func (t *AgentTable) Silent(now Timestamp) bool {
	return t.silence.isSilent(now) || t.silence.ignoresTrials(now)
}

// Usage returns the load of the endpoint.
func (t *AgentTable) Usage(now Timestamp) Usage {
	t.account(now)
	return Usage{
		Flows: t.flowCount, Running: t.running, Waiting: len(t.waiting.flows), RunningTime: t.runningTime,
		Silent: t.Silent(now), Failing: t.failureRate.now(now), ProcessingTime: t.processingTime.now(now),
	}
}

// account adds the time since the last call, once per running request, to runningTime.
func (t *AgentTable) account(now Timestamp) {
	t.runningTime += time.Duration(t.running) * (now - t.accountedAt)
	t.accountedAt = now
}

func (r flowRecord) isClosed() bool { return r.callerDone && r.endpointDone }

func (r flowRecord) isCounted() bool {
	return (r.state == accepted || r.state == open) && !r.isClosed()
}

// store stores a record and updates the counts.
func (t *AgentTable) store(key Key, r flowRecord) {
	before, known := t.flows[key]
	if known && before.isCounted() {
		t.flowCount--
	}
	if r.isCounted() {
		t.flowCount++
	}
	if !r.isCounted() && r.state != trial {
		t.endRequest(&r)
	}
	t.flows[key] = r
}

// beginRequest records that the caller's request reached the endpoint, and reports
// whether the request begins with this packet.
func (t *AgentTable) beginRequest(now Timestamp, r *flowRecord, p Packet) bool {
	end := p.Sequence + uint32(p.Data)
	if p.Data == 0 || r.endpointDone || r.received != 0 && int32(end-r.received) <= 0 {
		return false // no data, a flow that gets no answer any more, or a retransmission
	}
	r.received = end
	if r.busy {
		return false
	}
	r.busy, r.requestedAt, r.requestID, r.concurrent = true, now, "", uint16(t.running)
	t.running++
	return true
}

// SetRequestID sets the id of the request in progress on a flow.
func (t *AgentTable) SetRequestID(key Key, id string) {
	if r, known := t.flows[key]; known && r.busy {
		r.requestID = id
		t.flows[key] = r
	}
}

func (r flowRecord) ended(now Timestamp) Request {
	return Request{ID: r.requestID, Elapsed: now - r.requestedAt, Concurrent: int(r.concurrent)}
}

func (t *AgentTable) endRequest(r *flowRecord) {
	if r.busy {
		r.busy = false
		t.running--
	}
}

func (t *AgentTable) remove(key Key) {
	r := t.flows[key]
	t.endRequest(&r)
	if r.isCounted() {
		t.flowCount--
	}
	delete(t.flows, key)
	delete(t.unsure, key)
}
