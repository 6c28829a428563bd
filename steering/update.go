package steering

import (
	"net/netip"
	"time"

	"cactustray/ticket"
)

// update is one change of the table in progress.
type update struct {
	state     *State
	register  *ticket.Register
	now       time.Time
	byAddress *editor[addressKey, *Service]
	services  *editor[ticket.ServiceKey, *Service]
	endpoints *editor[ticket.EndpointKey, *Endpoint]
}

func (s *State) begin(now time.Time, register *ticket.Register) *update {
	return &update{
		state:     s,
		register:  register,
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
	defer u.settle(t.Address)
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
	u.byAddress.set(addressKeyOf(service.Address), service)
	u.settle(service.Address)
	for _, endpoint := range service.endpoints {
		u.endpoints.set(endpoint.Key, endpoint)
		u.state.returned(service.Key, endpoint.Key)
	}
}

// settle gives an address to the live service that the register says has it. A
// removed service keeps its address until another claims it.
func (u *update) settle(address netip.AddrPort) {
	owner, owned := u.register.AddressOwner(address)
	if !owned {
		return
	}
	service := u.services.next.get(owner)
	if service != nil && u.byAddress.next.get(addressKeyOf(address)) != service {
		u.byAddress.set(addressKeyOf(address), service)
	}
}

// release takes out what only the service before had. Its endpoints stay for
// their open flows.
func (u *update) release(before, service *Service) {
	if before.Address != service.Address && u.byAddress.next.get(addressKeyOf(before.Address)) == before {
		u.byAddress.remove(addressKeyOf(before.Address))
		u.settle(before.Address)
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
