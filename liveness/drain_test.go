package liveness

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// flowLimit is how long open flows may continue after the drain began.
const flowLimit = 30 * time.Second

func TestDrainPhases(t *testing.T) {
	var d Drain
	must.EqOp(t, Serving, d.Phase(start, flowLimit))
	must.True(t, d.Set(start, CauseTicket, true))
	must.EqOp(t, Notifying, d.Phase(start, flowLimit))
	must.EqOp(t, Draining, d.Phase(start.Add(NoticePeriod), flowLimit))
	must.EqOp(t, Expired, d.Phase(start.Add(flowLimit), flowLimit))
	must.True(t, d.Set(start.Add(time.Minute), CauseTicket, false))
	must.EqOp(t, Serving, d.Phase(start.Add(time.Hour), flowLimit))
}

// A process leaves while any cause holds. An order to stop cannot be reversed, and a
// second cause does not restart the time limit.
func TestDrainCauses(t *testing.T) {
	causes := []Cause{CauseStop, CauseTicket, CauseVMList, CauseBackend}
	rapid.Check(t, func(t *rapid.T) {
		var d Drain
		holding := make(map[Cause]bool)
		now, since := start, start
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Second)
			cause := rapid.SampledFrom(causes).Draw(t, "cause")
			holds := rapid.Bool().Draw(t, "holds")
			before := len(holding) > 0
			if holds {
				holding[cause] = true
			} else if cause != CauseStop {
				delete(holding, cause)
			}
			must.EqOp(t, before != (len(holding) > 0), d.Set(now, cause, holds))
			if !before && len(holding) > 0 {
				since = now
			}
			must.EqOp(t, len(holding) > 0, d.Leaving())
			must.EqOp(t, holding[CauseStop], d.Stopping())
			must.EqOp(t, len(holding) > 0 && now.Sub(since) >= NoticePeriod, d.Phase(now, flowLimit) >= Draining)
		}
	})
}

func TestIdleDetectorWaitsForTrafficToEnd(t *testing.T) {
	d := NewIdleDetector(start)
	must.False(t, d.Observe(start.Add(IdleTime), 5))
	must.False(t, d.Observe(start.Add(NoticePeriod), 6))
	must.False(t, d.Observe(start.Add(NoticePeriod+IdleTime-1), 6))
	must.True(t, d.Observe(start.Add(NoticePeriod+IdleTime), 6))
	must.True(t, d.Observe(start.Add(MaxStopTime), 7))
}

func testBalancers(count int) []BalancerAddresses {
	var balancers []BalancerAddresses
	for i := range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		balancers = append(balancers, BalancerAddresses{Datagram: address, Control: address})
	}
	return balancers
}

// A balancer that did not answer is avoided for a while; if most are silent, replies
// still go to all of them.
func TestPathsSkipSilentBalancers(t *testing.T) {
	balancers := testBalancers(5)
	p := NewPaths(nil)
	p.SetBalancers(balancers)
	p.RecordAnswer(start, balancers[0].Control, false)
	must.False(t, slices.Contains(p.HeartbeatTargets(start), balancers[0].Control))
	must.SliceLen(t, Watchers, p.HeartbeatTargets(start))
	must.SliceLen(t, 4, p.ReplyTargets(start))
	p.RecordAnswer(start, balancers[1].Control, false)
	must.SliceLen(t, 3, p.ReplyTargets(start))
	p.RecordAnswer(start, balancers[2].Control, false)
	must.SliceLen(t, 5, p.ReplyTargets(start))
	must.True(t, slices.Contains(p.HeartbeatTargets(start.Add(silentRetryAfter)), balancers[0].Control))
	p.Resume()
	must.EqOp(t, balancers[0].Control, p.HeartbeatTargets(start)[0])
}

// If all listed balancers are silent, the agent reports to those of its settings.
func TestPathsFallBackToSeeds(t *testing.T) {
	balancers := testBalancers(2)
	seed := netip.MustParseAddrPort("10.9.9.9:1")
	p := NewPaths([]netip.AddrPort{seed})
	must.True(t, slices.Equal([]netip.AddrPort{seed}, p.HeartbeatTargets(start)))
	p.SetBalancers(balancers)
	p.SetBalancers(nil)
	for _, balancer := range balancers {
		p.RecordAnswer(start, balancer.Control, false)
	}
	must.True(t, slices.Equal([]netip.AddrPort{seed}, p.HeartbeatTargets(start)))
}
