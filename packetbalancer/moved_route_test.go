package packetbalancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/flow"
	"cactustray/placement"
	"cactustray/settings"

	"github.com/shoenig/test/must"
)

// beforeMove returns a directory with an endpoint of each of two services, and a route of
// port 80 to the first service; afterMove returns the change that moves it to the second.
func beforeMove() directory.Change {
	desired := &directory.Desired{Version: 1, ModRevision: 1, Routes: []directory.Route{routeTo(80, "orders")}}
	endpoints := []directory.Endpoint{endpointOf(1, "orders", 2), endpointOf(2, "drawings", 3)}
	return directory.Change{Revision: 9, Snapshot: true, Desired: desired, Endpoints: endpoints}
}

func afterMove() directory.Change {
	desired := &directory.Desired{Version: 2, ModRevision: 12, Routes: []directory.Route{routeTo(80, "drawings")}}
	return directory.Change{Revision: 12, After: 9, Desired: desired}
}

// stateAtFirstStart returns the control state of a balancer that starts with the system.
func stateAtFirstStart(changes ...directory.Change) *state {
	s := stateWith(directory.Change{})
	s.directory = directory.NewState()
	s.directory.FirstStart()
	for _, change := range changes {
		s.directory.Apply(clock.Now(), change)
	}
	return s
}

// queriedAgents returns how many agents are queried about an unknown flow of the route of
// port 80 before it may end, if each of them denies it.
func queriedAgents(s *state, now time.Duration) int {
	assignments, table := flow.NewAssignments(time.Minute, rand.New(rand.NewPCG(1, 2))), newTableBuilder(now, s).build()
	table.Complete = true
	for _, endpoint := range table.Agents {
		endpoint.AgentLoad.Report(now, placement.Usage{})
	}
	packet := flow.Packet{Flow: flow.Key{Caller: flow.Address{Port: 1}, Service: flow.AddressOf(routeTo(80, "").Address)}, Data: 100}
	d := assignments.FromCaller(now, packet, table, []byte("packet"))
	queried := 0
	for waiting := d.SearchAgents; len(waiting) > 0; waiting = waiting[1:] {
		queried++
		d, _ = assignments.Denied(now, packet.Flow, waiting[0], table)
		waiting = append(waiting, d.SearchAgents...)
	}
	return queried
}

// A flow that was opened before its route moved to another service is searched for at
// both services, until it is older than any flow may be.
func TestFlowOutlivesMoveOfItsRoute(t *testing.T) {
	start := clock.Now()
	must.EqOp(t, 1, queriedAgents(stateAtFirstStart(beforeMove()), start))
	s := stateAtFirstStart(beforeMove(), afterMove())
	must.EqOp(t, 2, queriedAgents(s, start))
	s.directory.RemoveExpired(start+61*time.Second, time.Minute)
	must.EqOp(t, 1, queriedAgents(s, start+61*time.Second))
}

// A balancer that starts after the move learns the former service from one that knows the
// history. Without any, it searches all services.
func TestRestartedBalancerKnowsFormerService(t *testing.T) {
	start := clock.Now()
	after := stateAtFirstStart(beforeMove(), afterMove())
	alone := stateWith(after.directorySnapshot(start, directory.Request{}))
	must.True(t, alone.directory.KnowsRouteHistory(start, time.Minute))
	must.EqOp(t, 2, queriedAgents(alone, start))

	fromRegistry := beforeMove()
	fromRegistry.Revision, fromRegistry.Desired = 12, afterMove().Desired
	restarted := stateWith(fromRegistry)
	must.False(t, restarted.directory.KnowsRouteHistory(start, time.Minute))
	must.EqOp(t, 2, queriedAgents(restarted, start))
	must.EqOp(t, 1, queriedAgents(restarted, start+61*time.Second))

	// A balancer that lags cannot say what was in force between its desired state and ours.
	lagging := stateAtFirstStart(beforeMove())
	restarted.directory.Apply(start, lagging.directorySnapshot(start, directory.Request{}))
	must.False(t, restarted.directory.KnowsRouteHistory(start, time.Minute))
	restarted.directory.Apply(start, after.directorySnapshot(start, directory.Request{}))
	must.True(t, restarted.directory.KnowsRouteHistory(start, time.Minute))
	must.EqOp(t, 2, queriedAgents(restarted, start))
}

// A balancer that started after all others were killed, and saw a route leave a service since,
// did not tell that service from those that the route is only assumed to have left.
func TestSeenMoveIsKnownWhileHistoryIsUnknown(t *testing.T) {
	start := clock.Now()
	s := stateWith(beforeMove())
	s.directory.Apply(start, afterMove())
	must.False(t, s.directory.KnowsRouteHistory(start, time.Minute))
	route := newTableBuilder(start, s).build().Routes[flow.AddressOf(routeTo(80, "").Address)]
	must.Len(t, 1, route.Former)
	must.EqOp(t, "orders", route.Former[0].Name)
	must.Len(t, 2, route.Assumed)
}

// Balancers kept the lifetime of flows with which they had started, and forgot which service a
// route had left before the flows there were too old.
func TestRaisedFlowLifetimeAppliesToRouteHistory(t *testing.T) {
	start := clock.Now()
	s := stateAtFirstStart(beforeMove(), afterMove())
	s.traffic = &forwarder{assignments: flow.NewAssignments(time.Minute, newRandom())}
	s.traffic.table.Store(flow.NewRoutingTable())
	raised := *s.settings.Packets
	raised.FlowSeconds = 120
	s.apply(&settings.Settings{Packets: &raised})
	s.publish(start + 100*time.Second)
	must.EqOp(t, 2, queriedAgents(s, start+100*time.Second))
	s.publish(start + 121*time.Second)
	must.EqOp(t, 1, queriedAgents(s, start+121*time.Second))
}
