package packetbalancer

import (
	"errors"
	"net/netip"
	"time"

	"cactustray/directory"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
)

func (s *state) readIfDue(now time.Duration) {
	if !s.turn.Due(now, s.directory.AsOf(), s.directory.Known()) {
		return
	}
	// The reader is idle, so that its queue has room.
	s.reader.orders <- readOrder{whole: s.whole, after: s.directory.Revision()}
}

// askSeeds fetches from other balancers while nothing is known and the registry
// does not answer.
func (s *state) askSeeds(now time.Duration) {
	if s.directory.Known() || len(s.seeds) == 0 || now-s.started < seedDelay {
		return
	}
	if s.fetch(s.seeds[0]) {
		s.seeds = append(s.seeds[1:], s.seeds[0])
	}
}

func (s *state) fetch(peer netip.AddrPort) bool {
	if s.fetching {
		return false
	}
	s.fetching = true
	// The fetching goroutine is idle, so that its queue has room.
	s.reader.fetches <- peer
	return true
}

func (s *state) readEnded(now time.Duration, m readEnded) {
	if errors.Is(m.err, directory.ErrHistoryGone) {
		s.log.Emit(EventHistoryGone, event.Fields{"revision": s.directory.Revision()})
		s.whole = true
		s.turn.Again()
		s.readIfDue(now)
		return
	}
	s.turn.Ended(now, m.err != nil)
	s.noteSource(m.err)
	if m.err != nil {
		return
	}
	changed, ok := s.directory.Apply(now, m.change)
	s.whole = !ok
	if ok {
		s.renew(now, changed, "registry")
		s.tell(now)
	}
}

// noteSource logs when the registry is lost or back.
func (s *state) noteSource(err error) {
	if err != nil && !s.away {
		s.log.Emit(EventSourceLost, event.Fields{"cause": err.Error(), "age_ms": s.ageMillis()})
	}
	if err == nil && s.away {
		s.log.Emit(EventSourceBack, event.Fields{"age_ms": s.ageMillis()})
	}
	s.away = err != nil
}

func (s *state) fetchEnded(now time.Duration, m fetchEnded) {
	s.fetching = false
	s.fetched(now, m)
}

// fetched takes the directory of another balancer in.
func (s *state) fetched(now time.Duration, m fetchEnded) {
	if m.err != nil {
		s.log.Emit(EventPeerFailed, event.Fields{"peer": m.from, "cause": m.err.Error()})
		return
	}
	changed, ok := s.directory.Apply(now, m.change)
	if !ok {
		return
	}
	s.whole = false
	s.renew(now, changed, m.from.String())
	if changed {
		s.tell(now)
	}
	if m.change.Complete && !s.survey.complete {
		s.completed(now, m.from.String())
	}
}

func (s *state) heardNews(now time.Duration, m heardNews) {
	s.turn.Met(now, m.from.AddrPort())
	if !s.directory.Current(m.Revision, m.Digest, now-m.Age) {
		s.fetch(m.Control.AddrPort())
		return
	}
	s.asOf.Store(int64(s.directory.AsOf()))
}

// renew brings traffic up to the directory.
func (s *state) renew(now time.Duration, changed bool, source string) {
	s.asOf.Store(int64(s.directory.AsOf()))
	if changed {
		s.publish(now)
		s.logChange(source)
		s.greet(now)
	}
	if !s.leaving && !s.healthy.Load() {
		s.healthy.Store(true)
		s.log.Emit(EventReady, event.Fields{"after_ms": (now - s.started).Milliseconds(), "source": source})
	}
}

func (s *state) logChange(source string) {
	desired := s.directory.Desired()
	fields := event.Fields{"revision": s.directory.Revision(), "version": desired.Version, "source": source}
	if desired.Changed == s.directory.Revision() {
		s.log.Emit(EventDesired, fields)
		return
	}
	fields["ready"], fields["draining"], fields["gone"] = s.shown.ready.Load(), s.shown.draining.Load(), s.shown.gone.Load()
	s.log.Emit(EventEndpoints, fields)
}

// tell sends the news to the other balancers.
func (s *state) tell(now time.Duration) {
	news := wire.Encode(wire.News{
		Revision: s.directory.Revision(), Digest: s.directory.Digest(), Age: now - s.directory.AsOf(),
		Control: flow.AddressOf(s.settings.Packets.ReachedControl()),
	})
	for _, peer := range s.turn.Peers(now) {
		s.traffic.counters.Send(s.traffic.peers, news, peer)
	}
}
