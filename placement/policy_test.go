package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cactustray/ticket"
)

// Scenario of BenchmarkPolicy: a drawings service that has grown to 11 endpoints.
// Each flow opens, runs a few jobs one after another, and closes.
const (
	simEndpoints   = 11
	simSlots       = 2
	simStep        = time.Millisecond
	simLength      = 120 * time.Second
	simJobTime     = 50 * time.Millisecond
	simJobsPerFlow = 4
	simLoad        = 0.7
	// simStragglerShare and simStragglerFactor: 2% of the jobs run 50 times as long.
	simStragglerShare  = 0.02
	simStragglerFactor = 50
)

// policy decides at a flow's home whether to forward the flow: it returns the index
// of the other endpoint, or -1.
type policy func(v *View, now time.Time, random *rand.Rand) int

type simFlow struct{ left int }

type simServer struct {
	state   *State
	view    *View
	running []time.Duration
	flows   []*simFlow
	queue   []simWait
	// busy is the total run time of all jobs started here.
	busy time.Duration
}

type simWait struct {
	flow  *simFlow
	since time.Duration
	work  time.Duration
}

// BenchmarkPolicy compares policies for new flows by how long jobs wait and how
// unevenly the work is distributed.
func BenchmarkPolicy(b *testing.B) {
	place := func(margin float64) policy {
		return func(v *View, now time.Time, random *rand.Rand) int {
			own := v.own.pressure()
			if alternate, ok := v.alternate(now, random.Uint64()); ok && alternate.pressure()+margin < own {
				return int(alternate.Key) - 1
			}
			return -1
		}
	}
	policies := []struct {
		name   string
		decide policy
	}{
		{"home only", func(*View, time.Time, *rand.Rand) int { return -1 }},
		{"two choices, margin 0", place(0)},
		{"two choices, margin 0.25", place(0.25)},
		{"two choices, margin 0.5", place(0.5)},
		{"two choices, margin 1", place(1)},
		{"least of all", func(v *View, now time.Time, _ *rand.Rand) int {
			least, found := v.own, -1
			for _, p := range v.candidates(now) {
				if p.pressure() < least.pressure() {
					least, found = p, int(p.Key)-1
				}
			}
			return found
		}},
	}
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			for range b.N {
				simulate(b, p.decide)
			}
		})
	}
}

func simulate(b *testing.B, decide policy) {
	random := rand.New(rand.NewPCG(1, 2))
	servers := make([]*simServer, simEndpoints)
	for i := range servers {
		s := NewState(ticket.EndpointKey(i + 1))
		s.SetPeers(peers(simEndpoints))
		servers[i] = &simServer{state: s, view: s.View(start)}
	}
	mean := float64(simJobTime) * (1 + simStragglerShare*(simStragglerFactor-1))
	perStep := simLoad * simEndpoints * simSlots * float64(simStep) / mean / simJobsPerFlow
	var waits []time.Duration
	forwarded, flows := 0, 0
	for at := time.Duration(0); at < simLength; at += simStep {
		now := start.Add(at)
		for ; random.Float64() < perStep; flows++ {
			home := random.IntN(simEndpoints)
			if to := decide(servers[home].view, now, random); to >= 0 {
				home = to
				forwarded++
			}
			servers[home].arrive(&simFlow{left: simJobsPerFlow}, at, random)
		}
		for _, s := range servers {
			waits = append(waits, s.step(at, random)...)
		}
		if at%(50*time.Millisecond) == 0 {
			exchangeLoads(servers, now)
		}
	}
	slices.Sort(waits)
	quantile := func(q float64) float64 {
		return float64(waits[int(q*float64(len(waits)-1))].Milliseconds())
	}
	b.ReportMetric(quantile(0.5), "p50-ms")
	b.ReportMetric(quantile(0.99), "p99-ms")
	most, total := time.Duration(0), time.Duration(0)
	for _, s := range servers {
		most, total = max(most, s.busy), total+s.busy
	}
	b.ReportMetric(float64(most*simEndpoints)/float64(total), "max/mean")
	b.ReportMetric(float64(forwarded)/float64(flows), "handed-on")
}

func exchangeLoads(servers []*simServer, now time.Time) {
	for _, s := range servers {
		s.state.SetOwn(Load{Slots: simSlots, Running: uint32(len(s.running)), Queued: uint32(len(s.queue)), Ramp: FullRamp})
		targets, load := s.state.Report(now)
		for _, target := range targets {
			servers[target.Key-1].state.ReceiveLoad(now, LoadReceived{Load: load})
		}
	}
	for _, s := range servers {
		s.view = s.state.View(now)
	}
}

func (s *simServer) arrive(flow *simFlow, at time.Duration, random *rand.Rand) {
	work := time.Duration(random.ExpFloat64() * float64(simJobTime))
	if random.Float64() < simStragglerShare {
		work *= simStragglerFactor
	}
	s.queue = append(s.queue, simWait{flow: flow, since: at, work: work})
}

// step removes the jobs that have ended, starts as many queued jobs as there are
// free slots, and returns how long each started job had waited.
func (s *simServer) step(at time.Duration, random *rand.Rand) (waits []time.Duration) {
	for i := len(s.running) - 1; i >= 0; i-- {
		if s.running[i] > at {
			continue
		}
		flow := s.flows[i]
		s.running = slices.Delete(s.running, i, i+1)
		s.flows = slices.Delete(s.flows, i, i+1)
		if flow.left--; flow.left > 0 {
			s.arrive(flow, at, random)
		}
	}
	for len(s.queue) > 0 && len(s.running) < simSlots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, at+next.work)
		s.flows = append(s.flows, next.flow)
		s.busy += next.work
		waits = append(waits, at-next.since)
	}
	return waits
}

// BenchmarkTick measures the cost of placement on the control goroutine per tick,
// with a load received from as many peers as an endpoint reports to.
func BenchmarkTick(b *testing.B) {
	s := service(maxTargets + 1)
	now := start
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		for key := ticket.EndpointKey(2); key <= maxTargets+1; key++ {
			l := idle(key)
			l.Sequence = uint32(now.Sub(start))
			s.ReceiveLoad(now, LoadReceived{Load: l})
		}
		s.SetOwn(idle(1))
		s.View(now)
		s.Report(now)
	}
}
