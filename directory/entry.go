package directory

import (
	"cmp"
	"time"
)

const (
	// lapsedRetention is how long an endpoint stays in use while its agent
	// reports it alive, if its entry was deleted shortly after an outage of the
	// source and was not draining. An entry that expired although its endpoint
	// is alive is registered again within two seconds of the source's return.
	lapsedRetention = 2500 * time.Millisecond
	// vanishedRetention is the same for an entry that was deleted while the
	// source was reachable all along.
	vanishedRetention = time.Second
	// agentRestart is how long after its last report an agent may be restarting.
	agentRestart = 3 * time.Second
	// unrenewedLifetime is how long the source may list an entry that its endpoint no longer
	// renews: until three heartbeats are missing, and the source was read again.
	unrenewedLifetime = 5 * time.Second
)

// Entry is an endpoint and its status on this balancer.
type Entry struct {
	Endpoint
	// FirstSeen is when this balancer first received this incarnation.
	FirstSeen time.Duration
	// WarmAt is when it reaches its full speed.
	WarmAt time.Duration
	// DepartedAt is when it was noticed to be no longer registered, or 0 if it is
	// registered; the clock never returns 0.
	DepartedAt time.Duration
	// AcceptingAt is when a draining endpoint was last known to accept new flows, or 0 if
	// this balancer knows it only as draining.
	AcceptingAt time.Duration
	// ChangedAt is the revision of the last change other than a heartbeat, or a later one.
	ChangedAt Revision
	// UsableUntil is until when a departed endpoint stays in use if its agent
	// reports it alive.
	UsableUntil time.Duration
	// GoneAt is from when a departed endpoint holds no flows if its agent does not report.
	GoneAt time.Duration
	// RelistedUntil is until when the entry may be a copy: a restored source lists it
	// although it had been deleted, and the endpoint has not written it since.
	RelistedUntil time.Duration
}

// relisted reports whether the entry may be a copy of one that had been deleted.
func (e *Entry) relisted(now time.Duration) bool { return e.DepartedAt == 0 && now < e.RelistedUntil }

// Doubtful reports whether the endpoint may be gone: it is not registered, or its entry may
// be a copy of one that had been deleted.
func (e *Entry) Doubtful(now time.Duration) bool { return e.DepartedAt != 0 || e.relisted(now) }

// Replaces reports whether e is the entry to use for an address that other has too.
func (e *Entry) Replaces(other *Entry, now time.Duration) bool {
	if doubtful := e.Doubtful(now); doubtful != other.Doubtful(now) {
		return !doubtful
	}
	return cmp.Or(cmp.Compare(e.ModRevision, other.ModRevision), cmp.Compare(e.Incarnation, other.Incarnation)) > 0
}

// AcceptsNew reports whether new flows may be placed at the endpoint; alive is
// whether its agent reported it recently.
func (e *Entry) AcceptsNew(now time.Duration, alive bool) bool {
	switch {
	case e.Draining:
		return false
	case e.DepartedAt == 0:
		return alive || !e.relisted(now)
	}
	return alive && now < e.UsableUntil
}

// AcceptsWhileDraining reports whether a draining endpoint may still get new flows if its
// service has no other endpoint. limit is how long after the begin of its drain an endpoint
// may get any; the drain began after AcceptingAt.
func (e *Entry) AcceptsWhileDraining(now, limit time.Duration) bool {
	return e.Draining && e.DepartedAt == 0 && e.AcceptingAt != 0 && now-e.AcceptingAt < limit
}

// MayHoldFlows reports whether the endpoint may hold open flows; stopped is whether its agent
// announced that it would stop, and did, reportedAt when it last reported, or 0, and asOf when
// the directory was known to be the newest. An entry can expire while the endpoint is alive,
// and an unresponsive agent may only be unreachable. Both together, beyond the time in which
// expired entries are registered again, mean that the endpoint is gone: a caller that waits
// for it longer gives up its request.
func (e *Entry) MayHoldFlows(now, asOf, reportedAt time.Duration, stopped bool) bool {
	switch {
	case !e.Doubtful(now):
		return true
	case stopped:
		return false
	case reportedAt != 0 && now-reportedAt < agentRestart:
		return true
	}
	return asOf < e.GoneAt
}

// MissedReturn reports whether the entry is missing beyond the time in which one that expired
// although its endpoint is alive is registered again.
func (e *Entry) MissedReturn(now time.Duration) bool {
	if e.DepartedAt == 0 {
		return false
	}
	return now >= cmp.Or(e.UsableUntil, e.DepartedAt+lapsedRetention)
}

// ConfirmedFrom returns the time from which the entry shows that its endpoint lives, if the
// registry still lists it then, or 0 if it is not registered.
func (e *Entry) ConfirmedFrom() time.Duration {
	if e.DepartedAt != 0 {
		return 0
	}
	return max(e.FirstSeen+unrenewedLifetime, e.RelistedUntil)
}

// message returns the endpoint as it is sent to other balancers.
func (e *Entry) message(now time.Duration) Endpoint {
	endpoint := e.Endpoint
	endpoint.Relisted, endpoint.WarmUpTime = e.relisted(now), max(e.WarmAt-now, 0)
	return endpoint
}

// joinCopy returns the later of the existing entry and e, which is registered at a revision
// that does not show which of them is later.
func (e *Entry) joinCopy(now time.Duration, other Endpoint) Endpoint {
	if !other.laterThan(e.Endpoint) {
		other.Relisted = other.Relisted || e.Doubtful(now)
	}
	if e.laterThan(other) {
		later := e.Endpoint
		later.ModRevision, later.Relisted = other.ModRevision, other.Relisted
		return later
	}
	return other
}

// setRelisted records whether the entry may be a copy of one that had been deleted, and
// reports whether that is new.
func (e *Entry) setRelisted(now time.Duration, relisted bool) bool {
	switch {
	case !relisted:
		e.RelistedUntil = 0
		return false
	case e.RelistedUntil != 0:
		return false // it was relisted before, and is still registered
	}
	e.RelistedUntil, e.GoneAt = now+unrenewedLifetime, now+vanishedRetention
	return true
}
