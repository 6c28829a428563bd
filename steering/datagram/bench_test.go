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
	// benchFlows is the number of flows that send in turn.
	benchFlows = 1000
	// benchPayload is the payload size of a full datagram, in bytes.
	benchPayload = 1200
	// maxInFlight bounds the datagrams in flight between sender and receiver,
	// so that none is lost.
	maxInFlight = 64
)

// benchDatagrams returns one datagram of an open flow for each of benchFlows
// callers.
func benchDatagrams(b *testing.B, sealer *steering.Sealer, owner steering.Owner) [][]byte {
	datagrams := make([][]byte, benchFlows)
	for i := range datagrams {
		token := sealer.Seal(owner, uint32(i))
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 5000)
		header, err := FormatProxyHeader(ProxyHeader{Source: caller, Destination: serviceAddress})
		must.NoError(b, err)
		payload := append(append([]byte{0x40}, token[:]...), make([]byte, benchPayload)...)
		datagrams[i] = append(header, payload...)
	}
	return datagrams
}

// pump sends b.N datagrams to an address and waits until as many have arrived
// at sink.
func pump(b *testing.B, datagrams [][]byte, to netip.AddrPort, sink *net.UDPConn) {
	source := bind(b)
	inFlight := make(chan struct{}, maxInFlight)
	var sending sync.WaitGroup
	sending.Go(func() {
		for i := range b.N {
			inFlight <- struct{}{}
			_, _ = source.WriteToUDPAddrPort(datagrams[i%len(datagrams)], to)
		}
	})
	buffer := make([]byte, MaxDatagram)
	for range b.N {
		_, _, err := sink.ReadFromUDPAddrPort(buffer)
		must.NoError(b, err)
		<-inFlight
	}
	sending.Wait()
}

// BenchmarkForward compares, in one run, a balancer with a relay that only
// reads and writes datagrams. In both, one goroutine forwards and is the
// bottleneck.
func BenchmarkForward(b *testing.B) {
	sealer := newSealer(b, 1)
	b.Run("relay", func(b *testing.B) {
		in, sink := bind(b), bind(b)
		to := addressOf(sink)
		go func() {
			_ = Receive(context.Background(), in, 0, MaxDatagram, func(string, error) {}, func(raw []byte, _ netip.AddrPort) { _, _ = in.WriteToUDPAddrPort(raw, to) })
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
		go func() { _ = f.serve(context.Background(), f.Edge, "datagram", in.handle) }()
		datagrams := benchDatagrams(b, sealer, ownerOf(0, 1))
		b.ReportAllocs()
		b.ResetTimer()
		pump(b, datagrams, addressOf(f.Edge), sink)
	})
}

// BenchmarkPacket measures what a balancer does for one datagram, without
// sockets.
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
			ParseProxyHeader(raw)
		}
	})
}

// BenchmarkLoadReport reports the size of one load report on the wire.
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
