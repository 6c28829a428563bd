package admission

// Jobs returns how many jobs run and how many wait.
func (s *State) Jobs() (running, queued int) { return s.jobs, len(s.queue) }
