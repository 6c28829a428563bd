package steering

import (
	"time"

	"cactustray/ticket"
)

// update is one change of the table in progress.
type update struct {
	state     *State
	now       time.Time
	byAddress *editor[addressKey, *Service]
	services  *editor[ticket.ServiceKey, *Service]
	endpoints *editor[ticket.EndpointKey, *Endpoint]
}

func (s *State) begin(now time.Time) *update {
	return &update{
		state:     s,
		now:       now,
		byAddress: edit(s.table.byAddress),
		services:  edit(s.table.services),
		endpoints: edit(s.table.endpoints),
	}
}

func (u *update) finish() *Table {
	return &Table{byAddress: u.byAddress.next, services: u.services.next, endpoints: u.endpoints.next}
}

// bring makes one service anew, unless it stands as it did.
func (u *update) bring(key ticket.ServiceKey, t *ticket.Ticket, view View) {
	u.refreshLeft(key, view)
	before := u.services.next.get(key)
	if before != nil && before.stands(t, view) {
		return
	}
	if before == nil && t.Removed {
		return
	}
	service := NewService(t, view)
	if t.Removed {
		service.Address = before.Address
	}
	u.add(service)
	if before != nil {
		u.release(before, service)
	}
}

func (u *update) add(service *Service) {
	u.services.set(service.Key, service)
	holder := u.byAddress.next.get(addressKeyOf(service.Address))
	if holder == nil || holder.Key >= service.Key {
		u.byAddress.set(addressKeyOf(service.Address), service)
	}
	for _, endpoint := range service.endpoints {
		u.endpoints.set(endpoint.Key, endpoint)
		u.state.returned(service.Key, endpoint.Key)
	}
}

// release takes out what only the service before had. Its endpoints stay for
// their open flows.
func (u *update) release(before, service *Service) {
	if before.Address != service.Address && u.byAddress.next.get(addressKeyOf(before.Address)) == before {
		u.byAddress.remove(addressKeyOf(before.Address))
	}
	for _, endpoint := range before.endpoints {
		if u.endpoints.next.get(endpoint.Key) != endpoint {
			continue
		}
		left := *endpoint
		left.TakesNew, left.Left = false, true
		u.endpoints.set(left.Key, &left)
		u.state.departed(u.now, left.Service, left.Key)
	}
}

// refreshLeft learns which of the endpoints that left a service have ended.
func (u *update) refreshLeft(service ticket.ServiceKey, view View) {
	for key := range u.state.leftAt[service] {
		endpoint := u.endpoints.next.get(key)
		if gone := view.GoneThrough(key); gone != endpoint.GoneThrough {
			changed := *endpoint
			changed.GoneThrough = gone
			u.endpoints.set(key, &changed)
		}
	}
}
