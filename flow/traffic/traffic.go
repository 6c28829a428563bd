// Package traffic has what the traffic goroutines of both packet roles count, and
// how they send.
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

// EventRefused is logged, at most once each refusedInterval, for datagrams that
// cannot be read.
var EventRefused = event.Define(3601, logrus.WarnLevel, "datagram refused")

// refusedInterval bounds what a sender of garbage costs in log lines.
const refusedInterval = time.Second

// Counters count packets. All of it is safe for concurrent use.
type Counters struct {
	decisions [flow.ReasonCount]atomic.Int64
	malformed atomic.Int64
	// refusedAt is when EventRefused was logged last.
	refusedAt atomic.Int64
	// Resets counts flows that were ended towards their callers.
	Resets atomic.Int64
	unsent atomic.Int64
}

// Decided counts a decision on a packet.
func (c *Counters) Decided(reason flow.Reason) { c.decisions[reason].Add(1) }

// Refused counts a datagram that cannot be read, and logs one now and then. It
// changes nothing else.
func (c *Counters) Refused(log *event.Log, now time.Duration, cause error) {
	count := c.malformed.Add(1)
	last := c.refusedAt.Load()
	if last != 0 && now-time.Duration(last) < refusedInterval || !c.refusedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	log.Emit(EventRefused, event.Fields{"cause": cause.Error(), "so_far": count})
}

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
	registry.Gauge("packets.malformed", c.malformed.Load)
	registry.Gauge("packets.unsent", c.unsent.Load)
	registry.Gauge("resets", c.Resets.Load)
}
