package flow

import "time"

const (
	// startTolerance is how much earlier than its agent an endpoint may have started to
	// count as started with it, as after their machine was switched on: a process takes some
	// 50 ms to start on a quarter of a core. It is shorter than the time in which a killed
	// agent runs again, so that no earlier agent can have served the endpoint.
	startTolerance = 100 * time.Millisecond
	// clockTolerance is the largest difference between the clocks of an agent and a balancer
	// with which the start times are compared.
	clockTolerance = 100 * time.Millisecond
)

// StartOrder decides whether an endpoint started before its agent, which then does not know
// the flows that an earlier agent delivered. The two share a machine and its time of day. A
// clock that is set would mislead, so nothing is concluded if the time of day has jumped
// since the agent started, or differs from that of the balancer that states the endpoint's
// start.
//
// A clock may also have been set between the two starts. So what balancers have seen takes
// precedence: flows reach an endpoint only through a balancer that knows its start, and one that
// has known it for longer than the agent runs shows that an earlier agent may have served it.
//
// Times of day are in milliseconds since the Unix epoch.
type StartOrder struct {
	// startedAt and startedClock are when the agent started.
	startedAt    Timestamp
	startedClock int64
}

// NewStartOrder returns the decision of an agent that starts now.
func NewStartOrder(now Timestamp, clock int64) StartOrder {
	return StartOrder{startedAt: now, startedClock: clock}
}

// EndpointIsNewer reports whether the endpoint certainly started with the agent or later.
// endpointStart is when it started, clock the agent's time of day at now, and
// balancerClock that of the balancer.
func (s StartOrder) EndpointIsNewer(now Timestamp, clock, endpointStart, balancerClock int64) bool {
	jump := clock - s.startedClock - (now - s.startedAt).Milliseconds()
	switch {
	case endpointStart == 0 || balancerClock == 0:
		return false
	case abs(jump) > startTolerance.Milliseconds():
		return false
	case abs(clock-balancerClock) > clockTolerance.Milliseconds():
		return false
	}
	return endpointStart >= s.startedClock-startTolerance.Milliseconds()
}

// EndpointIsOlder reports whether the endpoint may have started before the agent: a balancer has
// known its start for longer than the agent runs. known is measured on the balancer's monotonic
// clock.
func (s StartOrder) EndpointIsOlder(now Timestamp, known time.Duration) bool {
	return known > now-s.startedAt+startTolerance
}

func abs(n int64) int64 { return max(n, -n) }
