package packetbalancer

import (
	"errors"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/directory/exchange"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"
	"cactustray/settings"
)

const (
	// helloInterval is how often agents are greeted; they report to balancers
	// that greeted them within the last two seconds.
	helloInterval = 500 * time.Millisecond
	// eagerFor is how long after a change of the directory agents that are not heard
	// are greeted at each tick: machines that lost power together start within
	// seconds of each other.
	eagerFor = 3 * time.Second
	// seedDelay is how long the registry may take at the start before other
	// balancers are asked: many times its usual 4 ms.
	seedDelay = 150 * time.Millisecond
	// pauseLimit is the gap between two ticks that shows that the process did
	// not run.
	pauseLimit = time.Second
	// remapInterval is how often the map is made anew while endpoints that are
	// gone may still be in use.
	remapInterval = 250 * time.Millisecond
	// compareInterval is how often the answer times of a service's endpoints are
	// compared: a few reports of each.
	compareInterval = 250 * time.Millisecond
)

// reported tells which balancers an agent knows.
type reported struct{ balancers []flow.Address }

// heardNews brings another balancer's news.
type heardNews struct {
	wire.News
	from flow.Address
}

// state is the control state. The control goroutine owns it.
type state struct {
	settings  *settings.Settings
	log       *event.Log
	traffic   *forwarder
	reader    *reader
	healthy   *atomic.Bool
	directory *directory.State
	turn      *directory.Turn
	gauges    map[flow.Address]*placement.Gauge

	started time.Duration
	ticked  time.Duration
	greeted time.Duration
	mapped  time.Duration
	// compared is when answer times were compared last.
	compared time.Duration
	// whole tells that the next reading is of everything.
	whole bool
	// away tells that the last reading failed.
	away     bool
	fetching bool
	seeds    []netip.AddrPort
	leaving  bool
	// asOf is when the directory was known to be the newest, for traffic.
	asOf atomic.Int64
	// unsettled tells that endpoints that are gone may still be in use.
	unsettled bool
	elders    elders
	shown     shown
}

// shown is what the metrics show of the control state.
type shown struct{ version, ready, draining, gone, slow atomic.Int64 }

func newState(s *settings.Settings, log *event.Log, t *forwarder, r *reader, healthy *atomic.Bool) *state {
	now := clock.Now()
	return &state{
		settings: s, log: log, traffic: t, reader: r, healthy: healthy,
		directory: directory.NewState(), turn: directory.NewTurn(s.Packets.ReachedPeer()),
		gauges:  make(map[flow.Address]*placement.Gauge),
		started: now, ticked: now, whole: true, seeds: s.Packets.SeedAddresses(),
		elders: elders{asked: make(map[netip.AddrPort]bool), complete: s.Packets.FirstStart},
	}
}

// ageMillis returns the age of the directory, or -1 while there is none.
func (s *state) ageMillis() int64 {
	if s.asOf.Load() == 0 {
		return -1
	}
	return (clock.Now() - time.Duration(s.asOf.Load())).Milliseconds()
}

// begin is the first message: the directory is read at once.
type begin struct{}

// Handle applies one message.
func (s *state) Handle(_ time.Time, message control.Message) {
	now := clock.Now()
	switch m := message.(type) {
	case begin:
		s.readIfDue(now)
	case readEnded:
		s.readEnded(now, m)
	case fetchEnded:
		s.fetchEnded(now, m)
	case elderAnswered:
		s.elderAnswered(now, m)
	case heardNews:
		s.heardNews(now, m)
	case reported:
		for _, b := range m.balancers {
			s.turn.Met(now, b.AddrPort())
		}
		s.elders.heard = true
		s.learnDeparted(now)
	case exchange.Asked:
		m.Reply <- exchange.Held{Change: s.wholeDirectory(now), Known: s.directory.Known()}
	case *settings.Settings:
		s.apply(m)
	case leave:
		s.leave(now)
	}
}

