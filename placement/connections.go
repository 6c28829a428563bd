package placement

import "sync/atomic"

// Connections count the open connections of one endpoint and hold their limit.
// They are safe for concurrent use.
type Connections struct {
	open  atomic.Int64
	limit atomic.Int64
}

// SetLimit sets how many may be open; 0 means no limit. Open ones stay.
func (c *Connections) SetLimit(limit uint32) { c.limit.Store(int64(limit)) }

// Acquire counts one more connection and tells whether it may open; each that
// may is given back by Release.
func (c *Connections) Acquire() bool {
	limit := c.limit.Load()
	if open := c.open.Add(1); limit > 0 && open > limit {
		c.open.Add(-1)
		return false
	}
	return true
}

// Release counts one connection less.
func (c *Connections) Release() { c.open.Add(-1) }

// Open returns how many are open.
func (c *Connections) Open() uint32 { return uint32(max(c.open.Load(), 0)) }
