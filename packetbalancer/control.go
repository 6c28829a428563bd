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
	"cactustray/flow/handover"
	"cactustray/flow/wire"
	"cactustray/placement"
	"cactustray/settings"
)

const (
	// helloInterval is the interval between hello messages to an agent of the own failure domain,
	// or of a service with few endpoints. Such agents report to the balancers that sent one within
	// the last two seconds; contact.Hellos has the times for the others.
	helloInterval = 500 * time.Millisecond
	// eagerHelloPeriod is how long after a change of the directory unresponsive
	// agents get a hello message at each tick: machines that lost power together
	// start within seconds of each other.
	eagerHelloPeriod = 3 * time.Second
	// seedDelay is how long the registry may take to answer after the start before
	// other balancers are queried: many times its usual 4 ms.
	seedDelay = 150 * time.Millisecond
	// pauseThreshold is the longest gap between two ticks; a longer one means that
	// the process was paused.
	pauseThreshold = time.Second
	// rebuildInterval is how often the routing table is rebuilt while it uses departed or
	// draining endpoints.
	rebuildInterval = 250 * time.Millisecond
	// formerInterval is how often it is rebuilt while routes may have flows at former
	// services, which are removed once these flows are older than any flow may be.
	formerInterval = 5 * time.Second
	// compareInterval is how often the processing times of a service's endpoints are
	// compared. Each endpoint reports a few times in between.
	compareInterval = 250 * time.Millisecond
	// correctionInterval is the least pause between two corrections of other balancers.
	correctionInterval = 200 * time.Millisecond
)

// reportReceived is the message that lists the balancers an agent reports to.
type reportReceived struct{ balancers []flow.Address }

// announcementReceived is the message that brings another balancer's announcement
// of its directory to the control goroutine.
type announcementReceived struct {
	wire.DirectoryAnnouncement
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
	schedule  *directory.ReaderSchedule
	// history schedules queries for the route history, and historyKnown is whether the
	// routing table was built with it.
	history      *directory.HistorySchedule
	historyKnown bool
	// runningSince is since when balancers have run without interruption, as far as this one
	// knows, or 0 while it has no directory.
	runningSince time.Duration
	// survivorsLogged is true once it was logged that agents outlived all balancers.
	survivorsLogged bool
	loads           map[flow.Address]*placement.AgentLoad
	serviceIDs      flow.ServiceIDs
	handovers       handover.Store
	// introduced has the agents that introduced themselves, and when they first did.
	introduced map[flow.Address]time.Duration
	// introducedChanged is true if the routing table lacks some of them.
	introducedChanged bool
	contacts          contacts
	// dissemination decides which balancers get announcements.
	dissemination directory.Dissemination

	started     time.Duration
	lastTick    time.Duration
	lastHello   time.Duration
	lastPublish time.Duration
	// lastComparison is when processing times were last compared.
	lastComparison time.Duration
	// fullRead is true if the next read must load the whole directory.
	fullRead bool
	// lastCorrection is when a balancer was last told that its directory lacks content.
	lastCorrection time.Duration
	// loggedVersion is the version of the desired state that was last logged.
	loggedVersion int64
	// sourceDown is true if the last read of the registry failed.
	sourceDown bool
	fetching   bool
	// contentDiffers is true if another balancer has other content at the same revision, or
	// sent an increment that cannot be applied.
	contentDiffers bool
	seeds          []netip.AddrPort
	// drainLimit is how long after it began to drain an endpoint may get new flows.
	drainLimit time.Duration
	leaving    bool
	// asOf is when the directory was last known to be the newest, or 0 if there is
	// none. Traffic goroutines read it.
	asOf atomic.Int64
	// tableExpires is true if the routing table uses departed or draining endpoints, which
	// it may do only for a time.
	tableExpires bool
	// hasFormer is true if routes may have flows at former services.
	hasFormer bool
	// settlesAt is the SettledAt of the routing table while that is in the future, or 0.
	settlesAt time.Duration
	survey    survey
	crossing  event.Episode
	// loggedEvacuations are the evacuations that were logged.
	loggedEvacuations loggedEvacuations
	metricValues      metricValues
}

// metricValues holds the control state's values for the metrics.
type metricValues struct {
	era, revision, version, ready, draining, gone, slow, evacuations, evacuated atomic.Int64
}

func newState(s *settings.Settings, log *event.Log, f *forwarder, r *reader, healthy *atomic.Bool) *state {
	now := clock.Now()
	known := directory.NewState()
	if s.Packets.FirstStart {
		known.FirstStart()
	}
	return &state{
		settings: s, log: log, traffic: f, reader: r, healthy: healthy,
		directory: known, schedule: directory.NewReaderSchedule(s.Packets.AdvertisedPeer()),
		history:       directory.NewHistorySchedule(s.Packets.AdvertisedPeer()),
		dissemination: directory.NewDissemination(s.Packets.AdvertisedPeer(), s.Zone),
		loads:         make(map[flow.Address]*placement.AgentLoad), introduced: make(map[flow.Address]time.Duration),
		loggedEvacuations: make(loggedEvacuations),
		started:           now, lastTick: now, fullRead: true, seeds: s.Packets.SeedAddresses(), drainLimit: s.Packets.DrainLimit(),
		crossing: newCrossing(),
		survey:   survey{queried: make(map[netip.AddrPort]bool), complete: s.Packets.FirstStart},
	}
}

