package steering

import "sync/atomic"

// Counters counts datagrams by Reason, and replies sent towards callers. It is
// safe for concurrent use.
type Counters struct {
	byReason [Reasons]atomic.Int64
	replies  atomic.Int64
}

// Count adds one datagram with the given reason.
func (c *Counters) Count(reason Reason) { c.byReason[reason].Add(1) }

// CountReply adds one datagram sent towards a caller.
func (c *Counters) CountReply() { c.replies.Add(1) }

// Of returns how many datagrams had the given reason.
func (c *Counters) Of(reason Reason) int64 { return c.byReason[reason].Load() }

// Replies returns how many datagrams were sent towards callers.
func (c *Counters) Replies() int64 { return c.replies.Load() }
