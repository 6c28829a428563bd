package ticket

// TakesNew tells whether the ticket lets the named endpoint take new work: it
// names the endpoint, and neither drains it nor removes the service.
func (t *Ticket) TakesNew(endpoint string) bool {
	for _, e := range t.Endpoints {
		if e.Name == endpoint {
			return !t.Removed && !e.Draining
		}
	}
	return false
}
