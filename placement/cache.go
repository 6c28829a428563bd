package placement

import (
	"time"

	"cactustray/steering"
)

const (
	// generationLifetime is how long at least a flow's placement is stored, unless
	// a generation fills up: as long as a caller repeats the datagrams that open
	// the flow.
	generationLifetime = 5 * time.Second
	// generationLimit is the most flows stored in one generation.
	generationLimit = 4096
)

// Cache stores where new flows were placed, so that all datagrams that open one flow
// go to the same endpoint. It has two generations of bounded size: a full generation
// ends early, so that many new flows evict the oldest placements before
// generationLifetime. It must be used by one goroutine only.
type Cache struct {
	current, previous map[steering.FlowKey]Placement
	rotatedAt         time.Time
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{current: make(map[steering.FlowKey]Placement)}
}

// Find returns the stored placement of a flow, if there is one.
func (c *Cache) Find(now time.Time, flow steering.FlowKey) (Placement, bool) {
	c.rotate(now)
	if placed, ok := c.current[flow]; ok {
		return placed, true
	}
	placed, ok := c.previous[flow]
	return placed, ok
}

// Set stores the placement of a flow.
func (c *Cache) Set(now time.Time, flow steering.FlowKey, placed Placement) {
	c.rotate(now)
	c.current[flow] = placed
}

// Len returns the number of stored placements.
func (c *Cache) Len() int { return len(c.current) + len(c.previous) }

// rotate starts a new generation if the current one has expired or is full, and
// drops the generation before it.
func (c *Cache) rotate(now time.Time) {
	age := now.Sub(c.rotatedAt)
	if age < generationLifetime && len(c.current) < generationLimit {
		return
	}
	c.previous = c.current
	if age >= 2*generationLifetime {
		c.previous = nil
	}
	c.current = make(map[steering.FlowKey]Placement)
	c.rotatedAt = now
}
