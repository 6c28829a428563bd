package steering

import (
	"math"
	"slices"
	"testing"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const sampledFlows = 2000

// A change of endpoints or weights moves only flows to or from the changed
// endpoint.
func TestEndpointChangeMovesOnlyAffectedFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.SampledFrom([]uint32{0, 1, 50, 100, 100, 100, 1000}), 1, 30)
		before := weights.Draw(t, "before")
		after := slices.Clone(before)
		changed := rapid.IntRange(0, len(after)-1).Draw(t, "changed")
		after[changed] = rapid.SampledFrom([]uint32{0, 7, 100, 1000}).Draw(t, "weight")
		old := NewService(ticketOf(0, 1, before...), AlwaysAvailable{})
		next := NewService(ticketOf(0, 2, after...), AlwaysAvailable{})
		for i := range sampledFlows {
			from, to := old.Home(FlowKey(mix(uint64(i)))), next.Home(FlowKey(mix(uint64(i))))
			if from == nil || to == nil || from.Key == to.Key {
				continue
			}
			key := keyOf(0, changed)
			must.True(t, from.Key == key || to.Key == key, must.Sprintf("flow %d moved from %s to %s", i, from.Name, to.Name))
			if after[changed] > before[changed] {
				must.EqOp(t, key, to.Key, must.Sprint("a higher weight only adds flows to the endpoint"))
			} else {
				must.EqOp(t, key, from.Key, must.Sprint("a lower weight only removes flows from the endpoint"))
			}
		}
	})
}

// Each endpoint gets a share of flows in proportion to its weight, within five
// standard deviations.
func TestFlowSharesMatchWeights(t *testing.T) {
	for _, weights := range [][]uint32{{100, 100, 100}, {1, 1000}, {10, 100, 200, 300}, {100, 100, 100, 100, 100, 100, 50}} {
		service := NewService(ticketOf(0, 1, weights...), AlwaysAvailable{})
		counts := make(map[ticket.EndpointKey]float64)
		const flows = 400_000
		for i := range uint64(flows) {
			counts[service.Home(FlowKey(mix(i))).Key]++
		}
		total := uint32(0)
		for _, weight := range weights {
			total += weight
		}
		for i, weight := range weights {
			share := float64(weight) / float64(total)
			deviation := math.Sqrt(flows * share * (1 - share))
			must.LessEq(t, 5*deviation, math.Abs(counts[keyOf(0, i)]-flows*share), must.Sprint("weights", weights, "endpoint", i))
		}
	}
}

func TestNegativeLog2IsMonotonicAndAccurate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Uint64().Draw(t, "a"), rapid.Uint64().Draw(t, "b")
		if a > b {
			a, b = b, a
		}
		must.GreaterEq(t, negativeLog2(b), negativeLog2(a))
		want := 64 - math.Log2(float64(a|1))
		must.InDelta(t, want, float64(negativeLog2(a))/logOne, 1e-5)
	})
}

// A departed endpoint stays reachable for its open flows, gets no new flows,
// and is removed after DepartedRetention.
func TestDepartedEndpointStaysReachable(t *testing.T) {
	register := ticket.NewRegister()
	addTickets(register, ticketOf(0, 1, 100, 100))
	s := NewState()
	s.Update(start, register, AlwaysAvailable{})
	addTickets(register, ticketOf(0, 2, 100))
	table := s.Update(start, register, AlwaysAvailable{})
	toDeparted := Packet{Address: address(10, 0), HasOwner: true, Owner: Owner{Endpoint: keyOf(0, 1), Incarnation: 5}}
	must.EqOp(t, keyOf(0, 1), table.Decide(toDeparted).Endpoint.Key)
	for i := range uint64(sampledFlows) {
		opening := Packet{Address: address(10, 0), Opening: true, Flow: FlowKey(mix(i))}
		must.EqOp(t, keyOf(0, 0), table.Decide(opening).Endpoint.Key)
	}
	must.False(t, s.Tick(start.Add(DepartedRetention)))
	must.True(t, s.Tick(start.Add(DepartedRetention+1)))
	must.EqOp(t, UnknownOwner, s.Table().Decide(toDeparted).Reason)
	must.EqOp(t, 0, s.DepartedCount())
}

