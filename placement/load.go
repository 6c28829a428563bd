// Package placement holds the duty of sharing new flows and waiting work among
// the endpoints of one service: the load the endpoints report to each other,
// and the decision whether a new flow stays at its home. Its decisions are
// free of encoding, sockets, clocks and randomness.
package placement

import (
	"net/netip"
	"time"

	"cactustray/steering"
	"cactustray/ticket"
)

// FullRamp is the ramp of a backend server that is warm, in percent.
const FullRamp = 100

// Load is what one endpoint's agent says of its work.
type Load struct {
	Endpoint    ticket.EndpointKey
	Incarnation steering.Incarnation
	// Sequence counts the reports of one incarnation.
	Sequence uint32
	// Slots is how many jobs run at once; Running and Queued are jobs.
	Slots   uint32
	Running uint32
	Queued  uint32
	// Connections are open; ConnectionLimit bounds them, 0 meaning that no
	// limit is known.
	Connections     uint32
	ConnectionLimit uint32
	// Ramp is the share of its weight that a cold backend server takes, in
	// percent.
	Ramp uint32
	// Leaving tells that the endpoint takes no new work.
	Leaving bool
	// ExpectedWait is how long a job that arrives now waits for a slot; on
	// the wire it has whole milliseconds.
	ExpectedWait time.Duration
}

// Newer tells whether l replaces other.
func (l Load) Newer(other Load) bool {
	if l.Incarnation != other.Incarnation {
		return l.Incarnation > other.Incarnation
	}
	return l.Sequence > other.Sequence
}

// FreeSlots returns how many jobs could start at once.
func (l Load) FreeSlots() int { return int(l.Slots) - int(l.Running) - int(l.Queued) }

// Busy tells whether the endpoint runs or queues jobs.
func (l Load) Busy() bool { return l.Running+l.Queued > 0 }

// full tells whether the endpoint may open no more connections.
func (l Load) full() bool { return l.ConnectionLimit > 0 && l.Connections >= l.ConnectionLimit }

// Peer is one endpoint of the service as its ticket has it.
type Peer struct {
	Key      ticket.EndpointKey
	Name     string
	Datagram netip.AddrPort
	Control  netip.AddrPort
	Weight   uint32
	Draining bool
}

// PeersOf returns the endpoints of a ticket.
func PeersOf(t *ticket.Ticket) []Peer {
	peers := make([]Peer, 0, len(t.Endpoints))
	for _, e := range t.Endpoints {
		peers = append(peers, Peer{
			Key:      ticket.EndpointKeyOf(t.Service, e.Name),
			Name:     e.Name,
			Datagram: e.Datagram,
			Control:  e.Control,
			Weight:   e.Weight,
			Draining: e.Draining,
		})
	}
	return peers
}

// PeerLoad is a peer with the last load heard from it.
type PeerLoad struct {
	Peer
	Load Load
	// Heard is when the load was received.
	Heard time.Time
}

// takesNew tells whether new work may go to the peer.
func (p PeerLoad) takesNew() bool { return !p.Draining && !p.Load.Leaving }

// pressure compares endpoints: the share of connections and of slots in use,
// relative to the endpoint's weight and ramp. A queue counts beyond 1.
func (p PeerLoad) pressure() float64 { return pressure(p.Load, p.Weight) }

func pressure(l Load, weight uint32) float64 {
	share := 0.0
	if l.ConnectionLimit > 0 {
		share += float64(l.Connections) / float64(l.ConnectionLimit)
	}
	if l.Slots > 0 {
		share += float64(l.Running+l.Queued) / float64(l.Slots)
	}
	return share * nominalWeight / (float64(max(weight, 1)) * rampShare(l.Ramp))
}

func rampShare(percent uint32) float64 {
	return float64(min(max(percent, 1), FullRamp)) / FullRamp
}

// nominalWeight is the weight at which pressure is the bare share in use.
const nominalWeight = 100

// RampAt returns the ramp of a backend server of the given age that is warm
// after coldTime.
func RampAt(age, coldTime time.Duration) uint32 {
	if age >= coldTime {
		return FullRamp
	}
	return uint32(max(age, 0) * FullRamp / coldTime)
}
