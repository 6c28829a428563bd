package placement

import (
	"net/netip"
	"testing"
	"time"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func peers(count int) []Peer {
	list := make([]Peer, count)
	for i := range list {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		list[i] = Peer{Key: ticket.EndpointKey(i + 1), Datagram: address, Weight: 100}
	}
	return list
}

// service returns the state of endpoint 1 of count endpoints, with a fresh load of
// each, all idle.
func service(count int) *State {
	s := NewState(1)
	s.SetPeers(peers(count))
	s.SetOwn(idle(1))
	for i := 2; i <= count; i++ {
		s.ReceiveLoad(start, LoadReceived{Load: idle(ticket.EndpointKey(i))})
	}
	return s
}

func idle(key ticket.EndpointKey) Load {
	return Load{Endpoint: key, Sequence: 1, Slots: 2, ConnectionLimit: 2000, Ramp: FullRamp}
}

func TestStaleAndRepeatedLoadsAreIgnored(t *testing.T) {
	s := service(3)
	newer := idle(2)
	newer.Sequence = 5
	must.True(t, s.ReceiveLoad(start, LoadReceived{Load: newer}))
	must.False(t, s.ReceiveLoad(start, LoadReceived{Load: newer}))
	must.False(t, s.ReceiveLoad(start, LoadReceived{Load: idle(2)}))
	must.False(t, s.ReceiveLoad(start, LoadReceived{Load: idle(99)}), must.Sprint("not in the ticket"))
	restarted := idle(2)
	restarted.Incarnation = 1
	must.True(t, s.ReceiveLoad(start, LoadReceived{Load: restarted}))
}

func TestFreshSkipsOldLoads(t *testing.T) {
	s := service(3)
	must.Len(t, 2, s.Fresh(start.Add(MaxLoadAge)))
	must.Len(t, 0, s.Fresh(start.Add(MaxLoadAge+1)))
	s.SetPeers(peers(2))
	must.Len(t, 1, s.Fresh(start))
}

func TestPlace(t *testing.T) {
	leaving := func(l *Load) { l.Leaving = true }
	full := func(l *Load) { l.Connections = l.ConnectionLimit }
	busy := func(l *Load) { l.Running, l.Queued = 2, 4 }
	cold := func(l *Load) { l.Running, l.Ramp = 1, 10 }
	same := func(*Load) {}
	cases := []struct {
		name      string
		own, peer func(*Load)
		want      Verdict
	}{
		{"equal load stays", same, same, Accept},
		{"a queue forwards", busy, same, Forward},
		{"equal queues stay", busy, busy, Accept},
		{"a cold peer gets nothing", busy, cold, Accept},
		{"a full peer gets nothing", busy, full, Accept},
		{"a leaving peer gets nothing", busy, leaving, Accept},
		{"leaving forwards", leaving, same, Forward},
		{"full forwards", full, same, Forward},
		{"leaving forwards to a busy peer", leaving, busy, Forward},
		{"no alternate", full, leaving, Refuse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := service(2)
			own, peer := idle(1), idle(2)
			c.own(&own)
			c.peer(&peer)
			peer.Sequence = 2
			s.SetOwn(own)
			s.ReceiveLoad(start, LoadReceived{Load: peer})
			got := s.View(start).Place(start, own.Connections, 0)
			must.EqOp(t, c.want, got.Verdict)
		})
	}
}

// A view older than MaxLoadAge, as after a pause of the process, keeps all flows at
// home.
func TestPlaceAfterPauseKeepsFlow(t *testing.T) {
	s := service(2)
	own := idle(1)
	own.Queued = 8
	s.SetOwn(own)
	v := s.View(start)
	must.EqOp(t, Forward, v.Place(start, 0, 0).Verdict)
	must.EqOp(t, Accept, v.Place(start.Add(MaxLoadAge+1), 0, 0).Verdict)
}

// Whatever the loads, new flows never go to endpoints that are draining, leaving or
// at their connection limit, and a forwarded flow is never forwarded again.
func TestPlaceHonoursLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "endpoints")
		s := NewState(1)
		list := peers(count)
		loads := make(map[ticket.EndpointKey]Load)
		for i := range list {
			list[i].Draining = rapid.Bool().Draw(t, "draining")
			l := idle(list[i].Key)
			l.Connections = rapid.Uint32Range(0, l.ConnectionLimit).Draw(t, "connections")
			l.Queued = rapid.Uint32Range(0, 9).Draw(t, "queued")
			l.Leaving = rapid.Bool().Draw(t, "leaving")
			loads[l.Endpoint] = l
		}
		s.SetPeers(list)
		s.SetOwn(loads[1])
		for _, l := range loads {
			s.ReceiveLoad(start, LoadReceived{Load: l})
		}
		v := s.View(start)
		got := v.Place(start, loads[1].Connections, rapid.Uint64().Draw(t, "random"))
		switch got.Verdict {
		case Forward:
			must.True(t, v.isEligible(start, got.Alternate.Key))
			must.False(t, got.Alternate.Draining)
			must.False(t, loads[got.Alternate.Key].Leaving)
			must.False(t, loads[got.Alternate.Key].full())
		case Accept:
			must.False(t, list[0].Draining || loads[1].Leaving || loads[1].full())
		}
		must.NotEq(t, Forward, v.PlaceForwarded(loads[1].Connections).Verdict)
	})
}

// Whatever the service's size, an endpoint sends a bounded number of reports, and
// each peer that it reports to gets several within MaxLoadAge.
func TestReportsAreBounded(t *testing.T) {
	for _, count := range []int{2, 7, 11, 300} {
		s := service(count)
		own := idle(1)
		own.Running = 1
		s.SetOwn(own)
		received := make(map[ticket.EndpointKey]int)
		sent := 0
		for at := start; at.Before(start.Add(MaxLoadAge)); at = at.Add(busyInterval) {
			targets, load := s.Report(at)
			must.EqOp(t, 1, load.Endpoint)
			for _, p := range targets {
				received[p.Key]++
				sent++
			}
		}
		must.EqOp(t, min(maxTargets, count-1), len(received))
		must.LessEq(t, targetsPerReport*int(MaxLoadAge/busyInterval+1), sent)
		for key, times := range received {
			must.GreaterEq(t, 3, times, must.Sprint("peer", key))
		}
	}
}
