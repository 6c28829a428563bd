package measure

import (
	"fmt"
	"net/netip"
	"time"

	"cactustray/steering"
	"cactustray/ticket"

	"github.com/cespare/xxhash/v2"
)

// BrokenCount is the number of open flows whose packets no longer reach their endpoint after
// a planned change: with owner tokens (Ours) and with a plain hash (Baseline).
type BrokenCount struct {
	Service  string `json:"service"`
	Change   string `json:"change"`
	Flows    int    `json:"flows"`
	Baseline int    `json:"broken_hash_only"`
	Ours     int    `json:"broken_ours"`
}

// CountBrokenFlows opens flows, changes the ticket and sends one more packet of each
// flow: with its owner token, as the system does, and without, as a plain hash would.
func CountBrokenFlows(d Deployment) []BrokenCount {
	before := flowTicket(d, 1)
	drained := flowTicket(d, 2)
	drained.Endpoints[0].Draining = true
	removed := flowTicket(d, 2)
	removed.Endpoints = removed.Endpoints[1:]
	added := flowTicket(d, 2)
	added.Endpoints = append(added.Endpoints, flowEndpoint(d.Endpoints))
	return []BrokenCount{
		countBroken(d, "endpoint draining", before, drained),
		countBroken(d, "endpoint removed", before, removed),
		countBroken(d, "endpoint added", before, added),
	}
}

func countBroken(d Deployment, change string, before, after *ticket.Ticket) BrokenCount {
	now := time.Unix(0, 0)
	register := ticket.NewRegister()
	state := steering.NewState()
	register.Join(now, ticket.Record{Ticket: before})
	old := state.Update(now, register, steering.AlwaysAvailable{})
	register.Join(now, ticket.Record{Ticket: after})
	changed := state.Update(now, register, steering.AlwaysAvailable{})
	b := BrokenCount{Service: d.Name, Change: change, Flows: d.Endpoints * d.Connections}
	for i := range b.Flows {
		opening := steering.Packet{
			Address: before.Address,
			Flow:    steering.FlowKey(xxhash.Sum64String(fmt.Sprint(i))),
			Opening: true,
		}
		home := old.Decide(opening).Endpoint.Key
		owned := opening
		owned.Opening = false
		owned.HasOwner = true
		owned.Owner.Endpoint = home
		if at := changed.Decide(owned).Endpoint; at == nil || at.Key != home {
			b.Ours++
		}
		if at := changed.Decide(opening).Endpoint; at == nil || at.Key != home {
			b.Baseline++
		}
	}
	return b
}

func flowTicket(d Deployment, number ticket.Number) *ticket.Ticket {
	t := &ticket.Ticket{Number: number, Service: d.Name, Address: netip.MustParseAddrPort("127.0.0.1:443")}
	for i := range d.Endpoints {
		t.Endpoints = append(t.Endpoints, flowEndpoint(i))
	}
	return t
}

func flowEndpoint(i int) ticket.Endpoint {
	return ticket.Endpoint{Name: fmt.Sprint("server-", i), Weight: 1}
}
