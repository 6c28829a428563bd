package packetbalancer

import (
	"net/netip"
	"slices"
	"time"

	"cactustray/event"
)

// knowsRouteHistory reports whether the directory has every service that may hold a flow of a
// present route.
func (s *state) knowsRouteHistory(now time.Duration) bool {
	return s.directory.KnowsRouteHistory(now, s.settings.Packets.FlowLifetime())
}

// queryRouteHistory queries another balancer for the route history, if it is not known and a
// query is due.
func (s *state) queryRouteHistory(now time.Duration) {
	if !s.directory.Known() || s.fetching {
		return
	}
	self := s.settings.Packets.AdvertisedControl()
	others := slices.DeleteFunc(s.otherBalancers(now), func(peer netip.AddrPort) bool { return peer == self })
	if peer, ok := s.history.Next(now, s.knowsRouteHistory(now), others); ok {
		s.fetch(peer)
	}
}

// recordRouteHistory logs when the route history becomes known or is lost.
func (s *state) recordRouteHistory(now time.Duration) {
	known := s.knowsRouteHistory(now)
	if known == s.historyKnown {
		return
	}
	s.historyKnown = known
	if !known {
		s.log.Emit(EventHistoryLost, event.Fields{"version": s.directory.Desired().Version})
		return
	}
	s.log.Emit(EventHistoryKnown, event.Fields{
		"former": len(s.directory.FormerServices(now)), "after_ms": (now - s.started).Milliseconds(),
	})
}
