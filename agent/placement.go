package agent

import (
	"context"
	"time"

	"cactustray/placement"
	"cactustray/steering"
	"cactustray/steering/datagram"
	"cactustray/ticket"
)

// warmUpTime is how long a backend server takes to warm up. Its share of new flows
// grows linearly during that time.
const warmUpTime = 10 * time.Second

// loadReport is a load to send to peers.
type loadReport struct {
	peers []placement.Peer
	load  placement.Load
}

// publishSteering applies the ticket in force to the snapshots that are used to
// steer datagrams and to place new flows. It does nothing if they already have it.
func (s *state) publishSteering(t *ticket.Ticket) {
	shared := &s.published.shared
	current := shared.Steering.Load()
	next := current.WithTicket(t)
	if next == current {
		return
	}
	shared.Steering.Store(next)
	shared.Connections.SetLimit(t.Limits.Connections)
	s.placement.SetPeers(placement.PeersOf(t))
}

// publishLoads publishes the loads that are used to place new flows, and sends this
// endpoint's own load to peers if a report is due.
func (s *state) publishLoads(now time.Time) {
	s.placement.SetOwn(s.load(now))
	s.published.shared.View.Store(s.placement.View(now))
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
		Connections: s.published.shared.Connections.Open(),
		Ramp:        placement.RampAt(now.Sub(s.started), warmUpTime),
		Leaving:     s.draining.drain.Leaving(),
	}
	if t := s.published.ticket.Load(); t != nil {
		load.Slots = t.Limits.Slots
		load.ConnectionLimit = t.Limits.Connections
	}
	return load
}

// requestNewerTicket handles the notice that a sender routes by a newer ticket than
// the one in force here. It requests a heartbeat; the ticket is fetched from a
// balancer whose answer names a newer one.
func (s *state) requestNewerTicket(m steering.NewerTicket) {
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
			conn.SendLoad(r.peers, r.load)
		}
	}
}
