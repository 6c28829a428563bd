package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const balanceNow = 10 * time.Second

func candidate(modify func(*Candidate)) *Candidate {
	c := &Candidate{AgentLoad: new(AgentLoad), Slots: 2}
	c.AgentLoad.Report(balanceNow, Usage{})
	if modify != nil {
		modify(c)
	}
	return c
}

func reported(u Usage) func(*Candidate) {
	return func(c *Candidate) { c.AgentLoad.Report(balanceNow, u) }
}

func TestChoosePrefersBetterCandidate(t *testing.T) {
	silent := func(c *Candidate) { c.AgentLoad.Report(balanceNow, Usage{Silent: true}) }
	for name, c := range map[string]struct{ worse, better func(*Candidate) }{
		"busy":               {reported(Usage{Running: 2, Mean: 1.8}), reported(Usage{Running: 1, Mean: 0.9})},
		"busy on average":    {reported(Usage{Mean: 1.9}), reported(Usage{Running: 1})},
		"many feeds":         {reported(Usage{Flows: 60}), reported(Usage{Flows: 20})},
		"remote":             {func(c *Candidate) { c.Remote = true }, nil},
		"busy, other remote": {reported(Usage{Running: 2, Mean: 2}), func(c *Candidate) { c.Remote = true }},
		"failing":            {reported(Usage{Failing: 0.5}), reported(Usage{Running: 2, Mean: 2})},
		"cold":               {func(c *Candidate) { c.ColdUntil = balanceNow + 1 }, reported(Usage{Running: 1})},
		"silent endpoint":    {silent, reported(Usage{Running: 9, Mean: 9})},
		"leaving agent":      {reported(Usage{Leaving: true}), reported(Usage{Running: 9, Mean: 9})},
		"report too old": {func(c *Candidate) {
			c.AgentLoad.Report(balanceNow-time.Duration(aliveIntervals*float64(ReportInterval))-1, Usage{})
		}, reported(Usage{Running: 9, Mean: 9})},
		"silent, other new": {silent, func(c *Candidate) { *c.AgentLoad = AgentLoad{}; c.AddedAt = balanceNow }},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			for range 20 {
				pair := []*Candidate{candidate(c.worse), candidate(c.better)}
				first, _ := Choose(balanceNow, random, pair, nil)
				must.EqOp(t, 1, first)
			}
		})
	}
}

// If all endpoints are suspected, the observer is probably at fault: one of them
// still gets the flow, but none is returned as the next best.
func TestChooseWhenAllAreSuspected(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	suspects := []*Candidate{candidate(reported(Usage{Silent: true})), candidate(reported(Usage{Leaving: true}))}
	first, second := Choose(balanceNow, random, suspects, nil)
	must.Between(t, 0, first, 1)
	must.EqOp(t, -1, second)
	first, _ = Choose(balanceNow, random, suspects, func(int) bool { return true })
	must.EqOp(t, -1, first)
	first, _ = Choose(balanceNow, random, nil, nil)
	must.EqOp(t, -1, first)
}

// Between two reports a balancer does not send all new flows to the endpoint that
// the first report showed as free.
func TestChooseSpreadsBetweenReports(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var candidates []*Candidate
	for range 7 {
		candidates = append(candidates, candidate(nil))
	}
	taken := make([]int, len(candidates))
	for range 70 {
		first, second := Choose(balanceNow, random, candidates, nil)
		must.NotEqOp(t, first, second)
		taken[first]++
	}
	for _, n := range taken {
		must.Between(t, 9, n, 11)
	}
}

func BenchmarkChoose(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	var candidates []*Candidate
	for range 11 {
		candidates = append(candidates, candidate(nil))
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(balanceNow, random, candidates, nil)
	}
}
