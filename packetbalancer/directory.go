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

// readIfDue starts a read of the registry if the reader schedule has one due.
func (s *state) readIfDue(now time.Duration) {
	if !s.schedule.Due(now, s.directory.AsOf(), s.directory.Known()) {
		return
	}
	// The reader is idle, so this does not block.
	s.reader.requests <- readRequest{fullRead: s.fullRead, after: s.directory.Position()}
}

// fetchFromSeeds fetches the directory from the seed balancers in turn while none is
// known, from seedDelay after the start.
func (s *state) fetchFromSeeds(now time.Duration) {
	if s.directory.Known() || len(s.seeds) == 0 || now-s.started < seedDelay {
		return
	}
	if s.fetch(s.seeds[0]) {
		s.seeds = append(s.seeds[1:], s.seeds[0])
	}
}

// fetch starts a fetch from another balancer, and reports whether it did: only one
// runs at a time.
func (s *state) fetch(peer netip.AddrPort) bool {
	if s.fetching {
		return false
	}
	s.fetching = true
	// The fetching goroutine is idle, so this does not block.
	s.reader.fetches <- fetchRequest{peer: peer, Request: s.request(false)}
	return true
}

// request describes what this balancer has of the directory. After an increment that did not
// lead to the sender's content, everything is requested.
func (s *state) request(allDeparted bool) directory.Request {
	if !s.directory.Known() || s.contentDiffers {
		return directory.Request{AllDeparted: allDeparted}
	}
	return directory.Request{Position: s.directory.Position(), Version: s.directory.Desired().Version, AllDeparted: allDeparted}
}

func (s *state) readEnded(now time.Duration, m readEnded) {
	if errors.Is(m.err, directory.ErrHistoryUnavailable) {
		s.log.Emit(EventHistoryUnavailable, event.Fields{"revision": s.directory.Revision()})
		if !m.fullRead {
			s.fullRead = true
			s.schedule.RetryNow()
			s.readIfDue(now)
			return
		}
	}
	s.schedule.Ended(now, m.err != nil)
	s.recordSourceStatus(m.err)
	if m.err != nil {
		var unreadable *directory.UnreadableError
		s.fullRead = s.fullRead || errors.As(m.err, &unreadable)
		return
	}
	changed, ok := s.applyChange(now, m.change, "registry")
	s.fullRead = !ok
	if ok {
		s.updateTraffic(now, changed, "registry")
		s.announceDirectory(now)
		s.surveyPeers(now)
	}
}

// recordSourceStatus logs when the registry stops answering and when it answers again.
func (s *state) recordSourceStatus(err error) {
	if err != nil && !s.sourceDown {
		s.log.Emit(EventRegistryLost, event.Fields{"cause": err.Error(), "age_ms": s.ageMillis()})
	}
	if err == nil && s.sourceDown {
		s.log.Emit(EventRegistryBack, event.Fields{"age_ms": s.ageMillis()})
	}
	s.sourceDown = err != nil
}

// applyChange applies an update to the directory, and logs whether it is older than the
// directory or shows that the registry was restored from a copy.
func (s *state) applyChange(now time.Duration, c directory.Change, source string) (changed, ok bool) {
	before, isKnown := s.directory.Position(), s.directory.Known()
	changed, ok = s.directory.Apply(now, c)
	fields := event.Fields{
		"source": source, "era": c.Era, "era_before": before.Era, "revision": c.Revision, "known_revision": before.Revision,
	}
	switch {
	case isKnown && c.Position().Compare(before) < 0:
		s.log.Emit(EventNotApplied, fields)
	case isKnown && ok && c.Era != before.Era && before.Era != 0:
		s.log.Emit(EventRegistryRestored, fields)
	}
	return changed, ok
}

func (s *state) fetchEnded(now time.Duration, m fetchEnded) {
	s.fetching = false
	s.applyFetched(now, m)
}

// applyFetched applies the directory fetched from another balancer.
func (s *state) applyFetched(now time.Duration, m fetchEnded) {
	if m.err != nil {
		s.log.Emit(EventPeerFailed, event.Fields{"peer": m.peer, "cause": m.err.Error()})
		return
	}
	changed, ok := s.applyChange(now, m.change, m.peer.String())
	if !ok {
		s.contentDiffers = true
		return
	}
	if m.change.Snapshot {
		s.contentDiffers = false
	}
	s.takeOverIntroduced(now, m.change.Introduced)
	s.fullRead = false
	s.updateTraffic(now, changed || s.knowsRouteHistory(now) != s.historyKnown, m.peer.String())
	if changed {
		s.announceFetched(now, m)
	} else {
		s.correctSender(now, m)
	}
	if m.change.Complete && !s.survey.complete && s.hasAllOf(m) {
		s.markComplete(now, m.peer.String())
	}
}

