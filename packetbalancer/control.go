package packetbalancer

import (
	"net/netip"
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
	survey    survey
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
		survey: survey{asked: make(map[netip.AddrPort]bool), complete: s.Packets.FirstStart},
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
	case surveyed:
		s.surveyed(now, m)
	case heardNews:
		s.heardNews(now, m)
	case reported:
		for _, b := range m.balancers {
			s.turn.Met(now, b.AddrPort())
		}
		s.survey.heard = true
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

func (s *state) publish(now time.Duration) {
	s.mapped = now
	s.directory.Forget(now, s.settings.Packets.FlowLifetime())
	s.show()
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

// show updates what the metrics show.
func (s *state) show() {
	var ready, draining, gone int64
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
	s.shown.version.Store(s.directory.Desired().Version)
	s.shown.ready.Store(ready)
	s.shown.draining.Store(draining)
	s.shown.gone.Store(gone)
}
