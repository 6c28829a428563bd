package flow

import "time"

const (
	// minSilence and maxSilence bound how long a silent endpoint gets no flow before it
	// is tried with one; the pause doubles with each failed trial. A trial delays its
	// flow by AnswerTimeout. The registry takes 3.6 s to notice a failed endpoint.
	minSilence = 500 * time.Millisecond
	maxSilence = 4 * time.Second
	// minTrials and trialTimeout are how many packets of unknown flows an endpoint may leave
	// unanswered, and for how long, before it counts as silent. One that runs returns at once
	// what it does not hold, but may work for a while on a request that it does.
	minTrials    = 4
	trialTimeout = 500 * time.Millisecond
	// trialExpiry is how long after the last such packet that conclusion holds, so that an
	// endpoint which has recovered is offered flows again.
	trialExpiry = 2 * time.Second
)

// silence tracks whether an endpoint leaves opening packets unanswered. Any packet from
// the endpoint ends it.
type silence struct {
	silent bool
	// trial is true if the endpoint has not answered since it became silent.
	trial bool
	until Timestamp
	pause time.Duration
	// trials counts the packets of unknown flows since the endpoint's last packet; the first was
	// delivered at triedAt and the last at lastTried.
	trials    int
	triedAt   Timestamp
	lastTried Timestamp
}

func (s *silence) answered() { *s = silence{} }

// tried records that a packet of an unknown flow was delivered.
func (s *silence) tried(now Timestamp) {
	if now-s.lastTried > trialExpiry {
		s.trials = 0
	}
	if s.trials == 0 {
		s.triedAt = now
	}
	s.trials++
	s.lastTried = now
}

// ignoresTrials reports whether the endpoint leaves packets of unknown flows unanswered.
func (s *silence) ignoresTrials(now Timestamp) bool {
	return s.trials >= minTrials && now-s.triedAt > trialTimeout && now-s.lastTried <= trialExpiry
}

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
