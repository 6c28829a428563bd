package flow

import (
	"slices"
	"time"
)

const (
	// MaxBulk bounds the flows of a bulk query, so that it fits into one packet of 1,500 bytes.
	MaxBulk = 300
	// maxBulkHeld and maxBulkUnsure bound the flows in an answer, for the same reason.
	maxBulkHeld   = 80
	maxBulkUnsure = 100
	// bulkThreshold is the number of agents above which a search queries them in bulk. The
	// agents that a flow prefers are fewer: most flows are found there, without a delay.
	bulkThreshold = 24
	// lostThreshold is after how many searches in a row that found no flow all further ones query
	// every agent in bulk at once: after a loss of power nearly all flows are lost.
	lostThreshold = 8
	// bulkDelay is how long queries are collected if none were sent recently.
	bulkDelay = 2 * time.Millisecond
	// bulkSpacing is the pause after the bulk queries of one agent: 1,000 a second take a tenth
	// of a balancer with a fifth of a core, at 20 microseconds of a core each.
	bulkSpacing = time.Millisecond
	// maxBulkPause bounds the pause after the bulk queries of all agents: a caller sends again
	// after 200 ms.
	maxBulkPause = 100 * time.Millisecond
	// bulkRetry is how long a search waits for the answers to bulk queries before it repeats
	// them, and bulkTimeout how long answers are accepted.
	bulkRetry   = 100 * time.Millisecond
	bulkTimeout = time.Second
	// bulkQuerySize is the number of bytes that a flow costs in a bulk query, and bulkOverhead
	// that of the query itself and its answer, with headers.
	bulkQuerySize = 4
	bulkOverhead  = 96
)

// Fingerprint identifies a flow among those of an agent. Two flows may have the same.
type Fingerprint uint32

// Fingerprint returns the flow's fingerprint.
func (k Key) Fingerprint() Fingerprint { return Fingerprint(k.hash()) }

// BulkQuery queries an agent that knows all flows of its endpoint for which of many flows it may hold.
type BulkQuery struct {
	// ID is echoed in the answer.
	ID           uint64
	Fingerprints []Fingerprint
}

// BulkAnswer answers a BulkQuery. A flow whose fingerprint is in neither list is denied.
type BulkAnswer struct {
	ID uint64
	// Complete is false if the agent does not know all flows, and denies none.
	Complete bool
	// Held are the flows with one of the fingerprints whose packets the agent delivers.
	Held []Key
	// Unsure are the fingerprints of flows for which the agent must be queried separately.
	Unsure []Fingerprint
}

// BulkQuery answers a bulk query.
//
// Invariant: a flow is denied only if the table has every flow of the endpoint and none with its
// fingerprint, in any state.
func (t *AgentTable) BulkQuery(now Timestamp, q BulkQuery) BulkAnswer {
	answer := BulkAnswer{ID: q.ID, Complete: t.isComplete(now) && len(t.flows) < maxFlows}
	if !answer.Complete {
		return answer
	}
	queried := make(map[Fingerprint]bool, len(q.Fingerprints))
	for _, f := range q.Fingerprints {
		queried[f] = true
	}
	for key, r := range t.flows {
		f := key.Fingerprint()
		switch {
		case !queried[f]:
		case r.state == open && len(answer.Held) < maxBulkHeld:
			answer.Held = append(answer.Held, key)
		default:
			answer.Unsure = append(answer.Unsure, f)
		}
	}
	for key := range t.unsure {
		if f := key.Fingerprint(); queried[f] {
			answer.Unsure = append(answer.Unsure, f)
		}
	}
	if len(answer.Unsure) > maxBulkUnsure {
		return BulkAnswer{ID: q.ID} // more than fits into the answer
	}
	return answer
}

// BulkDatagram is a bulk query to send to an agent.
type BulkDatagram struct {
	Agent Address
	BulkQuery
}

// bulkFlow is a flow in a bulk query, with its search: a later search of the same flow must not
// use an answer to a query that was sent before it began.
type bulkFlow struct {
	key    Key
	search *search
}

type bulkBatch struct {
	agent  Address
	flows  []bulkFlow
	sentAt Timestamp
}

// bulkQueries collects the queries of many searches for each agent, and matches the answers.
// Lost flows come by the thousand after a loss of power; with a datagram for each flow and
// agent, a small balancer would be busy for seconds.
//
// Invariant: after a flush there is a pause of bulkSpacing for each query sent, up to
// maxBulkPause, however many flows are searched for.
type bulkQueries struct {
	queued map[Address][]bulkFlow
	// dueAt is when the queued flows are to be sent, or 0 if there are none.
	dueAt Timestamp
	// pauseUntil is the end of the pause after the last flush.
	pauseUntil Timestamp
	sent       map[uint64]bulkBatch
	lastID     uint64
	// lost counts the searches that ended a flow since one last found its flow.
	lost int
}

// newBulkQueries returns no queries. firstID must be random: an answer to a query that an
// earlier process on this address sent must not match one of this process.
func newBulkQueries(firstID uint64) bulkQueries {
	return bulkQueries{queued: make(map[Address][]bulkFlow), sent: make(map[uint64]bulkBatch), lastID: firstID}
}

// usesBulk reports whether a search queries so many agents in bulk.
func (b *bulkQueries) usesBulk(agents int) bool { return agents > bulkThreshold || b.flowsAreLost() }