// Tick does what time alone brings about.
func (s *state) Tick(_ time.Time, _ time.Duration) {
	now := clock.Now()
	if gap := now - s.ticked; gap > pauseLimit {
		s.log.Emit(EventPaused, event.Fields{"gap_ms": gap.Milliseconds()})
	}
	s.ticked = now
	s.readIfDue(now)
	s.askSeeds(now)
	s.learnDeparted(now)
	if now-s.greeted >= helloInterval {
		s.greet(now)
	} else if now-s.mapped < eagerFor {
		s.greetUnheard(now)
	}
	if s.unsettled && now-s.mapped >= remapInterval {
		s.publish(now)
	}
	if now-s.compared >= compareInterval {
		s.compared = now
		s.compareAnswers()
	}
}

// compareAnswers finds the endpoints that answer slowly.
func (s *state) compareAnswers() {
	slow := 0
	for _, service := range s.traffic.table.Load().Services {
		slow += placement.Compare(service.Candidates, func(i int, ratio float64) {
			e := EventEndpointSlow
			if ratio == 1 {
				e = EventEndpointUsual
			}
			s.log.Emit(e, event.Fields{"service": service.Name, "agent": service.Takers[i].Agent.String(), "ratio": ratio})
		})
	}
	s.shown.slow.Store(int64(slow))
}

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
	if m.err != nil {
		s.log.Emit(EventPeerFailed, event.Fields{"peer": m.from, "cause": m.err.Error()})
		return
	}
	s.adopt(now, m.from, m.change)
}

// wholeDirectory returns what this balancer knows, to hand on.
func (s *state) wholeDirectory(now time.Duration) directory.Change {
	change := s.directory.Whole(now)
	change.Complete = s.elders.complete
	change.Departed = slices.DeleteFunc(change.Departed, func(d directory.Departed) bool {
		gauge := s.gauges[s.agentOf(d.Address)]
		return gauge != nil && gauge.Left(now)
	})
	return change
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
	ready, draining, gone := s.countEndpoints()
	s.shown.version.Store(desired.Version)
	s.shown.ready.Store(ready)
	s.shown.draining.Store(draining)
	s.shown.gone.Store(gone)
	fields := event.Fields{"revision": s.directory.Revision(), "version": desired.Version, "source": source}
	if desired.Changed == s.directory.Revision() {
		s.log.Emit(EventDesired, fields)
		return
	}
	fields["ready"], fields["draining"], fields["gone"] = ready, draining, gone
	s.log.Emit(EventEndpoints, fields)
}

func (s *state) countEndpoints() (ready, draining, gone int64) {
	s.directory.Each(func(e *directory.Entry) {
		switch {
		case e.GoneAt != 0:
			gone++
		case e.Draining:
			draining++
		default:
			ready++
		}
	})
	return ready, draining, gone
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

// greet tells the agents that this balancer may send them flows.
func (s *state) greet(now time.Duration) {
	s.greeted = now
	for _, site := range s.traffic.table.Load().Agents {
		s.greetAgent(site)
	}
}

// greetUnheard greets the agents that have not answered, which may be starting.
func (s *state) greetUnheard(now time.Duration) {
	for _, site := range s.traffic.table.Load().Agents {
		if !site.Gauge.Alive(now) {
			s.greetAgent(site)
		}
	}
}

func (s *state) greetAgent(site *flow.Site) {
	hello := wire.Encode(wire.Hello{Slots: site.Slots, Leaving: s.leaving})
	s.traffic.counters.Send(s.traffic.peers, hello, site.Agent.AddrPort())
}

func (s *state) publish(now time.Duration) {
	s.mapped = now
	s.directory.Forget(now, s.settings.Packets.FlowLifetime())
	builder := newMapBuilder(now, s)
	s.traffic.table.Store(builder.build())
	s.traffic.early.end()
	s.unsettled = builder.unsettled
}

// apply takes changed settings in: addresses stay as they are until a restart.
func (s *state) apply(changed *settings.Settings) {
	s.seeds = changed.Packets.SeedAddresses()
	s.traffic.apply(changed.Packets)
	s.log.Emit(EventSettings, event.Fields{"seeds": len(s.seeds), "flow_seconds": changed.Packets.FlowSeconds, "stop_ms": changed.Packets.StopMillis})
}
