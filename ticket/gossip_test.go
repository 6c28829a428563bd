package ticket

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func peersOf(nodes, zones int) []Peer {
	var peers []Peer
	for i := range nodes {
		name := fmt.Sprintf("entry-%04d", i)
		peers = append(peers, Peer{Name: name, Zone: fmt.Sprintf("fd-%d", i%zones), Control: name})
	}
	return peers
}

func stateOf(self Peer, seeds []Peer) *State {
	return NewState(epoch, self, seeds, rand.New(rand.NewPCG(1, 1)))
}

func TestReadersPerZone(t *testing.T) {
	peers := peersOf(300, 10)
	readers := make(map[string]int)
	for _, self := range peers {
		if IsReader(self, peers) {
			readers[self.Zone]++
		}
	}
	must.MapLen(t, 10, readers)
	for zone, n := range readers {
		must.EqOp(t, ReadersPerZone, n, must.Sprint(zone))
	}
}

// If all nodes have the same list, every node is the partner of at least one
// and at most FanOut other nodes.
func TestRingsReachEveryNode(t *testing.T) {
	peers := peersOf(300, 10)
	callers := make(map[string]int)
	for _, self := range peers {
		s := stateOf(self, nil)
		s.SetPeers(peers)
		for _, p := range s.partners {
			callers[p.Control]++
		}
	}
	must.MapLen(t, len(peers), callers)
	for name, n := range callers {
		must.LessEq(t, FanOut, n, must.Sprint(name))
	}
}

// A balancer that receives no read age from others begins to watch the platform
// itself, at a random time within a bound.
func TestWatchesPlatformWithoutRecentReads(t *testing.T) {
	peers := peersOf(300, 10)
	for _, self := range peers {
		s := stateOf(self, nil)
		s.SetPeers(peers)
		if IsReader(self, peers) {
			must.True(t, s.ReadMode(epoch).Watch)
			continue
		}
		must.False(t, s.ReadMode(epoch.Add(maxReadAge-1)).Watch)
		must.True(t, s.ReadMode(epoch.Add(2*maxReadAge)).Watch)
		s.recordReadAge(epoch.Add(2*maxReadAge), 0)
		must.True(t, s.ReadMode(epoch.Add(2*maxReadAge)).Watch, must.Sprint("an agent's request reports no read age"))
		s.recordReadAge(epoch.Add(2*maxReadAge), time.Second)
		must.False(t, s.ReadMode(epoch.Add(2*maxReadAge)).Watch)
	}
}

// answer handles a call as the given peer would and passes its response to s.
func answer(s *State, call Call, peer *State) Output {
	response, _ := peer.Query(epoch, call.Request)
	return s.CallEnded(epoch, CallEnded{Call: call, Response: response})
}

// answerUntilStarted lets a peer answer every call until s has started.
func answerUntilStarted(t *testing.T, s *State, calls []Call, peer *State) {
	for !s.Started() {
		if len(calls) == 0 {
			calls = s.Tick(epoch).Calls
		}
		must.SliceNotEmpty(t, calls)
		next := answer(s, calls[0], peer).Calls
		calls = append(calls[1:], next...)
	}
}

func fail(s *State, call Call) Output {
	return s.CallEnded(epoch, CallEnded{Call: call, Failure: &KeyError{}})
}

// A restarted balancer that reads an outdated platform fetches the peer's newer
// ticket before it accepts traffic.
func TestStartFetchesNewerTicketFromPeer(t *testing.T) {
	peers := peersOf(2, 1)
	running := stateOf(peers[1], nil)
	running.Join(epoch, sampleRecord(t, 7, 0, 10, true))
	running.ready = true
	s := stateOf(peers[0], nil)
	s.SetPeers(peers)
	out := s.Update(epoch, Update{Records: []Record{sampleRecord(t, 5, 0, 5, false)}})
	must.False(t, out.Started, must.Sprint("the platform alone"))
	answerUntilStarted(t, s, out.Calls, running)
	must.EqOp(t, 7, s.Entry(orders).Ticket.Number)
	must.True(t, s.Entry(orders).Sealed)
}

func TestStartWithoutConfirmingPeers(t *testing.T) {
	peers := peersOf(2, 1)
	update := Update{Records: []Record{sampleRecord(t, 5, 0, 5, false)}}
	starting := stateOf(peers[1], nil)
	starting.Join(epoch, update.Records[0])
	for name, end := range map[string]func(*State, Call) Output{
		"unreachable": fail,
		"starting":    func(s *State, c Call) Output { return answer(s, c, starting) },
	} {
		s := stateOf(peers[0], nil)
		s.SetPeers(peers)
		out := s.Update(epoch, update)
		must.False(t, out.Started)
		must.Len(t, 1, out.Calls, must.Sprint(name))
		must.True(t, end(s, out.Calls[0]).Started, must.Sprint(name))
	}
	alone := stateOf(peers[0], nil)
	must.False(t, alone.Tick(epoch).Started, must.Sprint("no table"))
	must.True(t, alone.Update(epoch, update).Started)
	silent := stateOf(peers[0], nil)
	silent.SetPeers(peers)
	silent.Update(epoch, update)
	must.False(t, silent.Tick(epoch.Add(maxStartDelay-1)).Started)
	must.True(t, silent.Tick(epoch.Add(maxStartDelay)).Started)
}

// If the platform is unavailable, the tickets of a seed suffice to start.
func TestStartFromSeedAlone(t *testing.T) {
	peers := peersOf(2, 1)
	running := stateOf(peers[1], nil)
	running.Join(epoch, sampleRecord(t, 7, 0, 10, true))
	running.ready = true
	s := stateOf(peers[0], []Peer{{Control: peers[1].Control}})
	must.SliceEmpty(t, s.Tick(epoch).Calls)
	answerUntilStarted(t, s, s.Tick(epoch.Add(seedDelay)).Calls, running)
	must.EqOp(t, 7, s.Entry(orders).Ticket.Number)
}

// A successful push does not confirm the register like a comparison: the peer
// may have more tickets.
func TestPushDoesNotConfirm(t *testing.T) {
	peers := peersOf(2, 1)
	running := stateOf(peers[1], nil)
	running.ready = true
	s := stateOf(peers[0], nil)
	s.SetPeers(peers)
	out := s.Update(epoch, Update{Records: []Record{sampleRecord(t, 5, 0, 5, false)}})
	running.Join(epoch, sampleRecord(t, 5, 0, 5, false))
	must.False(t, answer(s, out.Calls[0], running).Started)
}

// The services of a failed push are pushed again, also if another partner has
// replaced the one that failed.
func TestFailedPushIsRepeated(t *testing.T) {
	peers := peersOf(30, 1)
	s := stateOf(peers[0], nil)
	s.SetPeers(peers)
	s.ready = true
	now := epoch
	s.nextCompare = now.Add(time.Hour)
	first := s.Update(now, Update{Records: []Record{sampleRecord(t, 1, 0, 1, false)}}).Calls
	must.Len(t, FanOut, first)
	lost := first[0]
	for range maxFailures {
		again := s.CallEnded(now, CallEnded{Call: lost, Failure: &KeyError{}}).Calls
		if len(again) == 0 {
			now = now.Add(avoidTime / 4)
			again = s.Tick(now).Calls
		}
		must.Len(t, 1, again)
		must.Eq(t, []ServiceKey{orders}, again[0].Request.Services)
		lost = again[0]
	}
	must.NotEq(t, first[0].Peer, lost.Peer, must.Sprint("another partner"))
}
