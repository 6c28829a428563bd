// Package liveness holds the duty of knowing which endpoints take new work.
// Suspicion moves new work only: open flows always reach their owner.
package liveness

import (
	"time"

	"cactustray/steering"
	"cactustray/ticket"
)

const (
	// HeartbeatInterval is how often an agent reports.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is how long without a heartbeat an endpoint is trusted.
	SuspectAfter = 4 * HeartbeatInterval
	// PauseLimit is the gap between two ticks that shows that the process
	// was paused, so that silence says nothing of the others.
	PauseLimit = 2 * time.Second
)

// State is how far an endpoint's agent takes work.
type State int

// The states of an endpoint, in the order in which a process passes them.
const (
	Unknown State = iota
	Starting
	Ready
	Leaving
	Gone
)

// Fact is what one process says of itself, or what is suspected of it.
type Fact struct {
	Endpoint    ticket.EndpointKey
	Incarnation steering.Incarnation
	// Version counts the facts of one incarnation.
	Version   uint32
	State     State
	Suspected bool
}

// Newer tells whether f replaces other.
func (f Fact) Newer(other Fact) bool {
	if f.Incarnation != other.Incarnation {
		return f.Incarnation > other.Incarnation
	}
	return f.Version > other.Version
}

type observed struct {
	Fact
	heard time.Time
}

// Observer holds what a balancer knows of the endpoints. The control goroutine
// owns it.
type Observer struct {
	endpoints map[ticket.EndpointKey]*observed
}

// NewObserver returns an observer that trusts every endpoint.
func NewObserver() *Observer {
	return &Observer{endpoints: make(map[ticket.EndpointKey]*observed)}
}

// Heard takes a heartbeat in and tells whether it changed who takes new work.
func (o *Observer) Heard(now time.Time, fact Fact) (changed bool) {
	known := o.endpoints[fact.Endpoint]
	if known == nil {
		o.endpoints[fact.Endpoint] = &observed{Fact: fact, heard: now}
		return true
	}
	if known.Newer(fact) {
		return false
	}
	before := known.takesNew()
	known.Fact = fact
	known.heard = now
	return known.takesNew() != before
}

// Tick suspects endpoints that have gone silent and returns how many are newly
// suspected. After a pause of this process nobody is suspected.
func (o *Observer) Tick(now time.Time, gap time.Duration) int {
	suspected := 0
	for _, known := range o.endpoints {
		if gap > PauseLimit {
			known.heard = now
		}
		if !known.Suspected && now.Sub(known.heard) > SuspectAfter {
			known.Suspected = true
			suspected++
		}
	}
	return suspected
}

// TakesNew is false for an endpoint that is leaving, gone or suspected.
func (o *Observer) TakesNew(key ticket.EndpointKey) bool {
	known := o.endpoints[key]
	return known == nil || known.takesNew()
}

func (o *observed) takesNew() bool {
	return !o.Suspected && o.State != Leaving && o.State != Gone
}
