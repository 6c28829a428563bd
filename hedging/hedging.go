// Package hedging decides when a second copy of a request is sent to another endpoint,
// which endpoint that is, whether that endpoint's agent admits the copy, and which of the
// two answers the caller gets. The decisions use no HTTP, no sockets, no clock and no
// randomness of their own. docs/design/hedging.md explains the choices.
//
// The agent that received the request from its caller offers the second copy. The agent
// that receives the copy decides on it, by a budget that the requests of its own backend
// server feed: so the extra work of each backend server is limited, and a slow endpoint is
// helped by those that are not slow.
package hedging

import "time"

// Settings are the limits that operators set.
type Settings struct {
	// Percent is the most copies that a backend server runs, in 100 of its ordinary
	// requests, and the most work for them, in 100 of the work for those. 0 means that no
	// copies are sent or admitted.
	Percent float64
	// FreePercent is the share of a backend server's slots that must be free for it to run
	// a copy.
	FreePercent float64
}

// Enabled reports whether second copies are sent and admitted.
func (s Settings) Enabled() bool { return s.Percent > 0 }

// Class identifies requests of a service that should take similar times.
type Class string

// Timing is what an agent knows of the times that a class of requests takes.
type Timing struct {
	// Delay is how long the first copy may wait for its answer before a second is offered.
	Delay time.Duration
	// Typical is the median time to the answer.
	Typical time.Duration
}

// MaxOffers is how many peers a copy is offered to, one after the other.
const MaxOffers = 2

// Verdict is the decision of an agent on a copy that another agent offers.
type Verdict int

const (
	// Admitted: the copy runs at once.
	Admitted Verdict = iota
	// Off: this agent's settings permit no copies.
	Off
	// OverBudget: the ordinary requests since the last copies have not paid for this one, or
	// too many of them were slow.
	OverBudget
	// NoRoom: too few slots are free, or requests are queued.
	NoRoom
)

var verdictNames = [...]string{"admitted", "off", "budget", "no_room"}

func (v Verdict) String() string { return verdictNames[v] }

// ParseVerdict returns the verdict with the given name; an unknown name is Off.
func ParseVerdict(name string) Verdict {
	for v, known := range verdictNames {
		if known == name {
			return Verdict(v)
		}
	}
	return Off
}

// Admission is the decision on a copy.
type Admission struct {
	Verdict Verdict
	// Delay is the deciding agent's own delay of the class, or 0 if it is not known.
	Delay time.Duration
	// Expected is the work that an admitted copy was charged to the budget with.
	Expected time.Duration
}

// Room describes the slots of the backend server that a copy is offered to.
type Room struct {
	Slots  int
	Free   int
	Queued int
}
