package contact

import (
	"testing"
	"time"

	"cactustray/flow"

	"github.com/shoenig/test/must"
)

func address(i int) flow.Address {
	return flow.Address{IP: [4]byte{10, 1, byte(i >> 8), byte(i)}, Port: 7720}
}

func remoteAgents(count int) []Agent {
	var agents []Agent
	for i := range count {
		agents = append(agents, Agent{Address: address(i), Accepts: true})
	}
	return agents
}

// roomy is what a balancer sees while its own failure domain has room.
var roomy = Observation{LocalAccepting: 20, LocalFree: 15, Usable: 28, RemoteFree: 6}

// observeFor observes the same for a time, as often as a balancer does.
func observeFor(s *Service, from, to time.Duration, o Observation) {
	for now := from; now < to; now += 250 * time.Millisecond {
		s.Observe(now, o)
	}
}

// Guards against contact that grows with the fleet, and against balancers of one domain that
// keep in touch with different agents, which none of the others would search first.
func TestDomainChoosesBoundedSubset(t *testing.T) {
	agents := remoteAgents(140)
	first, second := NewService(0, "a"), NewService(time.Hour, "a")
	chosen, _ := first.Update(time.Second, agents)
	must.MapLen(t, subsetSize, chosen)
	again, _ := second.Update(time.Hour, agents)
	must.Eq(t, chosen, again)
	other, _ := NewService(0, "b").Update(time.Second, agents)
	must.NotEq(t, chosen, other)
	// Agents that come change the choice only where they are chosen themselves.
	more, dropped := first.Update(2*time.Second, remoteAgents(150))
	must.MapLen(t, subsetSize, more)
	for agent := range more {
		must.True(t, chosen[agent] || agent.IP[3] >= 140)
	}
	must.LessEq(t, subsetSize/2, len(dropped))
}

// If agents of the subset die, the next in the order replace them within seconds; those that
// died stay in touch, so that their return is seen, and the subset is as before then.
func TestNextAgentsReplaceThoseThatFail(t *testing.T) {
	s := NewService(0, "a")
	agents := remoteAgents(140)
	chosen, _ := s.Update(0, agents)
	must.False(t, s.Fails(answerTimeout, firstOf(chosen), false), must.Sprint("it may be starting"))
	must.True(t, s.Fails(answerTimeout+1, firstOf(chosen), false))
	must.False(t, s.Fails(answerTimeout+1, firstOf(chosen), true))
	dead := map[flow.Address]bool{}
	for i := range agents {
		if chosen[agents[i].Address] && len(dead) < 6 {
			agents[i].Fails, dead[agents[i].Address] = true, true
		}
	}
	must.True(t, s.Differs(agents))
	replaced, dropped := s.Update(time.Minute, agents)
	must.SliceEmpty(t, dropped)
	working := 0
	for agent := range replaced {
		if !dead[agent] {
			working++
		}
	}
	must.EqOp(t, subsetSize, working)
	must.MapLen(t, subsetSize+len(dead), replaced)
	must.False(t, s.Differs(agents))
	again, _ := s.Update(2*time.Minute, remoteAgents(140))
	must.Eq(t, chosen, again)
}

func firstOf(agents map[flow.Address]bool) flow.Address {
	for agent := range agents {
		return agent
	}
	return flow.Address{}
}

// The agents of all domains can fail at once; the hello messages to them stay bounded.
func TestFailingAgentsInTouchAreBounded(t *testing.T) {
	agents := remoteAgents(140)
	for i := range agents {
		agents[i].Fails = true
	}
	chosen, _ := NewService(0, "a").Update(0, agents)
	must.MapLen(t, subsetSize, chosen)
}

// Whether an endpoint that the registry does not list holds flows is known only from its agent:
// it must stay in touch, or its flows would be reset.
func TestAgentsOfDoubtfulEndpointsAreInTouch(t *testing.T) {
	agents := remoteAgents(140)
	for i := range 20 {
		agents[i].Doubtful, agents[i].Accepts = true, false
	}
	agents[30].Accepts = false // draining
	chosen, _ := NewService(0, "a").Update(0, agents)
	must.MapLen(t, 20+subsetSize, chosen)
	must.False(t, chosen[agents[30].Address])
}

// If the endpoints of the own domain are all gone or drain, all agents of others are contacted
// at once at the fast rate; once they are back, contact falls back by steps.
func TestOwnDomainIsGone(t *testing.T) {
	s := NewService(0, "a")
	agents := remoteAgents(140)
	observeFor(s, 0, 10*time.Second, roomy)
	must.EqOp(t, SlowInterval, s.Interval())
	must.MapLen(t, subsetSize, s.Chosen(agents))
	now := 10 * time.Second
	must.True(t, s.Observe(now, Observation{LocalAccepting: minLocal - 1, LocalFree: minLocal - 1, Usable: 11, RemoteFree: 8}))
	must.EqOp(t, FastInterval, s.Interval())
	must.MapLen(t, len(agents), s.Chosen(agents))

	var intervals []time.Duration
	var sizes []int
	for now += 250 * time.Millisecond; now < 30*time.Second; now += 250 * time.Millisecond {
		if s.Observe(now, roomy) {
			intervals, sizes = append(intervals, s.Interval()), append(sizes, len(s.Chosen(agents)))
		}
	}
	must.Eq(t, []time.Duration{MediumInterval, SlowInterval, SlowInterval, SlowInterval}, intervals)
	must.Eq(t, []int{140, 140, widerSubsetSize, subsetSize}, sizes)
}

