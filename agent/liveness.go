package agent

import (
	"net/netip"
	"time"

	"cactustray/liveness"
	"cactustray/liveness/heartbeat"
	"cactustray/steering/datagram"
	"cactustray/ticket"
)

// report is what the heartbeat goroutine tells balancers.
type report struct {
	fact    liveness.Fact
	digests []ticket.Digest
}

// answered brings a balancer's answer to the control goroutine.
type answered struct{ answer heartbeat.Answer }

// drain tells the control goroutine that the process stops as planned.
type drain struct{ done chan<- struct{} }

func (s *state) sendReport() {
	r := report{fact: s.fact}
	if entry := s.tickets.Entry(s.service); entry != nil {
		r.digests = []ticket.Digest{ticket.DigestOf(entry.Held)}
	}
	select {
	case s.report <- r:
	default: // the heartbeat goroutine is busy; the next tick reports anew
	}
}

func (s *state) learnBalancers(answer heartbeat.Answer) {
	var routes datagram.Routes
	for _, b := range answer.Balancers {
		if address, err := netip.ParseAddrPort(b.Datagram); err == nil {
			routes.Balancers = append(routes.Balancers, address)
		}
	}
	if len(routes.Balancers) > 0 {
		s.published.residence.Routes.Store(&routes)
	}
}

func (s *state) drain(now time.Time, m drain) {
	s.admission.drain(now)
	s.fact.State = liveness.Leaving
	s.fact.Version++
	s.sendReport()
	close(m.done)
}
