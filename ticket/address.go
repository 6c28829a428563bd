package ticket

import (
	"cmp"
	"net/netip"
	"slices"
)

// Clash is one address that the tickets of two live services name.
type Clash struct {
	Address netip.AddrPort
	// Service has the address; Other has to do without.
	Service, Other string
}

// Addresses returns which service has each address, and the clashes. A removed
// service has none. Of two live services the one whose ticket was published
// earlier has the address, then the one with the lower key: every node with the
// same register settles a clash alike.
func (r *Register) Addresses() (map[netip.AddrPort]ServiceKey, []Clash) {
	owners := make(map[netip.AddrPort]ServiceKey, len(r.entries))
	var losers []*Entry
	for key, entry := range r.entries {
		if entry.Ticket.Removed {
			continue
		}
		address := entry.Ticket.Address
		owner, taken := owners[address]
		switch {
		case !taken:
			owners[address] = key
		case claimsBefore(entry, r.entries[owner]):
			owners[address] = key
			losers = append(losers, r.entries[owner])
		default:
			losers = append(losers, entry)
		}
	}
	return owners, r.clashes(owners, losers)
}

func (r *Register) clashes(owners map[netip.AddrPort]ServiceKey, losers []*Entry) []Clash {
	var clashes []Clash
	for _, loser := range losers {
		address := loser.Ticket.Address
		winner := r.entries[owners[address]]
		clashes = append(clashes, Clash{Address: address, Service: winner.Ticket.Service, Other: loser.Ticket.Service})
	}
	slices.SortFunc(clashes, func(a, b Clash) int { return cmp.Compare(a.Other, b.Other) })
	return clashes
}

func claimsBefore(a, b *Entry) bool {
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Ticket.Key(), b.Ticket.Key())) < 0
}
