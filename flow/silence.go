package flow

import "time"

const (
	// minSilence and maxSilence bound how long a silent endpoint gets no flow before it
	// is tried with one; the pause doubles with each failed trial. A trial delays its
	// flow by AnswerTimeout. The registry takes 3.6 s to notice a failed endpoint.
	minSilence = 500 * time.Millisecond
	maxSilence = 4 * time.Second
)

// silence tracks whether an endpoint leaves opening packets unanswered. Any packet from
// the endpoint ends it.
type silence struct {
	silent bool
	// trial is true if the endpoint has not answered since it became silent.
	trial bool
	until Timestamp
	pause time.Duration
}

func (s *silence) answered() { *s = silence{} }

// unanswered records that an opening packet was left unanswered.
func (s *silence) unanswered(now Timestamp) {
	if s.isSilent(now) {
		return // this flow was offered before the endpoint counted as silent
	}
	s.pause = min(max(2*s.pause, minSilence), maxSilence)
	s.silent, s.trial, s.until = true, true, now+s.pause
}

// isSilent reports whether the endpoint counts as silent at the given time.
func (s *silence) isSilent(now Timestamp) bool {
	if s.silent && now >= s.until {
		s.silent = false
	}
	return s.silent
}
