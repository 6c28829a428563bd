package placement

import "sync/atomic"

// Connections counts the open connections of one endpoint and enforces their
// limit. It is safe for concurrent use.
type Connections struct {
	open  atomic.Int64
	limit atomic.Int64
}

// SetLimit sets how many connections may be open; 0 means no limit. A lower limit
// closes no open connection.
func (c *Connections) SetLimit(limit uint32) { c.limit.Store(int64(limit)) }

// Acquire reports whether one more connection may open, and counts it if so. The
// caller must call Release when that connection closes.
func (c *Connections) Acquire() bool {
	limit := c.limit.Load()
	if open := c.open.Add(1); limit > 0 && open > limit {
		c.open.Add(-1)
		return false
	}
	return true
}

// Release uncounts a connection for which Acquire returned true.
func (c *Connections) Release() { c.open.Add(-1) }

// Open returns the number of open connections.
func (c *Connections) Open() uint32 { return uint32(max(c.open.Load(), 0)) }
