package admission

// Resume takes new work again after a drain that was taken back.
func (s *State) Resume() { s.draining = false }
