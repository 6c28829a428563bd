package flow

import (
	"slices"
	"time"
)

const (
	// spareRequests is how many requests an endpoint gets beyond its slots, so that
	// a slot that becomes free is not idle until its agent has seen the answer.
	spareRequests = 1
	// maxQueued bounds the requests that wait at an agent: 64 for each slot of the
	// smallest endpoints, more than they answer within a caller's patience.
	maxQueued = 128
	// maxQueuedPackets bounds the packets kept of one request; callers have 16 in
	// flight.
	maxQueuedPackets = 16
	// queuedKeep is how long a request waits after its caller last sent it: callers
	// pause 1.6 s at most between two retransmissions.
	queuedKeep = 2 * time.Second
	// stuckFactor and stuckLeast are how long a request may be at the endpoint, in
	// mean answer times and at least, until it no longer counts as holding a slot:
	// an endpoint that leaves some requests unanswered goes on with the others.
	stuckFactor = 10
	stuckLeast  = 250 * time.Millisecond
)

// queued is a request that waits for a slot of the endpoint.
type queued struct {
	flow Key
	// ready is when its caller wanted to send it, as far as is known.
	ready Stamp
	// seen is when its caller last sent a packet of it.
	seen Stamp
	// abandoned tells that its caller has closed its side of the flow.
	abandoned bool
	packets   [][]byte
}

// queue holds the requests that wait for a slot, the one that was ready first in
// front.
type queue struct {
	requests []*queued
	// target is how long a request may take to be in time, or 0 where that is not
	// known.
	target time.Duration
}

func (q *queue) add(request *queued) {
	at := len(q.requests)
	for at > 0 && request.ready < q.requests[at-1].ready {
		at--
	}
	q.requests = slices.Insert(q.requests, at, request)
}

func (q *queue) find(flow Key) int {
	return slices.IndexFunc(q.requests, func(r *queued) bool { return r.flow == flow })
}

func (q *queue) remove(flow Key) {
	if at := q.find(flow); at >= 0 {
		q.requests = slices.Delete(q.requests, at, at+1)
	}
}

// take removes the request that goes to the endpoint next, given how long the
// endpoint works on one: the oldest that can still be in time, else the newest. When
// more is asked for than the endpoint can do, serving in order would make every
// request late. Requests that their callers gave up come last.
func (q *queue) take(now Stamp, work time.Duration) *queued {
	at := q.next(now, work)
	taken := q.requests[at]
	q.requests = slices.Delete(q.requests, at, at+1)
	return taken
}

func (q *queue) next(now Stamp, work time.Duration) int {
	newest := -1
	for i, r := range q.requests {
		if r.abandoned {
			continue
		}
		if q.target == 0 || now-r.ready+work <= q.target {
			return i
		}
		newest = i
	}
	return max(newest, 0)
}

// expired removes the requests that their callers no longer send.
func (q *queue) expired(now Stamp) []*queued {
	var gone []*queued
	q.requests = slices.DeleteFunc(q.requests, func(r *queued) bool {
		if now-r.seen <= queuedKeep {
			return false
		}
		gone = append(gone, r)
		return true
	})
	return gone
}

// atEndpoint is a request that the endpoint works on or has queued itself.
type atEndpoint struct {
	flow  Key
	since Stamp
}

// room tells whether the endpoint can take one more request.
func (h *Held) room(now Stamp) bool {
	stuck := max(stuckFactor*h.answering.now(now), stuckLeast)
	h.working = slices.DeleteFunc(h.working, func(w atEndpoint) bool { return now-w.since > stuck })
	return len(h.working) < h.slots+spareRequests
}

// enqueue keeps the first packet of a request until the endpoint has room.
func (h *Held) enqueue(now Stamp, key Key, r hold, datagram []byte) Verdict {
	h.arrive(now, &r)
	h.queue.add(&queued{flow: key, ready: now - r.delay, seen: now, packets: [][]byte{slices.Clone(datagram)}})
	r.queued, r.delay = true, 0
	h.put(key, r)
	return Verdict{Move: Wait, Reason: Queued, Begins: true}
}

// whileQueued decides on a packet of a flow whose request waits.
func (h *Held) whileQueued(now Stamp, p Packet, r hold, datagram []byte) Verdict {
	at := h.queue.find(p.Flow)
	switch {
	case p.Reset:
		r.callerDone, r.endpointDone = true, true
		h.put(p.Flow, r)
		return Verdict{Move: Deliver, Reason: Known}
	case p.Data == 0 && !p.Closing || at < 0:
		h.put(p.Flow, r)
		return Verdict{Move: Deliver, Reason: Known}
	}
	request := h.queue.requests[at]
	request.seen = now
	if end := p.Sequence + uint32(p.Data); int32(end-r.received) > 0 || p.Closing && !request.abandoned {
		r.received = end
		if len(request.packets) < maxQueuedPackets {
			request.packets = append(request.packets, slices.Clone(datagram))
		}
	}
	request.abandoned = request.abandoned || p.Closing
	r.callerDone = r.callerDone || p.Closing
	h.put(p.Flow, r)
	return Verdict{Move: Wait, Reason: Queued}
}

// Released is a request whose wait is over: its datagrams go to the endpoint.
type Released struct {
	Flow      Key
	Request   Request
	Datagrams [][]byte
}

// Release returns the requests that the endpoint has room for now.
func (h *Held) Release(now Stamp) []Released {
	h.account(now)
	var released []Released
	for len(h.queue.requests) > 0 && h.room(now) {
		next := h.queue.take(now, h.answering.now(now))
		r := h.flows[next.flow]
		r.queued = false
		h.occupy(now, next.flow)
		h.start(now, &r)
		h.flows[next.flow] = r
		released = append(released, Released{Flow: next.flow, Request: r.ended(now), Datagrams: next.packets})
	}
	return released
}

// expireQueued gives up the requests that their callers no longer send. A caller
// that sends one again begins it anew.
func (h *Held) expireQueued(now Stamp) []Left {
	var left []Left
	for _, q := range h.queue.expired(now) {
		r := h.flows[q.flow]
		left = append(left, Left{Flow: q.flow, Request: r.ended(now)})
		r.queued, r.received = false, 0
		h.flows[q.flow] = r
	}
	return left
}
