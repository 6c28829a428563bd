package packetbalancer

import (
	"sync"
	"time"

	"cactustray/control/clock"
	"cactustray/flow"
	"cactustray/flow/wire"
)

// queryDelay is how long queries for an agent are collected into one datagram: many flows
// move to a balancer in the same moment, and each of them may be queried at every agent.
const queryDelay = 2 * time.Millisecond

// queryBatches collects queries for each agent.
type queryBatches struct {
	mu      sync.Mutex
	batches map[flow.Address][]flow.Query
	send    func(agent flow.Address, batch []flow.Query)
}

func newQueryBatches(send func(agent flow.Address, batch []flow.Query)) *queryBatches {
	return &queryBatches{batches: make(map[flow.Address][]flow.Query), send: send}
}

// add adds a query for an agent. It is sent within queryDelay.
func (q *queryBatches) add(agent flow.Address, query flow.Query) {
	q.mu.Lock()
	if len(q.batches) == 0 {
		time.AfterFunc(queryDelay, q.flush)
	}
	batch := append(q.batches[agent], query)
	full := len(batch) >= wire.MaxQueries
	if full {
		delete(q.batches, agent)
	} else {
		q.batches[agent] = batch
	}
	q.mu.Unlock()
	if full {
		q.send(agent, batch)
	}
}

// flush sends all queries.
func (q *queryBatches) flush() {
	q.mu.Lock()
	batches := q.batches
	q.batches = make(map[flow.Address][]flow.Query)
	q.mu.Unlock()
	for agent, batch := range batches {
		q.send(agent, batch)
	}
}

// searchCheckInterval is how often searches in progress are checked for missing answers.
const searchCheckInterval = 20 * time.Millisecond

// scheduleRetry schedules retrySearches, unless it is scheduled already.
func (f *forwarder) scheduleRetry() {
	if f.retryScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(searchCheckInterval, func() { f.log.Contain("search", f.retrySearches) })
	}
}

// retrySearches continues the searches whose answers are missing, and schedules the next
// check while there are searches.
func (f *forwarder) retrySearches() {
	f.retryScheduled.Store(false)
	var more bool
	retried := withAssignments(f, func(a *flow.Assignments) (retried []flow.Resend) {
		retried, more = a.RetrySearches(clock.Now(), f.table.Load())
		return retried
	})
	for _, r := range retried {
		f.continueSearch(r.Packet.Flow, continued{Decision: r.Decision, datagram: r.Datagram})
	}
	if more {
		f.scheduleRetry()
	}
}
