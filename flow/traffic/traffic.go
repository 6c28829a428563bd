// Package traffic has what the traffic goroutines of both packet roles count, and
// how they send.
package traffic

import (
	"net"
	"net/netip"
	"sync/atomic"

	"cactustray/flow"
	"cactustray/metrics"
)

// Counters count packets. All of it is safe for concurrent use.
type Counters struct {
	decisions [flow.ReasonCount]atomic.Int64
	// Malformed counts datagrams that could not be read.
	Malformed atomic.Int64
	// Resets counts flows that were ended towards their callers.
	Resets atomic.Int64
	unsent atomic.Int64
}

// Decided counts a decision on a packet.
func (c *Counters) Decided(reason flow.Reason) { c.decisions[reason].Add(1) }

// Send sends a datagram; one that the kernel does not take is counted, as lost.
func (c *Counters) Send(socket *net.UDPConn, b []byte, to netip.AddrPort) {
	if _, err := socket.WriteToUDPAddrPort(b, to); err != nil {
		c.unsent.Add(1)
	}
}

// Show adds the counters to a registry.
func (c *Counters) Show(registry *metrics.Registry) {
	for _, reason := range flow.Reasons() {
		registry.Gauge("packets."+reason.String(), c.decisions[reason].Load)
	}
	registry.Gauge("packets.malformed", c.Malformed.Load)
	registry.Gauge("packets.unsent", c.unsent.Load)
	registry.Gauge("resets", c.Resets.Load)
}
