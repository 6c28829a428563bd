package directory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func balancersAt(ports ...uint16) []netip.AddrPort {
	var all []netip.AddrPort
	for _, port := range ports {
		all = append(all, netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port))
	}
	return all
}

// Every other balancer is queried in turn, ever less often, until the history is known.
func TestEveryBalancerIsQueriedForRouteHistory(t *testing.T) {
	h := NewHistorySchedule(balancersAt(1)[0])
	queried := make(map[netip.AddrPort]int)
	count := 0
	for now := time.Second; now < 31*time.Second; now += 50 * time.Millisecond {
		if peer, ok := h.Next(now, false, balancersAt(4, 2, 3, 2)); ok {
			queried[peer]++
			count++
		}
	}
	must.MapLen(t, 3, queried)
	must.Between(t, 6, count, 12)
	_, ok := h.Next(40*time.Second, true, balancersAt(2))
	must.False(t, ok)
	// The history is lost again, as by a gap in the source's history.
	_, ok = h.Next(41*time.Second, false, balancersAt(2))
	must.False(t, ok)
	_, ok = h.Next(41*time.Second+historyPause, false, balancersAt(2))
	must.True(t, ok)
}

// Without another balancer a query is due as soon as one is known.
func TestRouteHistoryQueryWaitsForAnotherBalancer(t *testing.T) {
	h := NewHistorySchedule(balancersAt(1)[0])
	h.Next(time.Second, false, nil)
	_, ok := h.Next(5*time.Second, false, nil)
	must.False(t, ok)
	peer, ok := h.Next(5*time.Second, false, balancersAt(2))
	must.True(t, ok)
	must.EqOp(t, balancersAt(2)[0], peer)
}
