package packetbalancer

import (
	"net/netip"
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/directory"

	"github.com/shoenig/test/must"
)

// A balancer that was restarted while the desired state changed got no route history from the
// others, whose desired state was older, and never requested it again. After a few such
// restarts no balancer knew which service a route had left.
func TestRouteHistoryIsRequestedUntilKnown(t *testing.T) {
	const lifetime = time.Minute
	start := clock.Now()
	running := stateAtFirstStart(beforeMove())
	s := readingState(2)
	s.directory = directory.NewState()
	fromRegistry := beforeMove()
	fromRegistry.Revision, fromRegistry.Desired = 12, afterMove().Desired
	s.directory.Apply(start, fromRegistry)
	s.settings.Packets.Control = netip.MustParseAddrPort("10.0.0.1:7721")
	s.history = directory.NewHistorySchedule(s.settings.Packets.Peer)
	peer := netip.MustParseAddrPort("10.0.0.2:7720")
	requested := func(now time.Duration) (all []fetchRequest) {
		s.schedule.RecordPeer(now, peer)
		s.queryRouteHistory(now)
		for len(s.reader.fetches) > 0 {
			all = append(all, <-s.reader.fetches)
		}
		return all
	}
	answer := func(now time.Duration, r directory.Request) {
		s.fetching = false
		s.directory.Apply(now, running.directorySnapshot(now, r))
	}

	must.SliceEmpty(t, requested(start))
	answer(start, directory.Request{AllDeparted: true}) // the survey at the start
	must.False(t, s.directory.KnowsRouteHistory(start, lifetime))

	running.directory.Apply(start, afterMove())
	now := start + time.Second
	requests := requested(now)
	must.Len(t, 1, requests)
	must.EqOp(t, peer.Addr(), requests[0].peer.Addr())
	answer(now, requests[0].Request)
	must.True(t, s.directory.KnowsRouteHistory(now, lifetime))
	must.Len(t, 1, s.directory.FormerServices(now))
	must.SliceEmpty(t, requested(now+time.Minute))
}
