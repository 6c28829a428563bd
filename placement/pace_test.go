package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Balancers that place many flows, without a message between them, send a cold endpoint about as
// many as it can take while there is another one, also at first; and as many as are left if there
// is none.
func TestBalancersPaceFlowsToColdEndpoint(t *testing.T) {
	const (
		balancers, rate = 24, 10
		coldTime        = 2 * time.Second
	)
	for _, others := range []int{0, 1} {
		placed := make([]int, 2)
		within := 0 // in the first 300 ms
		for b := range balancers {
			random := rand.New(rand.NewPCG(1, uint64(b)))
			candidates := []*Candidate{{
				AgentLoad: new(AgentLoad), Slots: 4, AddedAt: time.Second, ColdUntil: time.Second + coldTime,
				ColdInterval: balancers * time.Second / rate,
			}}
			if others > 0 {
				candidates = append(candidates, &Candidate{AgentLoad: new(AgentLoad), Slots: 4, AddedAt: time.Second})
			}
			for now := time.Second; now < time.Second+coldTime; now += 25 * time.Millisecond {
				candidates[0].AgentLoad.Report(now, Usage{})
				if others > 0 {
					candidates[1].AgentLoad.Report(now, Usage{Running: 40})
				}
				first, _ := Choose(now, random, candidates, nil)
				placed[first]++
				if first == 0 && now < 1300*time.Millisecond {
					within++
				}
			}
		}
		if others == 0 {
			must.EqOp(t, balancers*80, placed[0])
			continue
		}
		must.Between(t, rate, placed[0], 3*rate)
		must.LessEq(t, rate/2, within)
	}
}

// A cold endpoint whose service has no limit is placed by its load alone, and so is a warm one.
func TestNoPaceWithoutInterval(t *testing.T) {
	c := &Candidate{AgentLoad: new(AgentLoad), Slots: 4, ColdUntil: time.Minute}
	c.AgentLoad.Report(time.Second, Usage{})
	for range 100 {
		Choose(time.Second, rand.New(rand.NewPCG(1, 2)), []*Candidate{c}, nil)
		must.EqOp(t, usable, c.status(time.Second))
	}
	c.ColdInterval = time.Second
	c.beginPace(rand.New(rand.NewPCG(1, 2)))
	c.countPace(time.Second)
	must.EqOp(t, paced, c.status(time.Second))
	c.ColdUntil = time.Second
	must.EqOp(t, usable, c.status(time.Second))
}
