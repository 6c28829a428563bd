package ticket

// AcceptsNew reports whether the named endpoint may accept new work: the ticket
// lists it, does not drain it and does not remove the service.
func (t *Ticket) AcceptsNew(endpoint string) bool {
	for _, e := range t.Endpoints {
		if e.Name == endpoint {
			return !t.Removed && !e.Draining
		}
	}
	return false
}
