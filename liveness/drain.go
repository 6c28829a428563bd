package liveness

import "time"

// Cause is why a process leaves.
type Cause uint8

// The causes of leaving; any of them suffices.
const (
	// ByStop: the process was told to stop. It cannot be taken back.
	ByStop Cause = 1 << iota
	// ByTicket: the ticket in force says that the endpoint drains.
	ByTicket
	// ByList: the platform lists the VM as leaving.
	ByList
	// ByBackend: the backend server says that it drains.
	ByBackend
)

var causeNames = map[Cause]string{ByStop: "stop", ByTicket: "ticket", ByList: "vm_list", ByBackend: "backend"}

func (c Cause) String() string { return causeNames[c] }

// Notice is how long a leaving agent still takes what balancers send that have
// not heard yet.
const Notice = 3 * time.Second

// Phase is how far a drain has come.
type Phase int

const (
	// Serving: not leaving.
	Serving Phase = iota
	// Notifying: balancers are being told; new work is still taken.
	Notifying
	// Draining: no new work is taken; what is open goes on.
	Draining
	// Expired: the time for long flows is over.
	Expired
)

// Drain is how an agent leaves: it tells balancers at once, takes no new work
// after Notice, and lets open flows go on until its limit. The control
// goroutine owns it.
type Drain struct {
	causes Cause
	since  time.Time
}

// Set learns whether a cause holds, and tells whether the process began or
// ceased to leave by that.
func (d *Drain) Set(now time.Time, cause Cause, holds bool) (changed bool) {
	before := d.causes
	if holds {
		d.causes |= cause
	} else {
		d.causes &^= cause &^ ByStop
	}
	if (before == 0) == (d.causes == 0) {
		return false
	}
	d.since = now
	return true
}

// Leaving tells whether any cause holds.
func (d *Drain) Leaving() bool { return d.causes != 0 }

// Stopping tells whether the process ends when it has drained.
func (d *Drain) Stopping() bool { return d.causes&ByStop != 0 }

// Phase returns how far the drain has come when open flows may go on for limit
// after it began.
func (d *Drain) Phase(now time.Time, limit time.Duration) Phase {
	if d.causes == 0 {
		return Serving
	}
	passed := now.Sub(d.since)
	switch {
	case passed < Notice:
		return Notifying
	case passed < limit:
		return Draining
	}
	return Expired
}
