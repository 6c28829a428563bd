package packetbalancer

import (
	"sync/atomic"
	"time"

	"cactustray/event"
)

// transferMargin is how much later the route history may seem to begin after several balancers
// took it over from each other, each by the time of a transfer.
const transferMargin = time.Second

// survivors shows whether agents outlived all balancers: whether one has known balancers for
// longer than any balancer has run without interruption. After a loss of power on all machines
// no agent has, since the first balancer to start knew the routes before any agent knew it.
//
// Only the goroutine that receives reports records them, so that a flow which an agent denies
// is decided with what that agent has reported before.
type survivors struct {
	// firstHello is when the first hello message of any balancer reached an agent, or 0 if no
	// agent has reported that.
	firstHello atomic.Int64
	// runningSince is that of the control state, which writes it.
	runningSince atomic.Int64
}

// record stores that an agent has known balancers for the given time; 0 if it does not report
// that.
func (s *survivors) record(now, known time.Duration) {
	if known == 0 {
		return
	}
	at, earliest := int64(now-known), s.firstHello.Load()
	if earliest == 0 || at < earliest {
		s.firstHello.Store(at)
	}
}

// outlived reports whether agents outlived all balancers.
func (s *survivors) outlived() bool {
	firstHello := s.firstHello.Load()
	return firstHello != 0 && time.Duration(firstHello) < time.Duration(s.runningSince.Load())-transferMargin
}

// recordRunningSince takes over the begin of the route history, unless it begins later than
// known: then balancers lost it while they ran.
func (s *state) recordRunningSince() {
	if since := s.directory.RouteHistorySince(); s.directory.Known() && (s.runningSince == 0 || since < s.runningSince) {
		s.runningSince = since
		s.traffic.survivors.runningSince.Store(int64(since))
	}
}

// recordSurvivors logs once that agents outlived all balancers, after the other balancers have
// answered.
func (s *state) recordSurvivors(now time.Duration) {
	if s.survivorsLogged || !s.survey.complete || s.historyKnown || !s.traffic.survivors.outlived() {
		return
	}
	s.survivorsLogged = true
	s.log.Emit(EventOutlived, event.Fields{
		"running_ms": (now - s.runningSince).Milliseconds(), "agents": len(s.traffic.table.Load().Agents),
	})
}
