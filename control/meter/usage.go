package meter

import "time"

// Usage computes the rates of one node. It must be used by the control goroutine only.
type Usage struct {
	traffic *Meter
	busy    func() time.Duration
	sampler *Sampler
}

// NewUsage returns the usage of a node. traffic counts its control traffic; busy
// returns the total time that its control goroutine has been busy.
func NewUsage(traffic *Meter, busy func() time.Duration) *Usage {
	u := &Usage{traffic: traffic, busy: busy}
	u.sampler = NewSampler(u.reading(time.Now()))
	return u
}

// Sample advances the window. It must be called regularly.
func (u *Usage) Sample(now time.Time) { u.sampler.Sample(u.reading(now)) }

// Rates returns the rates from the start of the window until now.
func (u *Usage) Rates(now time.Time) Rates { return u.sampler.Rates(u.reading(now)) }

func (u *Usage) reading(now time.Time) Reading {
	return Reading{At: now, Bytes: u.traffic.Bytes(), Busy: u.busy()}
}
