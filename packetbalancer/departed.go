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
	// completeTimeout is how long after its start a balancer considers its directory
	// complete at the latest: entries that expired during an outage of the registry are
	// registered again within two seconds.
	completeTimeout = 3 * time.Second
	// reregisterTimeout is how long after the first balancer's start lost flows may wait, if
	// agents outlived all balancers, for entries that have expired to be registered again.
	reregisterTimeout = 2500 * time.Millisecond
	// surveyTimeout limits one query. Balancers are milliseconds apart, and while all
	// of them restart, callers wait for the resets of their lost flows.
	surveyTimeout = 150 * time.Millisecond
	// surveyConcurrency is how many balancers are queried at a time, maxSurveyedPeers
	// how many in total. While all of them restart, most queries end by the timeout.
	surveyConcurrency = 16
	maxSurveyedPeers  = 64
	// firstEra is the era of a registry that was never restored from a copy.
	firstEra directory.Era = 1
	// consultTimeout is how long after its start a balancer waits for the others at most
	// before it takes traffic by what a restored registry has.
	consultTimeout = 2 * surveyTimeout
)

// survey is the state of the queries to other balancers for departed endpoints. The
// registry lists only endpoints with a current entry. An endpoint whose entry expired
// may still hold flows, and a balancer that was running at that time has a record of it.
//
// Invariant: unless the settings state that no node of the system has run before, no flow
// is reset because no agent holds it until a balancer with a complete directory has
// sent all of it, all known balancers have been queried and none of those that answered has
// one, or completeTimeout has passed. If agents outlived all balancers, none is before
// reregisterTimeout has passed either.
type survey struct {
	queried map[netip.AddrPort]bool
	// pending is the number of queries in flight.
	pending int
	// agentReportedAt is when an agent first listed the balancers that it reports to, or 0.
	agentReportedAt time.Duration
	// lacksContent is true if a balancer has a complete directory that has not arrived here.
	lacksContent bool
	// complete is true if the directory has every endpoint that may hold flows.
	complete bool
}

// hasConsulted reports whether the directory can be used for traffic. A registry that was
// restored from a copy may lack the desired state in force and the drains of endpoints;
// the other balancers are queried for them first.
func (s *state) hasConsulted(now time.Duration) bool {
	if s.directory.Position().Era <= firstEra || s.survey.complete {
		return true
	}
	return len(s.survey.queried) > 0 && s.survey.pending == 0 || now-s.started > consultTimeout
}

// surveyEnded brings the result of a query to the control goroutine.
type surveyEnded struct{ fetchEnded }

// runSurvey queries one balancer at a time; surveyConcurrency goroutines run it.
func (r *reader) runSurvey(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case query := <-r.surveys:
			queryCtx, cancel := context.WithTimeout(ctx, surveyTimeout)
			change, err := r.client.Fetch(queryCtx, query.peer, query.Request)
			cancel()
			if r.loop.Send(ctx, surveyEnded{fetchEnded{fetchRequest: query, change: change, err: err}}) != nil {
				return nil
			}
		}
	}
}

// surveyPeers queries the balancers that were not queried yet. It ends the survey when agents
// have listed their balancers and no query is in flight, or completeTimeout has passed.
func (s *state) surveyPeers(now time.Duration) {
	switch {
	case s.survey.complete || !s.directory.Known():
		return
	case now-s.started > completeTimeout:
		s.markComplete(now, "time")
		return
	}
	self := s.settings.Packets.AdvertisedControl()
	for _, peer := range s.otherBalancers(now) {
		if peer != self && !s.survey.queried[peer] && len(s.survey.queried) < maxSurveyedPeers {
			s.survey.queried[peer] = true
			s.survey.pending++
			s.reader.surveys <- fetchRequest{peer: peer, Request: s.request(true)} // has capacity for maxSurveyedPeers
		}
	}
	if s.survey.pending == 0 && !s.survey.lacksContent && s.agentsReported(now) {
		s.markComplete(now, "nobody-older")
	}
}

// agentsReported reports whether every agent has reported, or some have and the others had the
// time of a query to do so: what each knows of earlier balancers counts.
func (s *state) agentsReported(now time.Duration) bool {
	switch {
	case s.survey.agentReportedAt == 0:
		return false
	case now-s.survey.agentReportedAt >= surveyTimeout:
		return true
	}
	for _, endpoint := range s.traffic.table.Load().Agents {
		if endpoint.AgentLoad.ReportedAt() == 0 && !endpoint.Distant {
			return false
		}
	}
	return true
}

func (s *state) surveyEnded(now time.Duration, m surveyEnded) {
	s.survey.pending--
	s.applyFetched(now, m.fetchEnded)
	if m.err == nil && m.change.Complete && !s.survey.complete {
		s.queryInFull(m.fetchEnded)
	}
	s.surveyPeers(now)
	s.admitTraffic(now, m.peer.String())
}

// hasAllOf reports whether the directory has every endpoint that may hold flows as far as the sender
// of an answer knows, now that the answer is applied.
//
// Invariant: the answer lists all departed endpoints, and every endpoint that the sender lists as
// registered is registered here or has departed. An increment after a position that the sender has
// not reached shows neither, so it counts only if both directories have the same content.
func (s *state) hasAllOf(m fetchEnded) bool {
	switch {
	case m.change.Snapshot:
		return true
	case !m.AllDeparted:
		return false
	}
	return m.change.Position().Compare(m.Position) >= 0 || m.change.Digest == s.directory.Digest()
}

// queryInFull queries a balancer for its whole directory after an answer that does not have all of
// it, once.
func (s *state) queryInFull(m fetchEnded) {
	s.survey.lacksContent = true
	if m.change.Snapshot || len(s.reader.surveys) == cap(s.reader.surveys) {
		return
	}
	s.survey.pending++
	s.reader.surveys <- fetchRequest{peer: m.peer, Request: directory.Request{AllDeparted: true}}
}

// otherBalancers returns the control addresses of the other balancers: those from the
// settings, and those that agents have listed or that have announced their directory,
// whose control port is the same as this balancer's.
func (s *state) otherBalancers(now time.Duration) []netip.AddrPort {
	otherBalancers := slices.Clone(s.seeds)
	port := s.settings.Packets.Control.Port()
	for _, peer := range s.schedule.Peers(now) {
		otherBalancers = append(otherBalancers, netip.AddrPortFrom(peer.Addr(), port))
	}
	return otherBalancers
}

// markComplete records that the directory has every endpoint that may hold flows. Searches
// for flows that no agent holds then end. source is logged.
func (s *state) markComplete(now time.Duration, source string) {
	s.survey.complete = true
	s.log.Emit(EventComplete, event.Fields{"source": source, "after_ms": (now - s.started).Milliseconds()})
	s.publish(now)
}

// directorySnapshot returns what another balancer lacks of the directory, without the
// departed endpoints whose agents have stopped.
func (s *state) directorySnapshot(now time.Duration, r directory.Request) directory.Change {
	change := s.directory.ChangesFor(now, r)
	change.Complete = s.survey.complete
	change.Introduced = s.reportingIntroduced(now)
	change.Departed = slices.DeleteFunc(change.Departed, func(d directory.Departed) bool {
		load := s.loads[s.agentAddress(d.Address)]
		return load != nil && load.Stopped(now)
	})
	return change
}