// correctSender announces the directory to the sender of an update that lacks content known
// here, so that it fetches it.
func (s *state) correctSender(now time.Duration, m fetchEnded) {
	isSame := m.change.Digest == 0 || m.change.Digest == s.directory.Digest()
	if isSame || m.change.Position() != s.directory.Position() || now-s.lastCorrection < correctionInterval {
		return
	}
	s.lastCorrection = now
	sender := netip.AddrPortFrom(m.peer.Addr(), s.settings.Packets.Peer.Port())
	s.traffic.counters.SendToNode(s.traffic.peers, s.announcement(now), sender)
}

func (s *state) announcementReceived(now time.Duration, m announcementReceived) {
	from := m.from.AddrPort()
	s.schedule.RecordPeer(now, from)
	if s.dissemination.RecordZone(from, m.Zone) {
		s.recordDomains()
	}
	s.stateDomainTo(now, from, true)
	if !s.directory.Confirm(m.Position, m.Digest, now-m.Age) {
		s.contentDiffers = s.contentDiffers || m.Position == s.directory.Position()
		s.fetch(m.Control.AddrPort())
		return
	}
	s.recordPosition()
	s.announceTo(now, s.dissemination.Relay(now, from, s.directory.Position(), s.directory.Digest(), s.schedule.Peers(now)))
}

// recordPosition stores what traffic goroutines and metrics read of the directory's position.
func (s *state) recordPosition() {
	s.asOf.Store(int64(s.directory.AsOf()))
	s.recordRunningSince()
	s.metricValues.era.Store(int64(s.directory.Position().Era))
	s.metricValues.revision.Store(int64(s.directory.Position().Revision))
}

// updateTraffic publishes a changed directory to the traffic goroutines, and admits
// traffic.
func (s *state) updateTraffic(now time.Duration, changed bool, source string) {
	s.recordPosition()
	if changed {
		s.publish(now)
		s.logChange(source)
		s.sendHellos(now)
	}
	s.admitTraffic(now, source)
}

// admitTraffic marks the balancer as ready, and forwards the packets that arrived early, once
// the directory can be used. Without a desired state it would refuse what others serve.
func (s *state) admitTraffic(now time.Duration, source string) {
	if s.directory.Desired().Version == 0 || !s.hasConsulted(now) {
		return
	}
	s.traffic.earlyQueue.release()
	if s.leaving || s.healthy.Load() {
		return
	}
	s.healthy.Store(true)
	s.log.Emit(EventReady, event.Fields{"after_ms": (now - s.started).Milliseconds(), "source": source})
}

func (s *state) logChange(source string) {
	desired := s.directory.Desired()
	fields := event.Fields{"revision": s.directory.Revision(), "version": desired.Version, "source": source}
	if desired.Version != s.loggedVersion {
		s.loggedVersion = desired.Version
		s.log.Emit(EventDesired, fields)
		return
	}
	fields["ready"], fields["draining"], fields["gone"] = s.metricValues.ready.Load(), s.metricValues.draining.Load(), s.metricValues.gone.Load()
	s.log.Emit(EventEndpoints, fields)
}

// announceDirectory sends position, digest and age of the directory to the balancers of the own
// failure domain and to some of the others, which relay them.
func (s *state) announceDirectory(now time.Duration) {
	s.announceTo(now, s.dissemination.FromReader(s.schedule.Peers(now)))
}

// announceFetched announces a directory that was fetched from another balancer. If it has
// content that the sender lacks, no other balancer has announced it.
func (s *state) announceFetched(now time.Duration, m fetchEnded) {
	if m.change.Digest != s.directory.Digest() {
		s.announceDirectory(now)
		return
	}
	from := netip.AddrPortFrom(m.peer.Addr(), s.settings.Packets.Peer.Port())
	s.announceTo(now, s.dissemination.AfterFetch(now, from, s.directory.Position(), s.directory.Digest(), s.schedule.Peers(now)))
}

// stateDomainTo announces the failure domain of this balancer to another, if that is due. announced is
// whether the balancer has sent an announcement.
func (s *state) stateDomainTo(now time.Duration, peer netip.AddrPort, announced bool) {
	if s.directory.Known() && s.dissemination.StatesDomain(now, peer, announced) {
		s.announceTo(now, []netip.AddrPort{peer})
	}
}

func (s *state) announceTo(now time.Duration, peers []netip.AddrPort) {
	if len(peers) == 0 {
		return
	}
	announcement := s.announcement(now)
	for _, peer := range peers {
		s.traffic.counters.SendToNode(s.traffic.peers, announcement, peer)
	}
}

// announcement returns the datagram that announces the directory.
func (s *state) announcement(now time.Duration) []byte {
	return wire.Encode(wire.DirectoryAnnouncement{
		Position: s.directory.Position(), Digest: s.directory.Digest(), Age: now - s.directory.AsOf(),
		Control: flow.AddressOf(s.settings.Packets.AdvertisedControl()), Zone: s.settings.Zone,
	})
}
