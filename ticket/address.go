package ticket

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
)

// Clash is one address that the tickets of two live services name.
type Clash struct {
	Address netip.AddrPort
	// Service has the address; Other has to do without.
	Service, Other string
}

// AddressOwner returns the live service that has an address. A removed service
// has none. Of several the one whose ticket was published earliest has it, then
// the one with the lowest key: nodes with equal registers settle it alike.
func (r *Register) AddressOwner(address netip.AddrPort) (ServiceKey, bool) {
	claims := r.claims[address]
	if len(claims) == 0 {
		return 0, false
	}
	return slices.MinFunc(claims, r.compareClaims), true
}

func (r *Register) compareClaims(a, b ServiceKey) int {
	return cmp.Or(cmp.Compare(r.entries[a].Index, r.entries[b].Index), cmp.Compare(a, b))
}

// Clashes returns every claim on an address that another service has, by the
// name of the service that has to do without.
func (r *Register) Clashes() []Clash {
	var clashes []Clash
	for address := range r.contested {
		owner, _ := r.AddressOwner(address)
		for _, key := range r.claims[address] {
			if key != owner {
				clashes = append(clashes, Clash{
					Address: address,
					Service: r.entries[owner].Ticket.Service,
					Other:   r.entries[key].Ticket.Service,
				})
			}
		}
	}
	slices.SortFunc(clashes, func(a, b Clash) int { return strings.Compare(a.Other, b.Other) })
	return clashes
}

func (r *Register) claim(t *Ticket) {
	if t.Removed {
		return
	}
	r.claims[t.Address] = append(r.claims[t.Address], t.Key())
	r.contest(t.Address)
}

func (r *Register) unclaim(t *Ticket) {
	if t.Removed {
		return
	}
	rest := slices.DeleteFunc(r.claims[t.Address], func(key ServiceKey) bool { return key == t.Key() })
	r.claims[t.Address] = rest
	if len(rest) == 0 {
		delete(r.claims, t.Address)
	}
	r.contest(t.Address)
}

func (r *Register) contest(address netip.AddrPort) {
	if len(r.claims[address]) > 1 {
		r.contested[address] = true
		return
	}
	delete(r.contested, address)
}
