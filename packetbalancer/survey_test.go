package packetbalancer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/flow"
	"cactustray/steering/datagram"

	"github.com/shoenig/test/must"
)

// surveyed is a balancer that answers the queries of one that starts.
type surveyed struct {
	*state
	address netip.AddrPort
}

// answerSurvey answers the queries that a balancer has sent, until it sends none.
func (b surveyed) answerSurvey(now time.Duration, s *state) (queries int) {
	for len(s.reader.surveys) > 0 {
		queries++
		query := <-s.reader.surveys
		change := b.directorySnapshot(now, query.Request)
		s.surveyEnded(now, surveyEnded{fetchEnded{fetchRequest: query, change: change}})
	}
	return queries
}

// restartedState returns the state of a balancer that has started and read the directory, and
// that queries another.
func restartedState(t *testing.T, read directory.Change, peer surveyed) *state {
	s := stateWith(read)
	s.schedule = directory.NewReaderSchedule(s.settings.Packets.Peer)
	s.reader = newReader(nil, nil, s.log)
	s.traffic.assignments = flow.NewAssignments(time.Minute, newRandom())
	s.traffic.earlyQueue, s.healthy = newEarlyQueue(), new(atomic.Bool)
	socket, err := datagram.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	s.traffic.peers = socket
	s.survey.queried = make(map[netip.AddrPort]bool)
	s.started = clock.Now()
	s.seeds = []netip.AddrPort{peer.address}
	s.surveyPeers(clock.Now())
	return s
}

func holders(s *state) (ids []string) {
	s.directory.Each(func(e *directory.Entry) { ids = append(ids, e.ID) })
	return ids
}

// Guards against resets of flows of an endpoint that lives and whose entry has just expired: a
// balancer that starts has read the registry without the entry, and the one that it queries has
// not noticed yet.
func TestEndpointThatPeerStillListsIsTakenUp(t *testing.T) {
	desired := &directory.Desired{Version: 1, Routes: []directory.Route{routeTo(80, "orders")}}
	before := directory.Change{Era: 1, Revision: 5, Snapshot: true, Desired: desired, Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2), endpointOf(2, "orders", 3)}}
	after := directory.Change{Era: 1, Revision: 7, Snapshot: true, Desired: desired, Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2)}}
	peer := surveyed{stateWith(before), netip.MustParseAddrPort("127.0.0.1:1")}
	peer.survey.complete = true
	s := restartedState(t, after, peer)
	must.Positive(t, peer.answerSurvey(clock.Now(), s))
	must.True(t, s.survey.complete)
	must.SliceContainsAll(t, holders(s), []string{"i-1", "i-2"})
	s.directory.Each(func(e *directory.Entry) {
		must.EqOp(t, e.ID == "i-2", e.DepartedAt != 0)
		must.EqOp(t, e.ID == "i-1", e.AcceptsNew(clock.Now(), true))
	})
	// Its entry is back.
	returned := endpointOf(2, "orders", 8)
	s.directory.Apply(clock.Now(), directory.Change{Era: 1, Revision: 8, After: 7, Endpoints: []directory.Endpoint{returned}})
	s.directory.Each(func(e *directory.Entry) { must.EqOp(t, 0, e.DepartedAt) })
}

// Guards against a directory that counts as complete although a balancer has more: its whole
// directory did not arrive in time.
func TestFailedQueryInFullLeavesDirectoryIncomplete(t *testing.T) {
	desired := &directory.Desired{Version: 1, Routes: []directory.Route{routeTo(80, "orders")}}
	listed := []directory.Endpoint{endpointOf(1, "orders", 2), endpointOf(2, "orders", 3)}
	peer := surveyed{stateWith(directory.Change{Era: 1, Revision: 5, Snapshot: true, Desired: desired, Endpoints: listed}), netip.MustParseAddrPort("127.0.0.1:1")}
	peer.survey.complete = true
	s := restartedState(t, directory.Change{Era: 1, Revision: 7, Snapshot: true, Desired: desired, Endpoints: listed[:1]}, peer)
	s.survey.agentReportedAt = clock.Now() - surveyTimeout
	query := <-s.reader.surveys
	s.surveyEnded(clock.Now(), surveyEnded{fetchEnded{fetchRequest: query, change: peer.directorySnapshot(clock.Now(), query.Request)}})
	inFull := <-s.reader.surveys
	s.surveyEnded(clock.Now(), surveyEnded{fetchEnded{fetchRequest: inFull, err: context.DeadlineExceeded}})
	must.False(t, s.survey.complete)
	s.surveyPeers(s.started + completeTimeout + 1)
	must.True(t, s.survey.complete)
}

// Guards against queries without end, and against whole directories that are sent although the
// increment has everything.
func TestPeerWithSameContentIsQueriedOnce(t *testing.T) {
	desired := &directory.Desired{Version: 1, Routes: []directory.Route{routeTo(80, "orders")}}
	entries := []directory.Endpoint{endpointOf(1, "orders", 2)}
	for _, revision := range []directory.Revision{5, 7, 9} { // the peer is behind, equal and ahead
		peer := surveyed{stateWith(directory.Change{Era: 1, Revision: revision, Snapshot: true, Desired: desired, Endpoints: entries}), netip.MustParseAddrPort("127.0.0.1:1")}
		peer.survey.complete = true
		s := restartedState(t, directory.Change{Era: 1, Revision: 7, Snapshot: true, Desired: desired, Endpoints: entries}, peer)
		must.EqOp(t, 1, peer.answerSurvey(clock.Now(), s))
		must.True(t, s.survey.complete)
	}
}

// Guards against a directory that counts as complete by an answer that lists only what has
// changed: the endpoints that departed before are not in it.
func TestAnswerWithoutAllDepartedIsNotComplete(t *testing.T) {
	desired := &directory.Desired{Version: 1, Routes: []directory.Route{routeTo(80, "orders")}}
	read := directory.Change{Era: 1, Revision: 7, Snapshot: true, Desired: desired, Endpoints: []directory.Endpoint{endpointOf(1, "orders", 2)}}
	peer := surveyed{stateWith(read), netip.MustParseAddrPort("127.0.0.1:1")}
	peer.survey.complete = true
	s := restartedState(t, read, peer)
	fetch := fetchRequest{peer: peer.address, Request: s.request(false)}
	s.fetchEnded(clock.Now(), fetchEnded{fetchRequest: fetch, change: peer.directorySnapshot(clock.Now(), fetch.Request)})
	must.False(t, s.survey.complete)
}
