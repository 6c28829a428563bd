// Package placement distributes new flows and queued requests over the endpoints
// of one service. For agents, it stores the load that endpoints report to each
// other and decides whether a new flow stays at its home endpoint. For balancers of
// packets without a token, it chooses the endpoint of a new flow by the load that
// agents report to the balancer. Its decisions depend on no encoding, socket, clock
// or source of randomness: callers pass the time and random numbers in.
package placement

import (
	"net/netip"
	"time"

	"cactustray/steering"
	"cactustray/ticket"
)

// FullRamp is the ramp of a warm backend server, in percent.
const FullRamp = 100

// Load is one load report of an endpoint's agent.
type Load struct {
	Endpoint    ticket.EndpointKey
	Incarnation steering.Incarnation
	// Sequence numbers the reports of one incarnation.
	Sequence uint32
	// Slots is the number of requests that the endpoint runs at the same time.
	// Running and Queued are numbers of requests.
	Slots   uint32
	Running uint32
	Queued  uint32
	// Connections is the number of open connections; ConnectionLimit is the
	// most that may be open, or 0 if no limit is known.
	Connections     uint32
	ConnectionLimit uint32
	// Ramp is the share of the endpoint's weight that applies while its backend
	// server warms up, in percent.
	Ramp uint32
	// Leaving is true if the endpoint accepts no new work.
	Leaving bool
	// ExpectedWait is how long a request that arrives now would wait for a slot.
	// It is sent in whole milliseconds.
	ExpectedWait time.Duration
}

// Newer reports whether l replaces other: by incarnation, then by sequence.
func (l Load) Newer(other Load) bool {
	if l.Incarnation != other.Incarnation {
		return l.Incarnation > other.Incarnation
	}
	return l.Sequence > other.Sequence
}

// FreeSlots returns how many more requests could start now; it is negative if
// more are queued than slots are free.
func (l Load) FreeSlots() int { return int(l.Slots) - int(l.Running) - int(l.Queued) }

// Busy reports whether the endpoint has running or queued requests.
func (l Load) Busy() bool { return l.Running+l.Queued > 0 }

// full reports whether the endpoint has reached its connection limit.
func (l Load) full() bool { return l.ConnectionLimit > 0 && l.Connections >= l.ConnectionLimit }

// Peer is one endpoint of the service as its ticket lists it.
type Peer struct {
	Key      ticket.EndpointKey
	Name     string
	Datagram netip.AddrPort
	Control  netip.AddrPort
	Weight   uint32
	Draining bool
}

// PeersOf returns the endpoints that the ticket lists.
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

// PeerLoad is a peer with the last load received from it.
type PeerLoad struct {
	Peer
	Load Load
	// ReceivedAt is when Load was received.
	ReceivedAt time.Time
}

// acceptsNew reports whether the peer accepts new work.
func (p PeerLoad) acceptsNew() bool { return !p.Draining && !p.Load.Leaving }

// pressure returns a number by which endpoints are compared: the share of
// connections in use plus the share of slots in use, divided by the endpoint's
// weight and ramp. Queued requests count as slots in use, so that the share of
// slots can exceed 1.
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

// rampShare converts a ramp in percent to a share between 0.01 and 1.
func rampShare(percent uint32) float64 {
	return float64(min(max(percent, 1), FullRamp)) / FullRamp
}

// nominalWeight is the weight at which pressure, for a warm endpoint, is the sum
// of the shares in use.
const nominalWeight = 100

// RampAt returns the ramp, in percent, of a backend server that started age ago
// and is warm after coldTime. The ramp grows linearly.
func RampAt(age, coldTime time.Duration) uint32 {
	if age >= coldTime {
		return FullRamp
	}
	return uint32(max(age, 0) * FullRamp / coldTime)
}
