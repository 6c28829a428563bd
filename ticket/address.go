package ticket

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
)

// AddressConflict is an address that the tickets of two live services claim.
type AddressConflict struct {
	Address netip.AddrPort
	// Service owns the address; Other is a service that claims it too and does
	// not get it.
	Service, Other string
}

// AddressOwner returns the live service that owns an address; the bool is false
// if no live service claims it. Removed services own no address. Of several
// claims the one published earliest wins, then the one with the lowest key, so
// nodes with equal registers choose the same owner.
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

// AddressConflicts returns every claim on an address that another service owns,
// sorted by the name of the service that does not get it.
func (r *Register) AddressConflicts() []AddressConflict {
	var conflicts []AddressConflict
	for address := range r.contested {
		owner, _ := r.AddressOwner(address)
		for _, key := range r.claims[address] {
			if key != owner {
				conflicts = append(conflicts, AddressConflict{
					Address: address,
					Service: r.entries[owner].Ticket.Service,
					Other:   r.entries[key].Ticket.Service,
				})
			}
		}
	}
	slices.SortFunc(conflicts, func(a, b AddressConflict) int { return strings.Compare(a.Other, b.Other) })
	return conflicts
}

func (r *Register) claim(t *Ticket) {
	if t.Removed {
		return
	}
	r.claims[t.Address] = append(r.claims[t.Address], t.Key())
	r.updateContested(t.Address)
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
	r.updateContested(t.Address)
}

func (r *Register) updateContested(address netip.AddrPort) {
	if len(r.claims[address]) > 1 {
		r.contested[address] = true
		return
	}
	delete(r.contested, address)
}
