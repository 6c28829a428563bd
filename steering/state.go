package steering

import (
	"time"

	"cactustray/ticket"
)

const (
	// LeftKeep is how long an endpoint stays reachable for its open flows
	// after it left the tickets.
	LeftKeep = 24 * time.Hour
	// LeftLimit bounds how many such endpoints are kept; the one that left
	// first is forgotten first.
	LeftLimit = 16384
)

// Behind tells the control goroutine that another node routes by a newer
// ticket of a service.
type Behind struct {
	Service ticket.ServiceKey
	Ticket  ticket.Number
}

// behindRetry is how long a balancer that is behind waits for the newer ticket
// before it asks for it again.
const behindRetry = 500 * time.Millisecond

type noticed struct {
	number ticket.Number
	at     time.Time
}

type departure struct {
	service  ticket.ServiceKey
	endpoint ticket.EndpointKey
	at       time.Time
}

// State makes the tables. The control goroutine owns it.
type State struct {
	table *Table
	// left lists departures in their order. An endpoint that came back and
	// left again is listed twice; leftAt has its last departure.
	left   []departure
	leftAt map[ticket.ServiceKey]map[ticket.EndpointKey]time.Time
	kept   int
	behind map[ticket.ServiceKey]noticed
}

// NewState returns a state with an empty table.
func NewState() *State {
	return &State{
		table:  emptyTable(),
		leftAt: make(map[ticket.ServiceKey]map[ticket.EndpointKey]time.Time),
		behind: make(map[ticket.ServiceKey]noticed),
	}
}

// Table returns the table in force.
func (s *State) Table() *Table { return s.table }

// Kept returns how many endpoints are reachable though they left.
func (s *State) Kept() int { return s.kept }

// Update brings the named services, or all when none is named, up to their
// tickets and to the view, and returns the new table. Services that stand as
// they did are shared with the table before.
func (s *State) Update(now time.Time, register *ticket.Register, view View, services ...ticket.ServiceKey) *Table {
	u := s.begin(now, register)
	if len(services) == 0 {
		register.Each(func(key ticket.ServiceKey, entry *ticket.Entry) { u.bring(key, entry.Ticket, view) })
	}
	for _, key := range services {
		if entry := register.Entry(key); entry != nil {
			u.bring(key, entry.Ticket, view)
		}
	}
	s.table = u.finish()
	s.forget(now)
	return s.table
}

// IsBehind takes a notice in and tells whether the named ticket should be asked
// for now: it is newer than the one routed by, and nobody has asked lately.
func (s *State) IsBehind(now time.Time, m Behind) bool {
	service := s.table.Service(m.Service)
	if service == nil || service.Ticket >= m.Ticket {
		delete(s.behind, m.Service)
		return false
	}
	last, ok := s.behind[m.Service]
	if ok && last.number >= m.Ticket && now.Sub(last.at) < behindRetry {
		return false
	}
	s.behind[m.Service] = noticed{number: m.Ticket, at: now}
	return true
}

// Tick forgets endpoints that left long ago and tells whether the table
// changed.
func (s *State) Tick(now time.Time) bool {
	before := s.table
	s.forget(now)
	return s.table != before
}

// forget drops departures that are too old or too many. The endpoint's entry
// goes only if it has not come back or left anew since.
func (s *State) forget(now time.Time) {
	var u *update
	for len(s.left) > 0 && (now.Sub(s.left[0].at) > LeftKeep || s.kept > LeftLimit) {
		first := s.left[0]
		s.left = s.left[1:]
		if at, ok := s.leftAt[first.service][first.endpoint]; !ok || at != first.at {
			continue
		}
		if u == nil {
			u = s.begin(now, nil)
		}
		s.returned(first.service, first.endpoint)
		u.endpoints.remove(first.endpoint)
	}
	if u != nil {
		s.table = u.finish()
	}
}

func (s *State) departed(now time.Time, service ticket.ServiceKey, endpoint ticket.EndpointKey) {
	if s.leftAt[service] == nil {
		s.leftAt[service] = make(map[ticket.EndpointKey]time.Time)
	}
	s.leftAt[service][endpoint] = now
	s.kept++
	s.left = append(s.left, departure{service: service, endpoint: endpoint, at: now})
}

func (s *State) returned(service ticket.ServiceKey, endpoint ticket.EndpointKey) {
	if _, ok := s.leftAt[service][endpoint]; !ok {
		return
	}
	s.kept--
	delete(s.leftAt[service], endpoint)
	if len(s.leftAt[service]) == 0 {
		delete(s.leftAt, service)
	}
}
