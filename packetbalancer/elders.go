package packetbalancer

import (
	"context"
	"net/netip"
	"time"

	"cactustray/directory"
	"cactustray/event"
)

const (
	// completeBy is how long after its start a balancer takes its directory for complete
	// at the latest: entries that lapsed while the registry was away are back within two
	// seconds.
	completeBy = 3 * time.Second
	// elderTime bounds one question: balancers are milliseconds apart, and while all of
	// them start again callers wait for the end of their lost flows.
	elderTime = 150 * time.Millisecond
	// elderQuestions is how many are asked at once, maxElders how many may wait.
	elderQuestions = 4
	maxElders      = 64
)

// elders are the balancers that may have run for longer than this one. The registry
// names only endpoints whose entries are there; one whose entry lapsed may hold flows
// all the same, and a balancer that was running then knows of it.
//
// Invariant: until such a balancer has told what it knows, or there is none, no flow is
// ended because nobody holds it.
type elders struct {
	asked map[netip.AddrPort]bool
	// pending counts the questions that are not answered.
	pending int
	// heard tells that an agent has named the balancers that it knows.
	heard    bool
	complete bool
}

// elderAnswered brings the directory of a balancer that was asked.
type elderAnswered struct{ fetchEnded }

// runElders asks balancers, several at once.
func (r *reader) runElders(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case peer := <-r.elders:
			asking, cancel := context.WithTimeout(ctx, elderTime)
			change, err := r.client.Fetch(asking, peer)
			cancel()
			if r.loop.Send(ctx, elderAnswered{fetchEnded{from: peer, change: change, err: err}}) != nil {
				return nil
			}
		}
	}
}

// learnDeparted asks the balancers that were not asked yet.
func (s *state) learnDeparted(now time.Duration) {
	switch {
	case s.elders.complete || !s.directory.Known():
		return
	case now-s.started > completeBy:
		s.completed(now, "time")
		return
	}
	for _, peer := range s.others(now) {
		if !s.elders.asked[peer] && len(s.elders.asked) < maxElders {
			s.elders.asked[peer] = true
			s.elders.pending++
			s.reader.elders <- peer // has room for maxElders
		}
	}
	if s.elders.heard && s.elders.pending == 0 {
		s.completed(now, "nobody-older")
	}
}

func (s *state) elderAnswered(now time.Duration, m elderAnswered) {
	s.elders.pending--
	if m.err == nil {
		s.adopt(now, m.from, m.change)
	}
	s.learnDeparted(now)
}

// adopt takes the directory of another balancer in.
func (s *state) adopt(now time.Duration, from netip.AddrPort, change directory.Change) {
	changed, ok := s.directory.Apply(now, change)
	if !ok {
		return
	}
	s.whole = false
	s.renew(now, changed, from.String())
	if changed {
		s.tell(now)
	}
	if change.Complete && !s.elders.complete {
		s.completed(now, from.String())
	}
}

// others returns where the directories of other balancers can be fetched: those that
// the settings name and those that agents do, whose control port is the same as here.
func (s *state) others(now time.Duration) []netip.AddrPort {
	others := s.settings.Packets.SeedAddresses()
	port := s.settings.Packets.Control.Port()
	for _, peer := range s.turn.Peers(now) {
		others = append(others, netip.AddrPortFrom(peer.Addr(), port))
	}
	return others
}

// completed tells traffic that the directory has every endpoint that may hold flows.
func (s *state) completed(now time.Duration, source string) {
	s.elders.complete = true
	s.log.Emit(EventComplete, event.Fields{"source": source, "after_ms": (now - s.started).Milliseconds()})
	s.publish(now)
	s.traffic.conclude(now)
}
