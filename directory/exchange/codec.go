package exchange

import (
	"math"
	"net/netip"
	"time"

	"cactustray/directory"
	"cactustray/directory/directorypb"
)

func encode(c directory.Change, now time.Duration) *directorypb.FetchResponse {
	r := &directorypb.FetchResponse{
		Era:      uint64(c.Era),
		Revision: uint64(c.Revision),
		Digest:   c.Digest,
		AgeUs:    uint64(max(now-c.AsOf, 0).Microseconds()),
		Desired:  encodeDesired(c.Desired),
		Complete: c.Complete,

		RouteHistoryUs: uint64(max(c.RouteHistory, 0).Microseconds()),
		DesiredKnown:   c.DesiredKnown,
	}
	if !c.Snapshot {
		r.After = uint64(c.After)
	}
	for _, d := range c.Deleted {
		r.Deleted = append(r.Deleted, &directorypb.Deleted{Id: d.ID, Changed: uint64(d.ModRevision)})
	}
	for _, e := range c.Evacuations {
		r.Evacuations = append(r.Evacuations, &directorypb.Evacuation{
			Zone: e.Zone, Era: uint64(e.Era), Changed: uint64(e.ModRevision), Ended: e.Ended,
		})
	}
	for _, f := range c.Former {
		r.Former = append(r.Former, &directorypb.FormerService{Address: f.Address.String(), Service: f.Service, AgeUs: uint64(max(f.Age, 0).Microseconds())})
	}
	for _, agent := range c.Introduced {
		r.Introduced = append(r.Introduced, agent.String())
	}
	for _, e := range c.Endpoints {
		r.Endpoints = append(r.Endpoints, encodeEndpoint(e))
	}
	for _, d := range c.Departed {
		e := encodeEndpoint(d.Endpoint)
		e.GoneUs = uint64(max(d.Age, 0).Microseconds())
		r.Departed = append(r.Departed, e)
	}
	return r
}

func encodeEndpoint(e directory.Endpoint) *directorypb.Endpoint {
	return &directorypb.Endpoint{
		Id: e.ID, Born: e.Incarnation, Service: e.Service, Address: e.Address.String(), Zone: e.Zone,
		Slots: uint32(e.Slots), Draining: e.Draining,
		ColdUs: uint64(e.WarmUpTime.Microseconds()), Changed: uint64(e.ModRevision),
		Sequence: e.Sequence, Relisted: e.Relisted,
	}
}

func encodeDesired(d *directory.Desired) *directorypb.Desired {
	if d == nil {
		return nil
	}
	encoded := &directorypb.Desired{
		Version: d.Version, Era: uint64(d.Era), Changed: uint64(d.ModRevision), IdleUs: uint64(d.IdleTime.Microseconds()),
	}
	for _, route := range d.Routes {
		r := &directorypb.Route{Name: route.Name, Address: route.Address.String()}
		for _, share := range route.Shares {
			r.Shares = append(r.Shares, &directorypb.Share{Service: share.Service, Weight: share.Weight})
		}
		if c := route.Class; c != nil {
			r.Class = &directorypb.Class{
				Priority: uint32(c.Priority), Repeatable: c.Repeatable,
				GoalMs: uint32(c.Goal.Milliseconds()), LimitMs: uint32(c.Limit.Milliseconds()),
			}
		}
		encoded.Routes = append(encoded.Routes, r)
	}
	for _, s := range d.Services {
		encoded.Services = append(encoded.Services, &directorypb.Service{
			Name: s.Name, ColdUs: uint64(s.ColdTime.Microseconds()), ColdRateMilli: thousandths(s.ColdRate), Connections: uint32(s.Connections),
		})
	}
	return encoded
}

