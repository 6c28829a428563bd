package packetbalancer

import (
	"time"

	"cactustray/control/clock"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
)

// manyLostInterval is the least interval between two log lines on lost flows.
const manyLostInterval = 10 * time.Second

// logManyLost logs that the flows searched for are usually lost.
func (f *forwarder) logManyLost(now time.Duration) {
	lost := withAssignments(f, (*flow.Assignments).LostInARow)
	last := f.manyLostLogged.Load()
	if lost == 0 || last != 0 && now-time.Duration(last) < manyLostInterval || !f.manyLostLogged.CompareAndSwap(last, int64(now)) {
		return
	}
	f.log.Emit(EventManyLost, event.Fields{"in_a_row": lost})
}

// scheduleBulk schedules sendBulk for when the queued bulk queries are due, unless it is
// scheduled already.
func (f *forwarder) scheduleBulk() {
	due := withAssignments(f, (*flow.Assignments).BulkDueAt)
	if due != 0 && f.bulkScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(due-clock.Now(), func() { f.log.Contain("bulk queries", f.sendBulk) })
	}
}

// sendBulk sends the bulk queries that are due.
func (f *forwarder) sendBulk() {
	f.bulkScheduled.Store(false)
	now := clock.Now()
	for _, d := range withAssignments(f, func(a *flow.Assignments) []flow.BulkDatagram { return a.FlushBulk(now) }) {
		f.counters.SendToNode(f.peers, wire.Encode(wire.BulkQuery(d.BulkQuery)), d.Agent.AddrPort())
	}
	f.logManyLost(now)
	f.scheduleBulk() // some may have been queued meanwhile
}

// bulkAnswered handles an agent's answer to a bulk query.
func (f *forwarder) bulkAnswered(now time.Duration, answer flow.BulkAnswer, agent flow.Address) {
	var held []flow.Key
	next := withAssignments(f, func(a *flow.Assignments) (next []flow.Resend) {
		held, next = a.BulkAnswered(now, agent, answer, f.table.Load())
		return next
	})
	for _, key := range held {
		f.flowFound(now, key, agent)
	}
	for _, r := range next {
		f.continueSearch(r.Packet.Flow, continued{Decision: r.Decision, datagram: r.Datagram})
	}
}
