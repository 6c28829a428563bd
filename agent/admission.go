package agent

import (
	"math/rand/v2"
	"time"

	"cactustray/admission"
	"cactustray/control"
	"cactustray/event"
	"cactustray/ticket"

	"github.com/sirupsen/logrus"
)

// rampTime is how long a cold backend server takes to reach all its slots.
const rampTime = 5 * time.Second

// The admission slice's events; docs/EVENTS.md explains each.
var (
	EventInvariantBroken = event.Define(1501, logrus.ErrorLevel, "admission invariant broken")
)

func newAdmission(log *event.Log) *admission.State {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return admission.NewState(time.Now(), admission.Limits{}, random, func(v admission.Violation) {
		log.Emit(EventInvariantBroken, event.Fields{"invariant": v.Invariant, "request": v.Request})
	})
}

func limitsOf(t *ticket.Ticket) admission.Limits {
	return admission.Limits{
		Slots:     int(t.Limits.Slots),
		QueueTime: time.Duration(t.Limits.QueueMillis) * time.Millisecond,
		Feeds:     int(t.Limits.Connections),
		RampTime:  rampTime,
	}
}

// handleAdmission applies one message of the admission slice.
func (s *state) handleAdmission(now time.Time, message control.Message) {
	switch m := message.(type) {
	case admission.Arrived:
		s.replies[m.ID] = m.Reply
		s.decide(s.admission.Arrive(now, m.Request))
	case admission.Finished:
		s.decide(s.admission.Finish(now, m.ID))
	case admission.Gone:
		s.decide(s.admission.Leave(now, m.ID))
		delete(s.replies, m.ID)
	}
}

func (s *state) decide(out admission.Outputs) {
	for _, d := range out.Decisions {
		reply := s.replies[d.ID]
		delete(s.replies, d.ID)
		if reply != nil {
			reply <- d
		}
	}
}
