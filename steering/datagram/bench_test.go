package datagram

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"cactustray/placement"
	"cactustray/steering"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

const (
	// benchFlows is how many flows send in turn.
	benchFlows = 1000
	// benchPayload is the size of a full datagram, in bytes.
	benchPayload = 1200
	// inFlight bounds the datagrams between sender and receiver, so that none
	// is lost.
	inFlight = 64
)

// benchDatagrams are datagrams of open flows, of as many callers.
func benchDatagrams(b *testing.B, sealer *steering.Sealer, owner steering.Owner) [][]byte {
	datagrams := make([][]byte, benchFlows)
	for i := range datagrams {
		token := sealer.Seal(owner, uint32(i))
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 5000)
		header, err := FormatEdge(Edge{Source: caller, Destination: serviceAddress})
		must.NoError(b, err)
		payload := append(append([]byte{0x40}, token[:]...), make([]byte, benchPayload)...)
		datagrams[i] = append(header, payload...)
	}
	return datagrams
}

// pump sends datagrams to an address and waits for each to come out at sink.
func pump(b *testing.B, datagrams [][]byte, to netip.AddrPort, sink *net.UDPConn) {
	source := bind(b)
	tokens := make(chan struct{}, inFlight)
	var sending sync.WaitGroup
	sending.Go(func() {
		for i := range b.N {
			tokens <- struct{}{}
			_, _ = source.WriteToUDPAddrPort(datagrams[i%len(datagrams)], to)
		}
	})
	buffer := make([]byte, MaxDatagram)
	for range b.N {
		_, _, err := sink.ReadFromUDPAddrPort(buffer)
		must.NoError(b, err)
		<-tokens
	}
	sending.Wait()
}

// BenchmarkForward compares a whole balancer with a relay that only reads and
// writes, in one run. One goroutine forwards; its time is what limits.
func BenchmarkForward(b *testing.B) {
	sealer := newSealer(b, 1)
	b.Run("relay", func(b *testing.B) {
		in, sink := bind(b), bind(b)
		to := addressOf(sink)
		go func() {
			_ = untilClosed(context.Background(), in, func(raw []byte, _ netip.AddrPort) { _, _ = in.WriteToUDPAddrPort(raw, to) })
		}()
		datagrams := benchDatagrams(b, sealer, ownerOf(0, 1))
		b.ReportAllocs()
		b.ResetTimer()
		pump(b, datagrams, addressOf(in), sink)
	})
	b.Run("balancer", func(b *testing.B) {
		sink := bind(b)
		f, _ := newForwarder(b, sealer, addressOf(bind(b)), tableOf(ordersTicket(1, addressOf(sink))))
		in := f.newInbound()
		go func() { _ = untilClosed(context.Background(), f.Edge, in.handle) }()
		datagrams := benchDatagrams(b, sealer, ownerOf(0, 1))
		b.ReportAllocs()
		b.ResetTimer()
		pump(b, datagrams, addressOf(f.Edge), sink)
	})
}

// BenchmarkPacket is a balancer's work on one datagram, without sockets.
func BenchmarkPacket(b *testing.B) {
	sealer := newSealer(b, 1)
	table := tableOf(ordersTicket(1, callerAddress))
	f, _ := newForwarder(b, sealer, callerAddress, table)
	for _, flows := range []int{benchFlows, 1} {
		b.Run(fmt.Sprintf("inbound/flows=%d", flows), func(b *testing.B) {
			datagrams := benchDatagrams(b, sealer, ownerOf(0, 1))[:flows]
			in := f.newInbound()
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				in.forward(datagrams[i%flows])
				i++
			}
		})
	}
	b.Run("outbound", func(b *testing.B) {
		reply := Envelope{
			Service:  ticket.ServiceKeyOf("orders"),
			Endpoint: ownerOf(0, 1).Endpoint,
			Caller:   callerAddress,
			Payload:  make([]byte, benchPayload),
		}
		raw := reply.Append(nil)
		out := f.newOutbound()
		b.ReportAllocs()
		for b.Loop() {
			out.forward(raw, callerAddress)
		}
	})
	b.Run("header not cached", func(b *testing.B) {
		raw := benchDatagrams(b, sealer, ownerOf(0, 1))[0]
		b.ReportAllocs()
		for b.Loop() {
			ParseEdge(raw)
		}
	})
}

// BenchmarkLoadReport gives the size of one load report on the wire.
func BenchmarkLoadReport(b *testing.B) {
	const headers = 20 + 8 // IPv4 and UDP, in bytes
	report := Envelope{Service: ticket.ServiceKeyOf("orders"), Endpoint: ownerOf(0, 1).Endpoint, IsLoad: true, Load: placement.Load{
		Incarnation: 1 << 31, Sequence: 1 << 20, Slots: 4, Running: 4, Queued: 30, Connections: 1500,
		ConnectionLimit: 2000, Ramp: placement.FullRamp, ExpectedWait: time.Second,
	}}
	var raw []byte
	for b.Loop() {
		raw = report.Append(raw[:0])
	}
	b.ReportMetric(float64(len(raw)+headers), "B/report")
}
