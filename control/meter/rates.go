package meter

import "time"

// Rates is the average cost of a node's control.
type Rates struct {
	// BytesPerSecond is the sum of bytes sent and received, per second.
	BytesPerSecond float64
	// CoreShare is the share of one core that the control goroutine uses, 0 to 1.
	CoreShare float64
}

// Reading holds the totals at one time.
type Reading struct {
	At    time.Time
	Bytes int64
	Busy  time.Duration
}

// Sampler computes rates over a sliding window from readings. It must be used by the
// control goroutine only.
type Sampler struct{ older, newer Reading }

// NewSampler returns a sampler whose window starts at the given reading.
func NewSampler(first Reading) *Sampler { return &Sampler{older: first, newer: first} }

// Sample records a reading if the last one is at least Window old. The window then
// starts at the previous reading.
func (s *Sampler) Sample(r Reading) {
	if r.At.Sub(s.newer.At) >= Window {
		s.older, s.newer = s.newer, r
	}
}

// Rates returns the rates between the start of the window and a reading, or zero if
// no time has passed.
func (s *Sampler) Rates(r Reading) Rates {
	elapsed := r.At.Sub(s.older.At).Seconds()
	if elapsed <= 0 {
		return Rates{}
	}
	return Rates{
		BytesPerSecond: float64(r.Bytes-s.older.Bytes) / elapsed,
		CoreShare:      (r.Busy - s.older.Busy).Seconds() / elapsed,
	}
}
