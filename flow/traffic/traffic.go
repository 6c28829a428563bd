// Package traffic provides the packet counters of the traffic goroutines of both packet
// roles, and sends their datagrams.
package traffic

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"cactustray/event"
	"cactustray/flow"
	"cactustray/metrics"

	"github.com/sirupsen/logrus"
)

// EventMalformed is logged, at most once per malformedLogInterval, for datagrams that
// cannot be decoded.
var EventMalformed = event.Define(3601, logrus.WarnLevel, "datagram refused")

// malformedLogInterval bounds the log lines that a sender of malformed datagrams can
// cause.
const malformedLogInterval = time.Second

// Counters counts packets. All of it is safe for concurrent use.
type Counters struct {
	decisions [flow.ReasonCount]atomic.Int64
	malformed atomic.Int64
	// malformedLoggedAt is when EventMalformed was last logged.
	malformedLoggedAt atomic.Int64
	// Resets counts the flows that were ended by a reset to the caller.
	Resets atomic.Int64
	unsent atomic.Int64
	// Domains counts what is sent to other nodes.
	Domains Domains
}

// CountDecision counts a decision on a packet.
func (c *Counters) CountDecision(reason flow.Reason) { c.decisions[reason].Add(1) }

// CountMalformed counts a datagram that cannot be decoded, and logs it unless another was
// logged within malformedLogInterval. The datagram has no other effect.
func (c *Counters) CountMalformed(log *event.Log, now time.Duration, cause error) {
	count := c.malformed.Add(1)
	last := c.malformedLoggedAt.Load()
	if last != 0 && now-time.Duration(last) < malformedLogInterval || !c.malformedLoggedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	log.Emit(EventMalformed, event.Fields{"cause": cause.Error(), "so_far": count})
}

// Send sends a datagram. One that the kernel does not accept is lost, and counted as
// unsent.
func (c *Counters) Send(socket *net.UDPConn, b []byte, to netip.AddrPort) {
	if _, err := socket.WriteToUDPAddrPort(b, to); err != nil {
		c.unsent.Add(1)
	}
}

// Register registers the counters as metrics.
func (c *Counters) Register(registry *metrics.Registry) {
	for _, reason := range flow.Reasons() {
		registry.GaugeFunc("packets."+reason.String(), c.decisions[reason].Load)
	}
	registry.GaugeFunc("packets.malformed", c.malformed.Load)
	registry.GaugeFunc("packets.unsent", c.unsent.Load)
	registry.GaugeFunc("resets", c.Resets.Load)
	c.Domains.register(registry)
}
