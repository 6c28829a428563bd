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

// readerCluster simulates balancers that read a source and notify each other;
// the source refuses the reads for which refused returns true.
type readerCluster struct {
	schedules []*ReaderSchedule
	asOf      []time.Duration
	reads     []int
	refused   func(i int, now time.Duration) bool
}

func newReaderCluster(size int) *readerCluster {
	c := &readerCluster{asOf: make([]time.Duration, size), reads: make([]int, size), refused: func(int, time.Duration) bool { return false }}
	for i := range size {
		c.schedules = append(c.schedules, NewReaderSchedule(peerAt(i)))
	}
	return c
}

// run advances the time in ticks and returns the greatest age of the directory
// on any balancer that is not in excluded.
func (c *readerCluster) run(from, to time.Duration, excluded map[int]bool) (oldest time.Duration) {
	const tick, helloInterval = 50 * time.Millisecond, 500 * time.Millisecond
	for now := from; now < to; now += tick {
		for i, schedule := range c.schedules {
			if now%helloInterval == 0 {
				for j := range c.schedules {
					schedule.RecordPeer(now, peerAt(j))
				}
			}
			if !schedule.Due(now, c.asOf[i], true) {
				continue
			}
			c.reads[i]++
			failed := c.refused(i, now)
			schedule.Ended(now, failed)
			if !failed {
				for j := range c.asOf {
					c.asOf[j] = now
				}
			}
		}
		for i := range c.asOf {
			if !excluded[i] {
				oldest = max(oldest, now-c.asOf[i])
			}
		}
	}
	return oldest
}

func TestOneBalancerReads(t *testing.T) {
	c := newReaderCluster(18)
	for i := range c.asOf {
		c.asOf[i] = time.Second
	}
	c.run(time.Second, 4*time.Second, nil)
	before := append([]int(nil), c.reads...)
	c.run(4*time.Second, 34*time.Second, nil)
	readers, total := 0, 0
	for i, n := range c.reads {
		total += n - before[i]
		if n > before[i] {
			readers++
		}
	}
	must.EqOp(t, 1, readers)
	must.Between(t, 60, total, 80) // 30 s, a read every 0.4 s
}

// If the source refuses half of the balancers, including the first in the
// order, a change still reaches all within the allowed three seconds.
func TestOthersReadWhenFirstFails(t *testing.T) {
	c := newReaderCluster(7)
	first := 0
	for i := range c.schedules {
		if c.schedules[i].position < c.schedules[first].position {
			first = i
		}
	}
	c.refused = func(i int, _ time.Duration) bool { return i == first || i%2 == first%2 }
	for i := range c.asOf {
		c.asOf[i] = time.Second
	}
	must.Less(t, 3*time.Second, c.run(time.Second, 30*time.Second, nil))
}

func TestPausesAfterFailures(t *testing.T) {
	schedule := NewReaderSchedule(peerAt(1))
	now := time.Second
	var pauses []time.Duration
	for range 6 {
		began := now
		for !schedule.Due(now, 0, true) {
			now += 10 * time.Millisecond
		}
		pauses = append(pauses, now-began)
		schedule.Ended(now, true)
	}
	must.Eq(t, []time.Duration{0, retryBase, 2 * retryBase, 4 * retryBase, retryMax, retryMax}, pauses)
	must.False(t, schedule.Due(now, 0, true))
	// Without a directory callers are not served: the pauses stay short.
	must.False(t, schedule.Due(now+retryEmpty-1, 0, false))
	must.True(t, schedule.Due(now+retryEmpty, 0, false))
}

// If the source no longer has the history, the next read is due at once.
func TestNextReadIsDueAtOnceAfterRetryNow(t *testing.T) {
	schedule := NewReaderSchedule(peerAt(1))
	must.True(t, schedule.Due(time.Second, 0, true))
	schedule.RetryNow()
	must.True(t, schedule.Due(time.Second, 0, true))
}

func TestOneReadAtATime(t *testing.T) {
	schedule := NewReaderSchedule(peerAt(1))
	must.True(t, schedule.Due(time.Second, 0, false))
	must.False(t, schedule.Due(time.Minute, 0, false))
}

func TestUnresponsivePeersLeaveOrder(t *testing.T) {
	schedule := NewReaderSchedule(peerAt(1))
	for i := range 9 {
		schedule.RecordPeer(time.Second, peerAt(i))
	}
	must.EqOp(t, 8, len(schedule.Peers(time.Second))) // without itself
	must.SliceEmpty(t, schedule.Peers(time.Second+peerLifetime+1))
	must.EqOp(t, 0, schedule.rank(time.Second+peerLifetime+1))
}

// With hundreds of balancers, all are known and notified, and none lets its directory become
// older than lastTakeover before it reads the source itself: no announcement may reach it.
func TestNoBalancerWaitsLongerInALargeDeployment(t *testing.T) {
	const balancers = 150
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7)
	}
	now := time.Minute
	reading := make(map[time.Duration]int)
	for i := range balancers {
		s := NewReaderSchedule(address(i))
		for j := range balancers {
			s.RecordPeer(now, address(j))
		}
		must.Len(t, balancers-1, s.Peers(now))
		age := time.Duration(0)
		for ; age <= lastTakeover && !s.Due(now, now-age, true); age += 20 * time.Millisecond {
		}
		must.LessEq(t, lastTakeover, age)
		reading[age]++
	}
	for _, count := range reading {
		must.LessEq(t, balancers/10, count, must.Sprint("balancers that read at the same moment"))
	}
}
