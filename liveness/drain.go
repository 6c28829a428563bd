package liveness

import "time"

// Cause is the reason for which a process leaves.
type Cause uint8

// The causes of leaving, as bits. Any one of them suffices.
const (
	// CauseStop: the process was ordered to stop. This cannot be reversed.
	CauseStop Cause = 1 << iota
	// CauseTicket: the ticket in force says that the endpoint drains.
	CauseTicket
	// CauseVMList: the platform lists the VM as leaving.
	CauseVMList
	// CauseBackend: the backend server reports that it drains.
	CauseBackend
)

var causeNames = map[Cause]string{CauseStop: "stop", CauseTicket: "ticket", CauseVMList: "vm_list", CauseBackend: "backend"}

func (c Cause) String() string { return causeNames[c] }

// NoticePeriod is how long a leaving agent still accepts new work, from balancers that
// have not yet received its announcement.
const NoticePeriod = 3 * time.Second

// Phase is the progress of a drain.
type Phase int

const (
	// Serving: not leaving.
	Serving Phase = iota
	// Notifying: the announcement is being sent; new work is still accepted.
	Notifying
	// Draining: no new work is accepted; open flows continue.
	Draining
	// Expired: the time limit for open flows has passed.
	Expired
)

// Drain tracks how an agent leaves: it notifies balancers at once, accepts no new
// work after NoticePeriod, and lets open flows continue until a time limit. It must be
// used by the control goroutine only.
type Drain struct {
	causes Cause
	since  time.Time
}

// Set records whether a cause holds, and reports whether the process thereby began
// or ceased to leave.
func (d *Drain) Set(now time.Time, cause Cause, holds bool) (changed bool) {
	before := d.causes
	if holds {
		d.causes |= cause
	} else {
		d.causes &^= cause &^ CauseStop
	}
	if (before == 0) == (d.causes == 0) {
		return false
	}
	d.since = now
	return true
}

// Leaving reports whether any cause holds.
func (d *Drain) Leaving() bool { return d.causes != 0 }

// Stopping reports whether the process ends when it has drained.
func (d *Drain) Stopping() bool { return d.causes&CauseStop != 0 }

// Phase returns the progress of the drain at now. limit is how long open flows may
// continue after the drain began.
func (d *Drain) Phase(now time.Time, limit time.Duration) Phase {
	if d.causes == 0 {
		return Serving
	}
	passed := now.Sub(d.since)
	switch {
	case passed < NoticePeriod:
		return Notifying
	case passed < limit:
		return Draining
	}
	return Expired
}
