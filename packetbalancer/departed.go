package packetbalancer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"cactustray/directory"
	"cactustray/event"
)

const (
	// completeBy is how long after its start a balancer takes its directory for complete
	// at the latest: entries that lapsed while the registry was away are back within two
	// seconds.
	completeBy = 3 * time.Second
	// surveyTime bounds one question: balancers are milliseconds apart, and while all of
	// them start again callers wait for the end of their lost flows.
	surveyTime = 150 * time.Millisecond
	// surveyQuestions is how many balancers are asked at once, maxSurveyed how many in
	// all.
	surveyQuestions = 4
	maxSurveyed     = 64
)

// survey asks the balancers that may have run for longer than this one which endpoints
// have departed. The registry names only endpoints whose entries are there; one whose
// entry lapsed may hold flows all the same, and a balancer that was running then knows.
//
// Invariant: until such a balancer has told what it knows, or there is none, no flow is
// ended because nobody holds it.
type survey struct {
	asked map[netip.AddrPort]bool
	// pending counts the questions that are not answered.
	pending int
	// heard tells that an agent has named the balancers that it knows.
	heard bool
	// complete tells that the directory has every endpoint that may hold flows.
	complete bool
}

// surveyed brings the directory of a balancer that was asked.
type surveyed struct{ fetchEnded }

// runSurvey asks balancers, one at a time; several of it run at once.
func (r *reader) runSurvey(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case peer := <-r.surveys:
			asking, cancel := context.WithTimeout(ctx, surveyTime)
			change, err := r.client.Fetch(asking, peer)
			cancel()
			if r.loop.Send(ctx, surveyed{fetchEnded{from: peer, change: change, err: err}}) != nil {
				return nil
			}
		}
	}
}

// learnDeparted asks the balancers that were not asked yet.
func (s *state) learnDeparted(now time.Duration) {
	switch {
	case s.survey.complete || !s.directory.Known():
		return
	case now-s.started > completeBy:
		s.completed(now, "time")
		return
	}
	for _, peer := range s.others(now) {
		if !s.survey.asked[peer] && len(s.survey.asked) < maxSurveyed {
			s.survey.asked[peer] = true
			s.survey.pending++
			s.reader.surveys <- peer // has room for maxSurveyed
		}
	}
	if s.survey.heard && s.survey.pending == 0 {
		s.completed(now, "nobody-older")
	}
}

func (s *state) surveyed(now time.Duration, m surveyed) {
	s.survey.pending--
	s.fetched(now, m.fetchEnded)
	s.learnDeparted(now)
}

// others returns where the directories of other balancers can be fetched: those that
// the settings name and those that agents do, whose control port is the same as here.
func (s *state) others(now time.Duration) []netip.AddrPort {
	others := slices.Clone(s.seeds)
	port := s.settings.Packets.Control.Port()
	for _, peer := range s.turn.Peers(now) {
		others = append(others, netip.AddrPortFrom(peer.Addr(), port))
	}
	return others
}

// completed tells traffic that the directory has every endpoint that may hold flows.
func (s *state) completed(now time.Duration, source string) {
	s.survey.complete = true
	s.log.Emit(EventComplete, event.Fields{"source": source, "after_ms": (now - s.started).Milliseconds()})
	s.publish(now)
	s.traffic.conclude(now)
}

// wholeDirectory returns what this balancer knows, to hand on.
func (s *state) wholeDirectory(now time.Duration) directory.Change {
	change := s.directory.Whole(now)
	change.Complete = s.survey.complete
	change.Departed = slices.DeleteFunc(change.Departed, func(d directory.Departed) bool {
		gauge := s.gauges[s.agentOf(d.Address)]
		return gauge != nil && gauge.Left(now)
	})
	return change
}