// ageMillis returns the age of the directory in milliseconds, or -1 if there is none.
func (s *state) ageMillis() int64 {
	if s.asOf.Load() == 0 {
		return -1
	}
	return (clock.Now() - time.Duration(s.asOf.Load())).Milliseconds()
}

// begin is the first message; it starts the first read of the directory.
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
	case surveyEnded:
		s.surveyEnded(now, m)
	case announcementReceived:
		s.announcementReceived(now, m)
	case reportReceived:
		for _, b := range m.balancers {
			s.schedule.RecordPeer(now, b.AddrPort())
			s.stateDomainTo(now, b.AddrPort(), false)
		}
		if s.survey.agentReportedAt == 0 {
			s.survey.agentReportedAt = now
		}
		s.surveyPeers(now)
	case agentIntroduced:
		s.agentIntroduced(now, m)
	case handoverReceived:
		s.handovers.Add(now, m.agent, m.part)
	case handoverQueried:
		s.passOnHandover(m)
	case exchange.SnapshotRequested:
		m.Reply <- exchange.SnapshotReply{Change: s.directorySnapshot(now, m.Request), Known: s.directory.Known()}
	case *settings.Settings:
		s.apply(m)
	case leave:
		s.leave(now)
	}
}

// Tick does the periodic work.
func (s *state) Tick(_ time.Time, _ time.Duration) {
	now := clock.Now()
	if gap := now - s.lastTick; gap > pauseThreshold {
		s.log.Emit(EventPaused, event.Fields{"gap_ms": gap.Milliseconds()})
	}
	s.lastTick = now
	s.readIfDue(now)
	s.fetchFromSeeds(now)
	s.surveyPeers(now)
	s.queryRouteHistory(now)
	s.admitTraffic(now, "registry")
	if now-s.lastHello >= helloInterval {
		s.sendHellos(now)
	} else if now-s.lastPublish < eagerHelloPeriod {
		s.sendHellosToUnresponsive(now)
	}
	s.sendRemoteHellos(now)
	s.awaitSuccessors(now)
	s.checkContacts(now)
	s.recordSurvivors(now)
	s.publishIntroduced(now)
	switch {
	case s.tableExpires && now-s.lastPublish >= rebuildInterval,
		s.hasFormer && now-s.lastPublish >= formerInterval,
		s.settlesAt != 0 && now >= s.settlesAt:
		s.publish(now)
	}
	s.crossing.Observe(now, s.traffic.placements.outOfRoom.Load(), s.log)
	if now-s.lastComparison >= compareInterval {
		s.lastComparison = now
		s.compareProcessingTimes()
	}
}

// publish builds a routing table from the directory and makes the traffic
// goroutines use it.
func (s *state) publish(now time.Duration) {
	s.lastPublish, s.introducedChanged = now, false
	s.directory.RemoveExpired(now, s.settings.Packets.FlowLifetime())
	s.recordRunningSince()
	s.removeSilentIntroduced(now)
	s.updateMetrics()
	s.recordRouteHistory(now)
	builder := newTableBuilder(now, s)
	table := builder.build()
	s.traffic.table.Store(table)
	s.traffic.heldRoutes.Retain(table)
	s.recordDomains()
	s.endContacts()
	s.traffic.endSearches(now)
	s.recordEvacuations(table)
	s.tableExpires, s.hasFormer = builder.hasDeparted || builder.hasDraining, builder.hasFormer
	s.settlesAt = 0
	if now < table.SettledAt {
		s.settlesAt = table.SettledAt
	}
}

// apply applies changed settings, except addresses, which need a restart.
func (s *state) apply(changed *settings.Settings) {
	before := s.settings.Packets
	s.seeds, s.drainLimit = changed.Packets.SeedAddresses(), changed.Packets.DrainLimit()
	applied, packets := *s.settings, *s.settings.Packets
	packets.FlowSeconds = changed.Packets.FlowSeconds
	packets.EvacuateMillis = changed.Packets.EvacuateMillis
	packets.ColdExcess, packets.ColdSlack = changed.Packets.ColdExcess, changed.Packets.ColdSlack
	applied.Packets = &packets
	s.settings = &applied
	s.traffic.apply(changed.Packets)
	s.log.Emit(EventSettings, event.Fields{"seeds": len(s.seeds), "flow_seconds": changed.Packets.FlowSeconds, "stop_ms": changed.Packets.StopMillis})
	s.publishSettings(clock.Now(), before)
}

// updateMetrics updates the values that the metrics read.
func (s *state) updateMetrics() {
	var ready, draining, gone int64
	s.directory.Each(func(e *directory.Entry) {
		switch {
		case e.DepartedAt != 0:
			gone++
		case e.Draining:
			draining++
		default:
			ready++
		}
	})
	s.metricValues.version.Store(s.directory.Desired().Version)
	s.metricValues.ready.Store(ready)
	s.metricValues.draining.Store(draining)
	s.metricValues.gone.Store(gone)
}
