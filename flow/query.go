package flow

// Query is the question whether an agent's endpoint holds a flow. It replaces a packet of
// the flow, which is many times larger.
type Query struct {
	Flow Key
	// Acknowledged is the caller's last acknowledgment.
	Acknowledged uint32
}

// Answer is an agent's answer to a query.
type Answer uint8

const (
	// Denies: the endpoint does not hold the flow.
	Denies Answer = iota
	// Holds: the agent delivers the flow's packets to the endpoint.
	Holds
	// IsUnsure: only the endpoint knows; its reaction to a packet of the flow shows it.
	IsUnsure
	// HasEnded: the endpoint held the flow and lost it; its caller gets a reset.
	HasEnded
)

// Query answers a query.
func (t *AgentTable) Query(now Timestamp, q Query) Answer {
	r, known := t.flows[q.Flow]
	if !known {
		if !t.mayLack(now, q.Flow) || len(t.flows) >= maxFlows {
			return Denies
		}
		return IsUnsure
	}
	switch r.state {
	case open:
		return Holds
	case accepted:
		if q.Acknowledged-r.sequence <= acceptWindow {
			return Holds
		}
		if !t.mayLack(now, q.Flow) {
			return Denies
		}
		return IsUnsure
	case trial:
		if !t.mayLack(now, q.Flow) {
			return Denies // an endpoint that holds the flow would have shown it by now
		}
		return IsUnsure
	case lost:
		return HasEnded
	default:
		return Denies
	}
}

// FlowsKnown reports whether the table has every flow that the endpoint holds.
func (t *AgentTable) FlowsKnown(now Timestamp) bool { return t.isComplete(now) }

// ConfirmComplete records that the endpoint started no earlier than this agent, so that the
// table has every flow of the endpoint, unless that was refuted. start is the endpoint's start, in
// milliseconds since the Unix epoch by its own clock. It reports whether this is new.
func (t *AgentTable) ConfirmComplete(start int64) bool {
	if t.complete || start == t.refutedStart {
		return false
	}
	t.complete, t.confirmedStart = true, start
	return true
}

// RefuteComplete records that an endpoint with that start may have started before this agent. It
// reports whether the opposite had been concluded.
func (t *AgentTable) RefuteComplete(start int64) bool {
	t.refutedStart = start
	if t.confirmedStart == 0 || t.confirmedStart != start {
		return false
	}
	t.complete, t.confirmedStart = false, 0
	return true
}