// decode skips endpoints, agents and routes with an unparsable address, which a newer
// version of the sender may send. sentAt is when the request was sent.
func decode(r *directorypb.FetchResponse, sentAt time.Duration) directory.Change {
	c := directory.Change{
		Era:      directory.Era(r.GetEra()),
		Revision: directory.Revision(r.GetRevision()),
		Digest:   r.GetDigest(),
		After:    directory.Revision(r.GetAfter()),
		Snapshot: r.GetAfter() == 0,
		AsOf:     sentAt - microseconds(r.GetAgeUs()),
		Complete: r.GetComplete(),

		DesiredKnown: r.GetDesiredKnown(),
		RouteHistory: microseconds(r.GetRouteHistoryUs()),
	}
	if !c.DesiredKnown {
		c.Desired = decodeDesired(r.GetDesired())
	}
	for _, d := range r.GetDeleted() {
		c.Deleted = append(c.Deleted, directory.Deleted{ID: d.GetId(), ModRevision: directory.Revision(d.GetChanged())})
	}
	for _, e := range r.GetEvacuations() {
		c.Evacuations = append(c.Evacuations, directory.Evacuation{
			Zone: e.GetZone(), Era: directory.Era(e.GetEra()), ModRevision: directory.Revision(e.GetChanged()), Ended: e.GetEnded(),
		})
	}
	for _, f := range r.GetFormer() {
		if address, err := netip.ParseAddrPort(f.GetAddress()); err == nil {
			c.Former = append(c.Former, directory.FormerService{Address: address, Service: f.GetService(), Age: microseconds(f.GetAgeUs())})
		}
	}
	for _, text := range r.GetIntroduced() {
		if agent, err := netip.ParseAddrPort(text); err == nil {
			c.Introduced = append(c.Introduced, agent)
		}
	}
	for _, e := range r.GetEndpoints() {
		if endpoint, ok := decodeEndpoint(e); ok {
			c.Endpoints = append(c.Endpoints, endpoint)
		}
	}
	for _, e := range r.GetDeparted() {
		if endpoint, ok := decodeEndpoint(e); ok {
			c.Departed = append(c.Departed, directory.Departed{Endpoint: endpoint, Age: microseconds(e.GetGoneUs())})
		}
	}
	return c
}

func decodeEndpoint(e *directorypb.Endpoint) (endpoint directory.Endpoint, ok bool) {
	address, err := netip.ParseAddrPort(e.GetAddress())
	return directory.Endpoint{
		ID: e.GetId(), Incarnation: e.GetBorn(), Service: e.GetService(), Address: address, Zone: e.GetZone(),
		Slots: int(e.GetSlots()), Draining: e.GetDraining(),
		WarmUpTime: microseconds(e.GetColdUs()), ModRevision: directory.Revision(e.GetChanged()),
		Sequence: e.GetSequence(), Relisted: e.GetRelisted(),
	}, err == nil
}

func decodeDesired(d *directorypb.Desired) *directory.Desired {
	decoded := &directory.Desired{
		Version: d.GetVersion(), Era: directory.Era(d.GetEra()), ModRevision: directory.Revision(d.GetChanged()), IdleTime: microseconds(d.GetIdleUs()),
	}
	for _, route := range d.GetRoutes() {
		address, err := netip.ParseAddrPort(route.GetAddress())
		if err != nil {
			continue
		}
		r := directory.Route{Name: route.GetName(), Address: address}
		for _, share := range route.GetShares() {
			r.Shares = append(r.Shares, directory.Share{Service: share.GetService(), Weight: share.GetWeight()})
		}
		if c := route.GetClass(); c != nil {
			r.Class = &directory.Class{
				Priority: uint8(min(c.GetPriority(), math.MaxUint8)), Repeatable: c.GetRepeatable(),
				Goal: milliseconds(c.GetGoalMs()), Limit: milliseconds(c.GetLimitMs()),
			}
		}
		decoded.Routes = append(decoded.Routes, r)
	}
	for _, s := range d.GetServices() {
		decoded.Services = append(decoded.Services, directory.Service{
			Name: s.GetName(), ColdTime: microseconds(s.GetColdUs()), ColdRate: float64(s.GetColdRateMilli()) / 1000, Connections: int(s.GetConnections()),
		})
	}
	return decoded
}

// thousandths returns a rate in thousandths, rounded; one above 0 is at least 1, since 0 has another
// meaning.
func thousandths(rate float64) uint32 {
	if !(rate > 0) {
		return 0
	}
	return uint32(min(max(math.Round(rate*1000), 1), math.MaxUint32))
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func microseconds(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }
