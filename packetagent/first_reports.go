package packetagent

import (
	"time"

	"cactustray/flow"
)

// newBalancerPause is the least pause between two reports to all balancers because of a new one.
// After a loss of power an agent finds two dozen balancers within milliseconds; a report to all for
// each would keep small balancers busy for a tenth of a second.
const newBalancerPause = 10 * time.Millisecond

// newBalancersDue is the message that all balancers are due for a report that lists those found
// within the last newBalancerPause.
type newBalancersDue struct{}

// reportNewBalancer reports to a balancer that was found, which waits for it. All others get a
// report that lists it, within newBalancerPause: they discover each other this way.
func (s *state) reportNewBalancer(now time.Duration, balancer flow.Address) {
	s.lastBalancerList = 0
	if s.lastNewBalancer == 0 || now-s.lastNewBalancer >= newBalancerPause {
		s.lastNewBalancer = now
		s.report(now)
		return
	}
	s.traffic.counters.SendToNode(s.traffic.peers, s.composeReport(now), balancer.AddrPort())
	s.lastBalancerList = 0 // the others have not got the list yet
	if !s.newBalancersPending {
		s.newBalancersPending = true
		time.AfterFunc(newBalancerPause, func() { s.traffic.loop.Offer(newBalancersDue{}) })
	}
}

// reportNewBalancers sends the report that newBalancersDue is about, unless another was sent
// meanwhile.
func (s *state) reportNewBalancers(now time.Duration) {
	if s.newBalancersPending {
		s.lastNewBalancer = now
		s.report(now)
	}
}
