package directory

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func peerAt(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7", i/250, i%250+1))
}

// fleet is a number of balancers that read a source and tell each other, some of
// them turned away by it.
type turnFleet struct {
	turns    []*Turn
	asOf     []time.Duration
	readings []int
	refused  func(i int, now time.Duration) bool
}

func newTurnFleet(size int) *turnFleet {
	f := &turnFleet{asOf: make([]time.Duration, size), readings: make([]int, size), refused: func(int, time.Duration) bool { return false }}
	for i := range size {
		f.turns = append(f.turns, NewTurn(peerAt(i)))
	}
	return f
}

// run lets time pass in ticks, and returns the greatest age of what any balancer
// held that is not in dark.
func (f *turnFleet) run(from, to time.Duration, dark map[int]bool) (oldest time.Duration) {
	const tick, met = 50 * time.Millisecond, 500 * time.Millisecond
	for now := from; now < to; now += tick {
		for i, turn := range f.turns {
			if now%met == 0 {
				for j := range f.turns {
					turn.Met(now, peerAt(j))
				}
			}
			if !turn.Due(now, f.asOf[i], true) {
				continue
			}
			f.readings[i]++
			failed := f.refused(i, now)
			turn.Ended(now, failed)
			if !failed {
				for j := range f.asOf {
					f.asOf[j] = now
				}
			}
		}
		for i := range f.asOf {
			if !dark[i] {
				oldest = max(oldest, now-f.asOf[i])
			}
		}
	}
	return oldest
}

func TestOneBalancerReads(t *testing.T) {
	f := newTurnFleet(18)
	for i := range f.asOf {
		f.asOf[i] = time.Second
	}
	f.run(time.Second, 4*time.Second, nil)
	before := append([]int(nil), f.readings...)
	f.run(4*time.Second, 34*time.Second, nil)
	readers, total := 0, 0
	for i, n := range f.readings {
		total += n - before[i]
		if n > before[i] {
			readers++
		}
	}
	must.EqOp(t, 1, readers)
	must.Between(t, 60, total, 80) // 30 s, a reading each 0.4 s
}

// Half of the balancers are turned away, the first in the order among them: the
// news reaches all within the three seconds that a change may take.
func TestOthersReadWhenTheFirstCannot(t *testing.T) {
	f := newTurnFleet(7)
	first := 0
	for i := range f.turns {
		if f.turns[i].order < f.turns[first].order {
			first = i
		}
	}
	f.refused = func(i int, _ time.Duration) bool { return i == first || i%2 == first%2 }
	for i := range f.asOf {
		f.asOf[i] = time.Second
	}
	must.Less(t, 3*time.Second, f.run(time.Second, 30*time.Second, nil))
}

func TestPausesAfterFailures(t *testing.T) {
	turn := NewTurn(peerAt(1))
	now := time.Second
	var pauses []time.Duration
	for range 6 {
		began := now
		for !turn.Due(now, 0, true) {
			now += 10 * time.Millisecond
		}
		pauses = append(pauses, now-began)
		turn.Ended(now, true)
	}
	must.Eq(t, []time.Duration{0, retryBase, 2 * retryBase, 4 * retryBase, retryMost, retryMost}, pauses)
	must.False(t, turn.Due(now, 0, true))
	// Without a directory nobody is served: the pauses stay short.
	must.False(t, turn.Due(now+retryUnknown-1, 0, false))
	must.True(t, turn.Due(now+retryUnknown, 0, false))
}

// A history that is gone is answered by another reading at once.
func TestReadingAgain(t *testing.T) {
	turn := NewTurn(peerAt(1))
	must.True(t, turn.Due(time.Second, 0, true))
	turn.Again()
	must.True(t, turn.Due(time.Second, 0, true))
}

func TestOneReadingAtATime(t *testing.T) {
	turn := NewTurn(peerAt(1))
	must.True(t, turn.Due(time.Second, 0, false))
	must.False(t, turn.Due(time.Minute, 0, false))
}

func TestSilentPeersLeaveTheOrder(t *testing.T) {
	turn := NewTurn(peerAt(1))
	for i := range 9 {
		turn.Met(time.Second, peerAt(i))
	}
	must.EqOp(t, 8, len(turn.Peers(time.Second))) // not itself
	must.SliceEmpty(t, turn.Peers(time.Second+helloFor+1))
	must.EqOp(t, 0, turn.rank(time.Second+helloFor+1))
}
