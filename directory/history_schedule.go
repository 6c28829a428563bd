package directory

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// historyPause and maxHistoryPause bound the pause between two queries for the route
	// history, which doubles with each: another balancer that lags has the newest desired
	// state at the second query, and one that knows no more costs little.
	historyPause    = 250 * time.Millisecond
	maxHistoryPause = 4 * time.Second
)

// HistorySchedule decides when a balancer that does not know the route history queries
// another one for it. One query can fail to bring it: a balancer whose desired state is older
// cannot know what was in force since, and another may have started recently too. The control
// goroutine owns it.
//
// Invariant: a balancer that does not know the route history queries each of the others in
// turn until it does.
type HistorySchedule struct {
	// turn is the number of the next query. Balancers begin at different ones, so that those
	// that start together do not all query the same.
	turn  uint64
	pause time.Duration
	due   time.Duration
}

// NewHistorySchedule returns the schedule of the balancer with the given address.
func NewHistorySchedule(self netip.AddrPort) *HistorySchedule {
	return &HistorySchedule{turn: positionOf(self), pause: historyPause}
}

// Next returns which of the other balancers to query now, if a query is due. known is
// whether the route history is known.
func (h *HistorySchedule) Next(now time.Duration, known bool, others []netip.AddrPort) (peer netip.AddrPort, ok bool) {
	switch {
	case known:
		h.pause, h.due = historyPause, 0
		return peer, false
	case h.due == 0:
		h.due = now + h.pause // the queries at the start come first
		return peer, false
	case now < h.due || len(others) == 0:
		return peer, false
	}
	slices.SortFunc(others, netip.AddrPort.Compare)
	others = slices.Compact(others)
	peer = others[h.turn%uint64(len(others))]
	h.turn++
	h.pause = min(2*h.pause, maxHistoryPause)
	h.due = now + h.pause
	return peer, true
}
