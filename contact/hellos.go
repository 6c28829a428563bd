package contact

import (
	"time"

	"cactustray/flow"
)

const (
	// HelloInterval is the interval between hello messages to an agent of the own failure
	// domain, and to one that reports at its own interval.
	HelloInterval = 500 * time.Millisecond
	// tickMargin is how much earlier than due a hello message may be sent: the balancer's
	// timer is coarse.
	tickMargin = 30 * time.Millisecond
	// startingInterval is the interval between hello messages to an agent of another failure
	// domain that may be starting.
	startingInterval = 250 * time.Millisecond
)

// Hellos decides when a balancer sends hello messages to the agents of other failure domains
// from which it requested rarer reports. The control goroutine owns it.
type Hellos struct {
	sent map[flow.Address]sentHello
}

type sentHello struct {
	at       time.Duration
	interval time.Duration
}

// Due reports whether an agent is due for a hello message that requests the given interval, and
// records that it is sent. reported is the interval that the agent's reports state: an agent of
// an older build ignores the request and forgets a balancer 2 s after its last hello message,
// so that it gets them as often as agents of the own domain.
func (h *Hellos) Due(now time.Duration, agent flow.Address, requested, reported time.Duration) bool {
	pause := HelloInterval
	if requested > HelloInterval && reported >= requested {
		pause = requested
	}
	return h.due(now, agent, requested, pause)
}

// DueWhileStarting is Due for an agent that does not report and may be starting.
func (h *Hellos) DueWhileStarting(now time.Duration, agent flow.Address, requested time.Duration) bool {
	return h.due(now, agent, requested, startingInterval)
}

func (h *Hellos) due(now time.Duration, agent flow.Address, requested, pause time.Duration) bool {
	last, ok := h.sent[agent]
	if ok && last.interval == requested && now-last.at < pause-tickMargin {
		return false
	}
	if h.sent == nil {
		h.sent = make(map[flow.Address]sentHello)
	}
	h.sent[agent] = sentHello{at: now, interval: requested}
	return true
}

// Forget removes an agent that is no longer in touch.
func (h *Hellos) Forget(agent flow.Address) { delete(h.sent, agent) }