// flowsAreLost reports whether the flows that are searched for are usually lost.
func (b *bulkQueries) flowsAreLost() bool { return b.lost >= lostThreshold }

// add queues a search's queries.
func (b *bulkQueries) add(now Timestamp, key Key, s *search, agents []Address) {
	for _, agent := range agents {
		b.queued[agent] = append(b.queued[agent], bulkFlow{key: key, search: s})
	}
	s.bulkQueued += len(agents)
	if b.dueAt == 0 {
		b.dueAt = max(now+bulkDelay, b.pauseUntil)
	}
}

// Continues reports whether the decision continues a search or ends its flow.
func (d Decision) Continues() bool { return d.SendReset || d.searches() }

// LostInARow returns how many searches have ended a flow since one last found its flow, if all
// searches query agents in bulk for that reason, else 0.
func (a *Assignments) LostInARow() int {
	if !a.bulk.flowsAreLost() {
		return 0
	}
	return a.bulk.lost
}

// expire removes the queries that were not answered in time.
func (b *bulkQueries) expire(now Timestamp) {
	for id, batch := range b.sent {
		if now-batch.sentAt > bulkTimeout {
			delete(b.sent, id)
		}
	}
}

// BulkDueAt returns when FlushBulk is due, or 0 if no bulk query is queued.
func (a *Assignments) BulkDueAt() Timestamp { return a.bulk.dueAt }

// FlushBulk returns the bulk queries to send now.
func (a *Assignments) FlushBulk(now Timestamp) []BulkDatagram {
	b := &a.bulk
	if b.dueAt == 0 || now < b.dueAt {
		return nil
	}
	b.expire(now)
	var datagrams []BulkDatagram
	for agent, queued := range b.queued {
		queued = slices.DeleteFunc(queued, func(f bulkFlow) bool { return a.searches.flows[f.key] != f.search })
		for flows := range slices.Chunk(queued, MaxBulk) {
			b.lastID++
			query := BulkQuery{ID: b.lastID, Fingerprints: make([]Fingerprint, len(flows))}
			for i, f := range flows {
				query.Fingerprints[i] = f.key.Fingerprint()
				f.search.bulkSent(now)
			}
			b.sent[query.ID] = bulkBatch{agent: agent, flows: flows, sentAt: now}
			datagrams = append(datagrams, BulkDatagram{Agent: agent, BulkQuery: query})
		}
	}
	a.searches.tokens -= float64(len(datagrams) * bulkOverhead)
	b.queued, b.dueAt = make(map[Address][]bulkFlow), 0
	b.pauseUntil = now + min(time.Duration(len(datagrams))*bulkSpacing, maxBulkPause)
	return datagrams
}

// querySeparately records that bulk queries do not show whether the agent holds the flow: repeating
// them would go on without end while its last report says that it knows all flows.
func (s *search) querySeparately(agent Address) {
	if s.separate == nil {
		s.separate = make(map[Address]bool)
	}
	s.separate[agent] = true
}

// bulkSent records that a bulk query with the search's flow is sent.
func (s *search) bulkSent(now Timestamp) {
	s.bulkQueued--
	s.bulkUnanswered++
	s.sentAt, s.retryAt = now, now+bulkRetry
}

// BulkAnswered records an agent's answer to a bulk query. It returns the flows that the agent
// holds, and the decisions on the searches that go on or end.
func (a *Assignments) BulkAnswered(now Timestamp, agent Address, answer BulkAnswer, routing *RoutingTable) (held []Key, next []Resend) {
	batch, known := a.bulk.sent[answer.ID]
	if !known || batch.agent != agent {
		return nil, nil
	}
	delete(a.bulk.sent, answer.ID)
	mayHold := make(map[Fingerprint]bool, len(answer.Held)+len(answer.Unsure))
	for _, key := range answer.Held {
		mayHold[key.Fingerprint()] = true
	}
	for _, f := range answer.Unsure {
		mayHold[f] = true
	}
	for _, f := range batch.flows {
		if a.searches.flows[f.key] != f.search {
			continue
		}
		f.search.bulkUnanswered = max(f.search.bulkUnanswered-1, 0)
		switch {
		case slices.Contains(answer.Held, f.key):
			held = append(held, f.key)
		case !answer.Complete || mayHold[f.key.Fingerprint()]:
			f.search.querySeparately(agent)
			query := Query{Flow: f.key, Acknowledged: f.search.acknowledged}
			d := Decision{Reason: Searched, Continued: true, QueryAgents: []Address{agent}, Query: query}
			next = append(next, f.resend(d))
		default:
			f.search.denied[agent] = true
			if d, ok := a.continueAfterBulk(now, f, routing); ok {
				next = append(next, f.resend(d))
			}
		}
	}
	return held, next
}

// continueAfterBulk continues a search once all bulk queries are answered.
func (a *Assignments) continueAfterBulk(now Timestamp, f bulkFlow, routing *RoutingTable) (d Decision, ok bool) {
	if f.search.bulkUnanswered+f.search.bulkQueued > 0 {
		return Decision{}, false
	}
	d, _ = a.continueAfterDenial(now, f.key, f.search, routing)
	return d, d.Continues()
}

func (f bulkFlow) resend(d Decision) Resend {
	return Resend{Packet: Packet{Flow: f.key, Acknowledged: f.search.acknowledged}, Decision: d, Datagram: f.search.packet}
}
