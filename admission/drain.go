package admission

import "time"

// Drain refuses all new requests from now on and drops the open slot requests
// of peers.
func (s *State) Drain(now time.Time) Outputs {
	s.draining = true
	s.exchange.pending = nil
	return s.schedule(now)
}

// Resume accepts new requests again after a cancelled drain.
func (s *State) Resume() { s.draining = false }
