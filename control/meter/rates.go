package meter

import "time"

// Rates are what a node spends on control.
type Rates struct {
	// BytesPerSecond are sent and received together.
	BytesPerSecond float64
	// CoreShare is the control goroutine's share of one core.
	CoreShare float64
}

// Reading is what was counted until one moment.
type Reading struct {
	At    time.Time
	Bytes int64
	Busy  time.Duration
}

// Sampler turns readings into rates over a window. The control goroutine owns
// it.
type Sampler struct{ older, newer Reading }

// NewSampler returns a sampler that begins at a reading.
func NewSampler(first Reading) *Sampler { return &Sampler{older: first, newer: first} }

// Sample takes a reading in; the window moves on when it is full.
func (s *Sampler) Sample(r Reading) {
	if r.At.Sub(s.newer.At) >= Window {
		s.older, s.newer = s.newer, r
	}
}

// Rates returns the rates between the start of the window and a reading.
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