// An endpoint that departed and returned is not removed when its earlier
// departure expires.
func TestReturnedEndpointDoesNotExpire(t *testing.T) {
	register := ticket.NewRegister()
	s := NewState()
	for number, weights := range [][]uint32{{100, 100}, {100}, {100, 100}} {
		addTickets(register, ticketOf(0, number+1, weights...))
		s.Update(start, register, AlwaysAvailable{})
	}
	must.EqOp(t, 0, s.DepartedCount())
	s.Tick(start.Add(DepartedRetention + 1))
	must.False(t, s.Table().Endpoint(keyOf(0, 1)).Departed)
}

func TestDepartedEndpointsAreBounded(t *testing.T) {
	const perTicket = 64
	weights := slices.Repeat([]uint32{100}, perTicket)
	register := ticket.NewRegister()
	s := NewState()
	for service := range MaxDeparted/perTicket + 2 {
		addTickets(register, ticketOf(service, 1, weights...))
		s.Update(start, register, AlwaysAvailable{}, ticketOf(service, 1).Key())
		addTickets(register, &ticket.Ticket{Number: 2, Service: ticketOf(service, 1).Service, Removed: true})
		s.Update(start, register, AlwaysAvailable{}, ticketOf(service, 1).Key())
	}
	must.EqOp(t, MaxDeparted, s.DepartedCount())
	must.EqOp(t, MaxDeparted, s.Table().Endpoints())
	must.Nil(t, s.Table().Endpoint(keyOf(0, 0)), must.Sprint("the endpoint that departed first is removed first"))
}

// A removed service accepts no new flows; its open flows continue.
func TestRemovedServiceServesOpenFlows(t *testing.T) {
	register := ticket.NewRegister()
	addTickets(register, ticketOf(0, 1, 100))
	s := NewState()
	s.Update(start, register, AlwaysAvailable{})
	addTickets(register, &ticket.Ticket{Number: 2, Service: "service-0", Removed: true})
	table := s.Update(start, register, AlwaysAvailable{})
	open := Packet{Address: address(10, 0), HasOwner: true, Owner: Owner{Endpoint: keyOf(0, 0)}}
	must.EqOp(t, Forwarded, table.Decide(open).Reason)
	must.EqOp(t, NoEndpoint, table.Decide(Packet{Address: address(10, 0), Opening: true}).Reason)
}

// Updates of one service at a time yield the same tables as updates of all
// services, and share the services that did not change.
func TestIncrementalUpdateMatchesFullUpdate(t *testing.T) {
	const services, endpoints = 4, 5
	rapid.Check(t, func(t *rapid.T) {
		register := ticket.NewRegister()
		availability := fakeAvailability{suspected: make(map[ticket.EndpointKey]bool), stopped: make(map[ticket.EndpointKey]Incarnation)}
		full, incremental := NewState(), NewState()
		for number := range rapid.IntRange(1, 12).Draw(t, "changes") {
			service := rapid.IntRange(0, services-1).Draw(t, "service")
			key := keyOf(service, rapid.IntRange(0, endpoints-1).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				availability.suspected[key] = !availability.suspected[key]
			case 1:
				availability.stopped[key]++
			case 2:
				addTickets(register, &ticket.Ticket{Number: ticket.Number(number + 1), Service: ticketOf(service, 1).Service, Removed: true})
			default:
				weights := rapid.SliceOfN(rapid.SampledFrom([]uint32{0, 100, 200}), endpoints, endpoints).Draw(t, "weights")
				addTickets(register, ticketOf(service, number+1, weights...))
			}
			before := incremental.Table()
			a := full.Update(start, register, availability)
			b := incremental.Update(start, register, availability, ticketOf(service, 1).Key())
			for other := range services {
				serviceKey := ticketOf(other, 1).Key()
				if other != service {
					must.True(t, before.Service(serviceKey) == b.Service(serviceKey))
				}
				for i := range endpoints {
					must.Eq(t, a.Endpoint(keyOf(other, i)), b.Endpoint(keyOf(other, i)))
				}
				for i := range uint64(20) {
					p := Packet{Address: address(10, other), Opening: true, Flow: FlowKey(mix(i))}
					must.Eq(t, a.Decide(p).Endpoint, b.Decide(p).Endpoint)
				}
			}
			must.EqOp(t, full.DepartedCount(), incremental.DepartedCount())
		}
	})
}
