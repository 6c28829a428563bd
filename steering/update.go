package steering

import (
	"net/netip"
	"time"

	"cactustray/ticket"
)

// update builds the next table from the one in force.
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

// updateService replaces the snapshot of one service, unless it is still
// current.
func (u *update) updateService(key ticket.ServiceKey, t *ticket.Ticket, availability Availability) {
	u.refreshDeparted(key, availability)
	defer u.assignAddress(t.Address)
	before := u.services.next.get(key)
	if before != nil && before.isCurrent(t, availability) {
		return
	}
	if before == nil && t.Removed {
		return
	}
	service := NewService(t, availability)
	if t.Removed {
		service.Address = before.Address
	}
	u.add(service)
	if before != nil {
		u.retire(before, service)
	}
}

func (u *update) add(service *Service) {
	u.services.set(service.Key, service)
	u.byAddress.set(addressKeyOf(service.Address), service)
	u.assignAddress(service.Address)
	for _, endpoint := range service.endpoints {
		u.endpoints.set(endpoint.Key, endpoint)
		u.state.removeDeparture(service.Key, endpoint.Key)
	}
}

// assignAddress maps an address to the live service that owns it according to
// the register. A removed service keeps its address until another service
// claims it.
func (u *update) assignAddress(address netip.AddrPort) {
	owner, owned := u.register.AddressOwner(address)
	if !owned {
		return
	}
	service := u.services.next.get(owner)
	if service != nil && u.byAddress.next.get(addressKeyOf(address)) != service {
		u.byAddress.set(addressKeyOf(address), service)
	}
}

// retire removes the entries that only the previous snapshot of a service has.
// Its endpoints stay in the table as departed, for their open flows.
func (u *update) retire(before, service *Service) {
	if before.Address != service.Address && u.byAddress.next.get(addressKeyOf(before.Address)) == before {
		u.byAddress.remove(addressKeyOf(before.Address))
		u.assignAddress(before.Address)
	}
	for _, endpoint := range before.endpoints {
		if u.endpoints.next.get(endpoint.Key) != endpoint {
			continue
		}
		departed := *endpoint
		departed.AcceptsNew, departed.Departed = false, true
		u.endpoints.set(departed.Key, &departed)
		u.state.addDeparture(u.now, departed.Service, departed.Key)
	}
}

// refreshDeparted updates which departed endpoints of a service are known to
// have stopped.
func (u *update) refreshDeparted(service ticket.ServiceKey, availability Availability) {
	for key := range u.state.departedAt[service] {
		endpoint := u.endpoints.next.get(key)
		if stoppedThrough := availability.StoppedThrough(key); stoppedThrough != endpoint.StoppedThrough {
			changed := *endpoint
			changed.StoppedThrough = stoppedThrough
			u.endpoints.set(key, &changed)
		}
	}
}
