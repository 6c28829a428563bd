package admission

import "time"

// Drain refuses all new work from now on.
func (s *State) Drain(now time.Time) Outputs {
	s.draining = true
	s.exchange.pending = nil
	return s.schedule(now)
}

// Resume takes new work again after a drain that was taken back.
func (s *State) Resume() { s.draining = false }
