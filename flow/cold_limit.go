package flow

import (
	"math"
	"slices"
	"time"
)

const (
	// coldWindow is the time in which a cold endpoint gets a limited number of new flows: one
	// second, and what the delays between the agent and its endpoint may differ by on a busy
	// machine.
	coldWindow = 1050 * time.Millisecond
	// statementTimeout is how long opening packets wait, from the first one on, for a balancer to
	// state whether the endpoint is cold. Balancers state it before they place flows, but the
	// datagrams may be handled in another order: 7 flows instead of 5 once opened in the first
	// second (e2e TestPacketColdEndpointGetsLimitedFlows).
	statementTimeout = 200 * time.Millisecond
	// maxColdFlows is the highest limit, at 8 bytes a flow. An endpoint takes fewer flows, so
	// that a higher limit would have no effect.
	maxColdFlows = 4096
	// roundingError is by how much the product of two numbers may be too low.
	roundingError = 1e-9
)

// ColdLimit is the limit on the new flows of a cold endpoint: Excess times Rate, and Slack more, in
// any second. There is none if Rate or Excess is 0.
type ColdLimit struct{ Rate, Excess, Slack float64 }

// Flows returns the number of new flows in any second; ok is false if it is not limited. Of a
// fraction of a flow, nothing counts: a limit below 1 lets no flow pass.
func (l ColdLimit) Flows() (flows int, ok bool) {
	limit := l.Rate*l.Excess + l.Slack
	if !(l.Rate > 0 && l.Excess > 0 && limit < maxColdFlows) {
		return 0, false
	}
	return int(math.Floor(limit + roundingError)), true
}

// coldLimit decides whether a cold endpoint may get another flow. It records the flows that were
// delivered, also while the endpoint is not known to be cold.
type coldLimit struct {
	ColdLimit
	// stated is true once a balancer has stated whether the endpoint is cold, and until is when
	// it no longer is.
	stated bool
	until  Timestamp
	// askedAt is when the first flow was to be opened before any statement, or 0.
	askedAt Timestamp
	// delivered has the times at which the opening packets of new flows went to the endpoint
	// within the last coldWindow, in ascending order.
	delivered []Timestamp
}

// isUsedUp reports whether the endpoint gets no new flow now. startedAt is when the agent started;
// flowsKnown is false if the endpoint may have got flows before, which this agent cannot count:
// then the limit counts as used up for coldWindow.
func (l *coldLimit) isUsedUp(now, startedAt Timestamp, flowsKnown bool) bool {
	flows, limited := l.Flows()
	switch {
	case l.Excess <= 0:
		return false
	case !l.stated:
		if l.askedAt == 0 {
			l.askedAt = now
		}
		return now-l.askedAt < statementTimeout
	case !limited || now >= l.until:
		return false
	case !flowsKnown && now-startedAt < coldWindow:
		return true
	}
	l.expire(now)
	return len(l.delivered) >= flows
}

// record records that the opening packet of a new flow goes to the endpoint.
func (l *coldLimit) record(now Timestamp) {
	if l.Excess <= 0 {
		return
	}
	l.expire(now)
	if len(l.delivered) >= maxColdFlows {
		l.delivered = slices.Delete(l.delivered, 0, 1)
	}
	l.delivered = append(l.delivered, now)
}

func (l *coldLimit) expire(now Timestamp) {
	expired := 0
	for expired < len(l.delivered) && now-l.delivered[expired] > coldWindow {
		expired++
	}
	l.delivered = slices.Delete(l.delivered, 0, expired)
}

// SetColdLimit sets the limit from the settings, whose rate is 0 until a balancer states it.
func (t *AgentTable) SetColdLimit(limit ColdLimit) {
	t.cold.Excess, t.cold.Slack = limit.Excess, limit.Slack
}

// SetCold records what balancers state: the rate of the endpoint's service, and until when the
// endpoint is cold.
func (t *AgentTable) SetCold(rate float64, until Timestamp) {
	t.cold.stated, t.cold.Rate, t.cold.until = true, rate, until
}

// isColdLimitUsedUp reports whether the endpoint is cold and gets no new flow now.
func (t *AgentTable) isColdLimitUsedUp(now Timestamp) bool {
	return t.cold.isUsedUp(now, t.startedAt, t.complete || now-t.startedAt > t.lifetime)
}
