package directory

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fleet simulates balancers that announce their directory to each other. All datagrams take the
// same time; those for which lost returns true do not arrive.
type fleet struct {
	members map[netip.AddrPort]*fleetMember
	order   []netip.AddrPort
	lost    func(from, to netip.AddrPort) bool
	queue   []announced
	// remote counts the announcements between failure domains, relayed those within one.
	remote, local int
}

// announced is an announcement in transit.
type announced struct {
	from, to netip.AddrPort
	hops     int
}

type fleetMember struct {
	Dissemination
	position Position
	confirms int
	// hops is how many hops the last change took.
	hops int
}

func zoneAt(i int) string { return string(rune('a' + i%3)) }

// newFleet returns a fleet in three failure domains, whose balancers know those of the others.
func newFleet(size int) *fleet {
	f := &fleet{members: make(map[netip.AddrPort]*fleetMember), lost: func(_, _ netip.AddrPort) bool { return false }}
	for i := range size {
		f.members[peerAt(i)] = &fleetMember{Dissemination: NewDissemination(peerAt(i), zoneAt(i))}
		f.order = append(f.order, peerAt(i))
	}
	for _, m := range f.members {
		for i := range size {
			m.RecordZone(peerAt(i), zoneAt(i))
		}
	}
	return f
}

func (f *fleet) peersOf(self netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(f.order), func(p netip.AddrPort) bool { return p == self })
}

func (f *fleet) send(from netip.AddrPort, to []netip.AddrPort, hops int) {
	for _, peer := range to {
		f.queue = append(f.queue, announced{from: from, to: peer, hops: hops})
	}
}

// deliver delivers all announcements and those that they cause. A receiver with another
// position fetches the sender's directory.
func (f *fleet) deliver(now time.Duration) {
	for len(f.queue) > 0 {
		a := f.queue[0]
		f.queue = f.queue[1:]
		sender, receiver := f.members[a.from], f.members[a.to]
		if sender.zone == receiver.zone {
			f.local++
		} else {
			f.remote++
		}
		if f.lost(a.from, a.to) {
			continue
		}
		receiver.confirms++
		if receiver.position == sender.position {
			f.send(a.to, receiver.Relay(now, a.from, receiver.position, 0, f.peersOf(a.to)), a.hops+1)
			continue
		}
		receiver.position, receiver.hops = sender.position, a.hops
		f.send(a.to, receiver.AfterFetch(now, a.from, receiver.position, 0, f.peersOf(a.to)), a.hops+1)
	}
}

// read makes a balancer announce a position that it has read.
func (f *fleet) read(now time.Duration, reader netip.AddrPort, p Position) {
	f.members[reader].position = p
	f.send(reader, f.members[reader].FromReader(f.peersOf(reader)), 1)
	f.deliver(now)
}

// without returns how many balancers lack a position.
func (f *fleet) without(p Position) (count int) {
	for _, m := range f.members {
		if m.position != p {
			count++
		}
	}
	return count
}

// Guards against announcements that grow with the product of balancers: a change and its
// confirmations reach every balancer, between failure domains only by a few datagrams.
func TestChangesReachAllBalancersThroughRelays(t *testing.T) {
	f := newFleet(85)
	p := Position{Era: 1, Revision: 7}
	f.read(time.Second, peerAt(0), p)
	must.EqOp(t, 0, f.without(p))
	must.EqOp(t, 2*relaysPerDomain, f.remote)
	must.LessEq(t, 28*2+85*(echoes+4), f.local)
	for _, m := range f.members {
		must.LessEq(t, 2, m.hops)
		m.confirms = 0
	}
	f.remote, f.local = 0, 0
	f.read(time.Second+700*time.Millisecond, peerAt(0), p)
	must.EqOp(t, 2*relaysPerDomain, f.remote)
	for peer, m := range f.members {
		must.True(t, m.confirms > 0 || peer == peerAt(0))
	}
	must.LessEq(t, 28+2*relaysPerDomain*28, f.local)
}

// A position is relayed once, however often it arrives; later confirmations are relayed again.
func TestPositionIsRelayedOnce(t *testing.T) {
	f := newFleet(85)
	m := f.members[peerAt(1)]
	peers := f.peersOf(peerAt(1))
	p := Position{Era: 1, Revision: 7}
	relayed := 0
	for i := range 10 {
		if len(m.Relay(time.Second+time.Duration(i)*time.Millisecond, peerAt(3*i), p, 1, peers)) > 0 {
			relayed++
		}
	}
	must.EqOp(t, 1, relayed)
	must.Len(t, 28-1, m.Relay(time.Second+relayInterval, peerAt(0), p, 1, peers))
	must.Len(t, 28-1, m.Relay(time.Second+relayInterval, peerAt(0), p, 2, peers), must.Sprint("other content"))
	must.SliceEmpty(t, m.Relay(time.Minute, peerAt(4), p, 1, peers), must.Sprint("from the own domain"))
}

