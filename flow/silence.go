package flow

import "time"

const (
	// silenceFirst and silenceMost are how long a silent endpoint gets no flow
	// before it is tried with one: a trial delays that flow by AnswerTime. The
	// registry takes 3.6 s to notice.
	silenceFirst = 500 * time.Millisecond
	silenceMost  = 4 * time.Second
)

// silence is what an agent believes of an endpoint that may not answer. Any
// packet of the endpoint ends it.
type silence struct {
	silent bool
	// trial tells that the endpoint has not answered since it was silent.
	trial bool
	until Stamp
	pause time.Duration
}

func (s *silence) answered() { *s = silence{} }

// unanswered takes in that an opening packet was left unanswered.
func (s *silence) unanswered(now Stamp) {
	if s.at(now) {
		return // another flow offered before it was known
	}
	s.pause = min(max(2*s.pause, silenceFirst), silenceMost)
	s.silent, s.trial, s.until = true, true, now+s.pause
}

// at returns whether the endpoint counts as silent at a moment.
func (s *silence) at(now Stamp) bool {
	if s.silent && now >= s.until {
		s.silent = false
	}
	return s.silent
}
