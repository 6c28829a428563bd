package meter

import "time"

// Usage tells the rates of one node. The control goroutine owns it.
type Usage struct {
	traffic *Meter
	busy    func() time.Duration
	sampler *Sampler
}

// NewUsage returns the usage of the node whose traffic the meter counts and
// whose control goroutine was busy as long as busy says.
func NewUsage(traffic *Meter, busy func() time.Duration) *Usage {
	u := &Usage{traffic: traffic, busy: busy}
	u.sampler = NewSampler(u.reading(time.Now()))
	return u
}

// Sample moves the window on; it is called regularly.
func (u *Usage) Sample(now time.Time) { u.sampler.Sample(u.reading(now)) }

// Rates returns the rates of the last window.
func (u *Usage) Rates(now time.Time) Rates { return u.sampler.Rates(u.reading(now)) }

func (u *Usage) reading(now time.Time) Reading {
	return Reading{At: now, Bytes: u.traffic.Bytes(), Busy: u.busy()}
}
