package traffic

import (
	"net"
	"net/netip"
	"sync/atomic"

	"cactustray/flow/wire"
	"cactustray/metrics"
)

// headerSize is the length of the IPv4 and UDP headers of a datagram.
const headerSize = 28

// fetch is the name of the kind of directories fetched between balancers.
const fetch = "fetch"

// amount counts messages and their bytes.
type amount struct{ datagrams, bytes atomic.Int64 }

// Domains counts the bytes that a node sends to other nodes, by kind of message, within its
// failure domain and to others. Nodes whose failure domain is not known count as local. It is
// safe for concurrent use.
type Domains struct {
	// remote has the IP addresses of the nodes in other failure domains. A new set replaces
	// it, since every datagram reads it.
	remote atomic.Pointer[map[[4]byte]bool]
	kinds  [wire.KindCount][2]amount
	fetch  [2]atomic.Int64
}

// SetRemote sets the IP addresses of the nodes in other failure domains. The caller must not
// change the set afterwards.
func (d *Domains) SetRemote(remote map[[4]byte]bool) { d.remote.Store(&remote) }

// side returns 1 for a node in another failure domain, else 0.
func (d *Domains) side(node netip.Addr) int {
	remote := d.remote.Load()
	if node = node.Unmap(); remote != nil && node.Is4() && (*remote)[node.As4()] {
		return 1
	}
	return 0
}

// count counts a datagram, with its headers.
func (d *Domains) count(b []byte, to netip.Addr) {
	counted := &d.kinds[wire.MessageKindOf(b)][d.side(to)]
	counted.datagrams.Add(1)
	counted.bytes.Add(int64(len(b) + headerSize))
}

// CountFetch counts bytes of a directory that is fetched from another balancer, without
// headers below HTTP.
func (d *Domains) CountFetch(peer netip.Addr, bytes int) { d.fetch[d.side(peer)].Add(int64(bytes)) }

// Sent returns the number of datagrams of a kind that were sent, and their bytes, to nodes in
// other failure domains or in the same.
func (d *Domains) Sent(kind wire.MessageKind, remote bool) (datagrams, bytes int64) {
	counted := &d.kinds[kind][0]
	if remote {
		counted = &d.kinds[kind][1]
	}
	return counted.datagrams.Load(), counted.bytes.Load()
}

func (d *Domains) register(registry *metrics.Registry) {
	for side, name := range []string{"local", "remote"} {
		for kind := range wire.KindCount {
			prefix := "traffic." + kind.String() + "." + name
			counted := &d.kinds[kind][side]
			registry.GaugeFunc(prefix+".bytes", counted.bytes.Load)
			registry.GaugeFunc(prefix+".datagrams", counted.datagrams.Load)
		}
		registry.GaugeFunc("traffic."+fetch+"."+name+".bytes", d.fetch[side].Load)
	}
}

// SendToNode sends a datagram to another node of the system, as Send does, and counts it.
func (c *Counters) SendToNode(socket *net.UDPConn, b []byte, to netip.AddrPort) {
	c.Domains.count(b, to.Addr())
	c.Send(socket, b, to)
}
