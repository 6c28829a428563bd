package steering

import (
	"time"

	"cactustray/ticket"
)

const (
	// DepartedRetention is how long a departed endpoint, which no ticket in
	// force names any more, stays reachable for its open flows.
	DepartedRetention = 24 * time.Hour
	// MaxDeparted bounds the number of departed endpoints in the table. The one
	// that departed first is removed first.
	MaxDeparted = 16384
)

// NewerTicket notifies the control goroutine that another node routes by a
// newer ticket of a service.
type NewerTicket struct {
	Service ticket.ServiceKey
	Ticket  ticket.Number
}

// fetchRetryInterval is how long a balancer with an older ticket waits for the
// newer one before it requests it again.
const fetchRetryInterval = 500 * time.Millisecond

// fetchRequest is the last request for a newer ticket.
type fetchRequest struct {
	number ticket.Number
	at     time.Time
}

type departure struct {
	service  ticket.ServiceKey
	endpoint ticket.EndpointKey
	at       time.Time
}

// State builds the tables. The control goroutine owns it.
type State struct {
	table *Table
	// departures are in chronological order. An endpoint that returned and
	// departed again is listed twice; departedAt has its last departure.
	departures    []departure
	departedAt    map[ticket.ServiceKey]map[ticket.EndpointKey]time.Time
	departedCount int
	fetches       map[ticket.ServiceKey]fetchRequest
}

// NewState returns a state with an empty table.
func NewState() *State {
	return &State{
		table:      emptyTable(),
		departedAt: make(map[ticket.ServiceKey]map[ticket.EndpointKey]time.Time),
		fetches:    make(map[ticket.ServiceKey]fetchRequest),
	}
}

// Table returns the table in force.
func (s *State) Table() *Table { return s.table }

// DepartedCount returns the number of departed endpoints that are still
// reachable.
func (s *State) DepartedCount() int { return s.departedCount }

// Update applies the tickets and the availability to the named services, or to
// all if none is named, and returns the new table. It shares unchanged services
// with the table before.
func (s *State) Update(now time.Time, register *ticket.Register, availability Availability, services ...ticket.ServiceKey) *Table {
	u := s.begin(now, register)
	if len(services) == 0 {
		register.Each(func(key ticket.ServiceKey, entry *ticket.Entry) { u.updateService(key, entry.Ticket, availability) })
	}
	for _, key := range services {
		if entry := register.Entry(key); entry != nil {
			u.updateService(key, entry.Ticket, availability)
		}
	}
	s.table = u.finish()
	s.expireDepartures(now)
	return s.table
}

// ShouldFetch records a notice and reports whether the named ticket should be
// requested now: it is newer than the one in use, and was not requested within
// fetchRetryInterval.
func (s *State) ShouldFetch(now time.Time, m NewerTicket) bool {
	service := s.table.Service(m.Service)
	if service == nil || service.Ticket >= m.Ticket {
		delete(s.fetches, m.Service)
		return false
	}
	last, ok := s.fetches[m.Service]
	if ok && last.number >= m.Ticket && now.Sub(last.at) < fetchRetryInterval {
		return false
	}
	s.fetches[m.Service] = fetchRequest{number: m.Ticket, at: now}
	return true
}

// Tick removes departed endpoints after DepartedRetention and reports whether
// the table changed.
func (s *State) Tick(now time.Time) bool {
	before := s.table
	s.expireDepartures(now)
	return s.table != before
}

// expireDepartures removes departures that are too old, or the oldest if there
// are too many. An endpoint's table entry is removed only if it has neither
// returned nor departed again since.
func (s *State) expireDepartures(now time.Time) {
	var u *update
	for len(s.departures) > 0 && (now.Sub(s.departures[0].at) > DepartedRetention || s.departedCount > MaxDeparted) {
		first := s.departures[0]
		s.departures = s.departures[1:]
		if at, ok := s.departedAt[first.service][first.endpoint]; !ok || at != first.at {
			continue
		}
		if u == nil {
			u = s.begin(now, nil)
		}
		s.removeDeparture(first.service, first.endpoint)
		u.endpoints.remove(first.endpoint)
	}
	if u != nil {
		s.table = u.finish()
	}
}

func (s *State) addDeparture(now time.Time, service ticket.ServiceKey, endpoint ticket.EndpointKey) {
	if s.departedAt[service] == nil {
		s.departedAt[service] = make(map[ticket.EndpointKey]time.Time)
	}
	s.departedAt[service][endpoint] = now
	s.departedCount++
	s.departures = append(s.departures, departure{service: service, endpoint: endpoint, at: now})
}

func (s *State) removeDeparture(service ticket.ServiceKey, endpoint ticket.EndpointKey) {
	if _, ok := s.departedAt[service][endpoint]; !ok {
		return
	}
	s.departedCount--
	delete(s.departedAt[service], endpoint)
	if len(s.departedAt[service]) == 0 {
		delete(s.departedAt, service)
	}
}