// If a relay dies, the other one of its domain relays; once balancers no longer count the dead
// ones as alive, the next ones do.
func TestRelayDies(t *testing.T) {
	f := newFleet(85)
	reader := f.members[peerAt(0)]
	var relays []netip.AddrPort
	for _, peer := range reader.FromReader(f.peersOf(peerAt(0))) {
		if reader.IsRemote(peer) {
			relays = append(relays, peer)
		}
	}
	must.Len(t, 2*relaysPerDomain, relays)
	dead := map[netip.AddrPort]bool{relays[0]: true}
	f.lost = func(from, to netip.AddrPort) bool { return dead[from] || dead[to] }
	p := Position{Era: 1, Revision: 7}
	f.read(time.Second, peerAt(0), p)
	must.EqOp(t, len(dead), f.without(p))

	dead[relays[1]], dead[relays[2]], dead[relays[3]] = true, true, true
	f.order = slices.DeleteFunc(f.order, func(p netip.AddrPort) bool { return dead[p] })
	p.Revision++
	f.read(2*time.Second, peerAt(0), p)
	must.EqOp(t, len(dead), f.without(p))
}

// If the announcements of a balancer are lost, the others read the source themselves: none has
// an older directory than lastTakeover.
func TestAnnouncementsOfReaderAreLost(t *testing.T) {
	f := newFleet(85)
	f.lost = func(from, _ netip.AddrPort) bool { return from == peerAt(0) }
	p := Position{Era: 1, Revision: 7}
	f.read(time.Second, peerAt(0), p)
	must.EqOp(t, 84, f.without(p))
	due := 0
	for i := 1; i < 85; i++ {
		schedule := NewReaderSchedule(peerAt(i))
		for j := range 85 {
			schedule.RecordPeer(time.Second+lastTakeover, peerAt(j))
		}
		if schedule.Due(time.Second+lastTakeover, time.Second, true) {
			due++
		}
	}
	must.EqOp(t, 84, due)
	// The first that reads brings it to all others.
	f.read(time.Second, peerAt(1), p)
	must.EqOp(t, 0, f.without(p))
}

// At 3% loss a change reaches nearly all balancers at once and, with the reader's next
// announcements, all of them.
func TestRelaysWithLoss(t *testing.T) {
	f := newFleet(85)
	state := uint32(1)
	f.lost = func(_, _ netip.AddrPort) bool {
		state = state*1664525 + 1013904223
		return state>>16%100 < 3
	}
	missed := 0
	for revision := range 200 {
		p := Position{Era: 1, Revision: Revision(revision + 1)}
		now := time.Duration(revision+1) * 10 * time.Second
		f.read(now, peerAt(0), p)
		missed += f.without(p)
		for repeat := range 3 {
			f.read(now+time.Duration(repeat+1)*700*time.Millisecond, peerAt(0), p)
		}
		must.EqOp(t, 0, f.without(p))
	}
	t.Logf("without the change after the first announcement: %d of %d", missed, 200*84)
	must.LessEq(t, 200*84/100, missed)
}

// In a small deployment, and to balancers that do not state their failure domain, everything is
// announced as before.
func TestSmallFleetsAndOlderBuildsGetEveryAnnouncement(t *testing.T) {
	small := newFleet(smallFleet + 1)
	must.Len(t, smallFleet, small.members[peerAt(0)].FromReader(small.peersOf(peerAt(0))))
	must.Len(t, smallFleet, small.members[peerAt(0)].AfterFetch(0, peerAt(1), Position{}, 0, small.peersOf(peerAt(0))))

	older := NewDissemination(peerAt(0), "a")
	peers := newFleet(85).peersOf(peerAt(0))
	must.Len(t, 84, older.FromReader(peers))
	must.Len(t, 84, older.AfterFetch(0, peerAt(1), Position{}, 0, peers))
	must.SliceEmpty(t, older.Relay(0, peerAt(1), Position{Revision: 1}, 0, peers))
	must.False(t, older.RecordZone(peerAt(1), ""))
	must.False(t, older.IsRemote(peerAt(1)))
}

// A balancer announces its failure domain to each other one, once while that one's is not known, and
// again to one of another domain that announces to it.
func TestBalancersTellTheirDomain(t *testing.T) {
	d := NewDissemination(peerAt(0), "a")
	must.True(t, d.StatesDomain(time.Second, peerAt(1), false))
	must.False(t, d.StatesDomain(2*time.Second, peerAt(1), false))
	must.True(t, d.StatesDomain(time.Second+introductionInterval, peerAt(1), false))
	must.False(t, d.StatesDomain(time.Second, peerAt(0), false), must.Sprint("itself"))
	d.RecordZone(peerAt(1), "b")
	must.False(t, d.StatesDomain(time.Minute, peerAt(1), false))
	must.True(t, d.StatesDomain(time.Minute, peerAt(1), true))
	must.False(t, d.StatesDomain(time.Minute+time.Second, peerAt(1), true))
	d.RecordZone(peerAt(2), "a")
	must.False(t, d.StatesDomain(time.Hour, peerAt(2), true))
	unknown := Dissemination{}
	must.False(t, unknown.RecordZone(peerAt(1), "b"))
	must.False(t, unknown.StatesDomain(time.Second, peerAt(1), true))
}
