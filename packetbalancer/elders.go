package packetbalancer

import (
	"net/netip"
	"time"

	"cactustray/event"
)

// completeBy is how long after its start a balancer takes its directory for complete
// at the latest: entries that lapsed while the registry was away are back within two
// seconds.
const completeBy = 3 * time.Second

// elders are the balancers that may have run for longer than this one. The registry
// names only endpoints whose entries are there; one whose entry lapsed may hold flows
// all the same, and a balancer that was running then knows of it.
//
// Invariant: until such a balancer has told what it knows, or there is none, no flow is
// ended because nobody holds it.
type elders struct {
	asked map[netip.AddrPort]bool
	// heard tells that an agent has named the balancers that it knows.
	heard    bool
	complete bool
}

// learnDeparted asks the next balancer that was not asked yet.
func (s *state) learnDeparted(now time.Duration) {
	switch {
	case s.elders.complete || !s.directory.Known() || s.fetching:
		return
	case now-s.started > completeBy:
		s.completed(now, "time")
		return
	}
	for _, peer := range s.others(now) {
		if !s.elders.asked[peer] {
			s.elders.asked[peer] = true
			s.fetch(peer)
			return
		}
	}
	if s.elders.heard {
		s.completed(now, "nobody-older")
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
