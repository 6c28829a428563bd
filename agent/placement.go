package agent

import (
	"context"
	"time"

	"cactustray/placement"
	"cactustray/steering"
	"cactustray/steering/datagram"
	"cactustray/ticket"
)

// coldTime is how long a backend server takes to warm up: its share of new
// flows grows evenly meanwhile.
const coldTime = 10 * time.Second

// loadReport is one load on its way to peers.
type loadReport struct {
	peers []placement.Peer
	load  placement.Load
}

// steerBy takes the ticket in force into the snapshots that datagrams are
// steered and new flows placed by.
func (s *state) steerBy(t *ticket.Ticket) {
	residence := &s.published.residence
	current := residence.Steering.Load()
	next := current.Next(t)
	if next == current {
		return
	}
	residence.Steering.Store(next)
	residence.Connections.SetLimit(t.Limits.Connections)
	s.placement.SetPeers(placement.PeersOf(t))
}

// placeByLoad publishes the loads that new flows are placed by, and reports
// this endpoint's own when it is due.
func (s *state) placeByLoad(now time.Time) {
	s.placement.SetOwn(s.load(now))
	s.published.residence.View.Store(s.placement.View(now))
	peers, load := s.placement.Report(now)
	if len(peers) == 0 {
		return
	}
	select {
	case s.loads <- loadReport{peers: peers, load: load}:
	default: // the sender is busy; the next report replaces this one
	}
}

func (s *state) load(now time.Time) placement.Load {
	running, queued := s.admission.queue.Jobs()
	load := placement.Load{
		Incarnation: s.reporting.self.Fact().Incarnation,
		Running:     uint32(running),
		Queued:      uint32(queued),
		Connections: s.published.residence.Connections.Open(),
		Ramp:        placement.RampAt(now.Sub(s.started), coldTime),
		Leaving:     s.draining.drain.Leaving(),
	}
	if t := s.published.ticket.Load(); t != nil {
		load.Slots = t.Limits.Slots
		load.ConnectionLimit = t.Limits.Connections
	}
	return load
}

// behind learns that a sender routes by a newer ticket than the one in force
// here: the next heartbeat's answer says so and brings it.
func (s *state) behind(m steering.Behind) {
	entry := s.tickets.Entry(m.Service)
	if entry != nil && entry.Ticket.Number >= m.Ticket {
		return
	}
	s.reporting.dirty = true
}

// sendLoads sends load reports until the context ends.
func sendLoads(ctx context.Context, conn *datagram.Conn, loads <-chan loadReport) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-loads:
			conn.Report(r.peers, r.load)
		}
	}
}
