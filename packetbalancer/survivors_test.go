package packetbalancer

import (
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/flow"

	"github.com/shoenig/test/must"
)

// Agents that knew balancers before those that run now outlived all balancers of that
// time. Agents that learned of balancers since have not, as after a loss of power.
func TestAgentsThatKnewEarlierBalancersOutlivedThem(t *testing.T) {
	start := clock.Now()
	s := stateWith(beforeMove())
	s.recordPosition()
	since := s.directory.RouteHistorySince()
	table := newTableBuilder(start, s).build()
	must.False(t, table.Outlived())
	s.traffic.survivors.record(since+time.Second, 0) // an agent of a build that does not report it
	must.False(t, table.Outlived())
	s.traffic.survivors.record(since+time.Second, time.Second)
	must.False(t, table.Outlived())
	s.traffic.survivors.record(since+time.Second, time.Second+transferMargin)
	must.False(t, table.Outlived())
	s.traffic.survivors.record(since+time.Second, time.Second+transferMargin+time.Millisecond)
	must.True(t, table.Outlived())
	s.traffic.survivors.record(since+2*time.Second, time.Second)
	must.True(t, table.Outlived())
	must.EqOp(t, since+reregisterTimeout, table.SettledAt)
}

// Once a balancer has the route history of one that started earlier, agents that have known the
// earlier one since its start do not count as survivors, in the present routing table either.
func TestAgentsThatKnewTheOldestBalancerDidNotOutliveIt(t *testing.T) {
	start := clock.Now()
	oldest := stateWith(beforeMove())
	later := start + 3*time.Second
	restarted := stateWith(directory.Change{})
	restarted.directory = directory.NewState()
	restarted.directory.Apply(later, beforeMove())
	restarted.recordPosition()
	table := newTableBuilder(later, restarted).build()
	restarted.traffic.survivors.record(later, later-oldest.directory.RouteHistorySince())
	must.True(t, table.Outlived())
	restarted.directory.Apply(later, oldest.directorySnapshot(later, directory.Request{}))
	restarted.recordPosition()
	must.False(t, table.Outlived())
}

// A balancer that loses the route history while it runs does not take its agents for survivors:
// it knows all endpoints, and lost flows end at once.
func TestLostHistoryIsNoLossOfBalancers(t *testing.T) {
	start := clock.Now()
	s := stateWith(beforeMove())
	s.recordPosition()
	s.traffic.survivors.record(start+time.Second, time.Second)
	s.directory.Apply(start+time.Hour, directory.Change{
		Revision: 12, Snapshot: true, Desired: afterMove().Desired, Endpoints: beforeMove().Endpoints,
	})
	s.recordPosition()
	must.Greater(t, start, s.directory.RouteHistorySince())
	table := newTableBuilder(start+time.Hour, s).build()
	must.False(t, table.Outlived())
	must.Less(t, start+time.Hour, table.SettledAt)
	s.takeUp(start+time.Hour, flow.Address{Port: 1})
	must.MapEmpty(t, s.introduced)
}