// While the own domain is out of room, reports come at the fast rate, and more agents are
// contacted only if those in touch have no room either and it lasts.
func TestOwnDomainIsOutOfRoom(t *testing.T) {
	s := NewService(0, "a")
	observeFor(s, 0, 10*time.Second, roomy)
	full := Observation{LocalAccepting: 20, LocalFree: 2, Usable: 28, RemoteFree: minUsable}
	observeFor(s, 10*time.Second, 20*time.Second, full)
	must.EqOp(t, FastInterval, s.Interval())
	must.EqOp(t, Narrow, s.Width())
	full.RemoteFree--
	s.Observe(20*time.Second, full)
	must.EqOp(t, Narrow, s.Width())
	observeFor(s, 20*time.Second, 20*time.Second+2*widenInterval, full)
	must.EqOp(t, Wider, s.Width())
	observeFor(s, 22*time.Second, 60*time.Second, full)
	must.EqOp(t, Wider, s.Width(), must.Sprint("all domains are full: more agents add no room"))
}

// While no failure domain had room, as after a loss of power, all agents in touch reported at the
// fast rate although no flow could go to them.
func TestReportsStaySlowWhileNoDomainHasRoom(t *testing.T) {
	s := NewService(0, "a")
	full := Observation{LocalAccepting: 20, Usable: 28}
	observeFor(s, 0, 10*time.Second, full)
	must.EqOp(t, SlowInterval, s.Interval())
	full.RemoteFree = 1
	s.Observe(10*time.Second, full)
	must.EqOp(t, FastInterval, s.Interval())
	full.RemoteFree = 0
	observeFor(s, 10*time.Second, 10*time.Second+3*slowDownInterval, full)
	must.EqOp(t, SlowInterval, s.Interval())
}

// If too few of the agents in touch are usable, the subset grows step by step.
func TestSubsetGrowsWithoutUsableEndpoints(t *testing.T) {
	s := NewService(0, "a")
	observeFor(s, 0, 10*time.Second, roomy)
	silent := Observation{LocalAccepting: 20, Usable: minUsable - 1}
	var widths []Width
	for now := 10 * time.Second; now < 13*time.Second; now += 250 * time.Millisecond {
		before := s.Width()
		if s.Observe(now, silent); s.Width() != before {
			widths = append(widths, s.Width())
		}
	}
	must.Eq(t, []Width{Wider, All}, widths)
}

// Agents that obey the request get hello messages as rarely as they report; one of an older
// build, which forgets a balancer after 2 s, and one that got a new request, get them as
// before. A changed request is sent at once.
func TestHellosFollowReports(t *testing.T) {
	count := func(h *Hellos, from, to time.Duration, requested, reported time.Duration) (sent int) {
		for now := from; now < to; now += 50 * time.Millisecond {
			if h.Due(now, address(1), requested, reported) {
				sent++
			}
		}
		return sent
	}
	var h Hellos
	const older = 117 * time.Millisecond
	must.EqOp(t, 20, count(&h, 0, 10*time.Second, SlowInterval, older))
	must.EqOp(t, 10, count(&h, 10*time.Second, 20*time.Second, SlowInterval, SlowInterval))
	must.True(t, h.Due(20*time.Second, address(1), FastInterval, SlowInterval))
	must.EqOp(t, 19, count(&h, 20*time.Second+50*time.Millisecond, 30*time.Second, FastInterval, older))
	h.Forget(address(1))
	must.True(t, h.Due(30*time.Second, address(1), FastInterval, older))
}

// A balancer that requests nothing, as one of an older build, is served as before; one that
// requests an interval gets reports at it, the first at once and twice, and counts as lost only
// after several of its hello messages.
func TestReceiversKeepTheirInterval(t *testing.T) {
	const own, tick = 100 * time.Millisecond, 100 * time.Millisecond
	var r Receivers
	balancer, older := address(1), address(2)
	r.Request(older, 0)
	r.Request(balancer, SlowInterval)
	must.EqOp(t, 1, r.Len())
	must.False(t, r.IsSlow(older))
	must.False(t, r.Due(time.Hour, older, own, tick))
	must.EqOp(t, own, r.Interval(older, own))
	must.EqOp(t, 2*time.Second, r.HelloLifetime(older, 2*time.Second))
	must.EqOp(t, SlowInterval, r.Interval(balancer, own))
	must.EqOp(t, 4*time.Second, r.HelloLifetime(balancer, 2*time.Second))

	var sent []time.Duration
	for now := time.Second; now < 4*time.Second; now += tick {
		r.Request(balancer, SlowInterval) // repeated by each hello message
		if r.Due(now, balancer, own, tick) {
			r.Sent(now, balancer)
			sent = append(sent, now-time.Second)
		}
	}
	must.Eq(t, []time.Duration{0, tick, 1100 * time.Millisecond, 2100 * time.Millisecond}, sent)
	r.Request(balancer, 0)
	must.EqOp(t, 0, r.Len())
	r.Request(balancer, time.Hour)
	must.EqOp(t, maxRequest, r.Interval(balancer, own))
	r.Remove(balancer)
	must.EqOp(t, 0, r.Len())
}
