package admission

// Jobs returns the numbers of running and of queued jobs.
func (s *State) Jobs() (running, queued int) { return s.jobs, len(s.queue) }
