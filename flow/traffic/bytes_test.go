package traffic

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"cactustray/flow/wire"
	"cactustray/metrics"

	"github.com/shoenig/test/must"
)

// Guards against bytes between failure domains that operators cannot see, and against a node of
// an unknown failure domain that counts as remote.
func TestBytesAreCountedByKindAndDomain(t *testing.T) {
	var c Counters
	hello, news := wire.Encode(wire.Hello{Slots: 2}), wire.Encode(wire.DirectoryAnnouncement{Digest: 1})
	near, far := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.1.1")
	c.Domains.count(hello, far)
	c.Domains.SetRemote(map[[4]byte]bool{far.As4(): true})
	c.Domains.count(hello, near)
	c.Domains.count(hello, far)
	c.Domains.count(news, far)
	c.Domains.CountFetch(far, 500)
	registry := metrics.New()
	c.Register(registry)
	response := httptest.NewRecorder()
	registry.ServeHTTP(response, httptest.NewRequest(http.MethodGet, metrics.Path, nil))
	var shown map[string]struct{ Value int64 }
	must.NoError(t, json.Unmarshal(response.Body.Bytes(), &shown))
	must.EqOp(t, 2*int64(len(hello)+headerSize), shown["traffic.hello.local.bytes"].Value)
	must.EqOp(t, int64(len(hello)+headerSize), shown["traffic.hello.remote.bytes"].Value)
	must.EqOp(t, int64(1), shown["traffic.hello.remote.datagrams"].Value)
	must.EqOp(t, int64(len(news)+headerSize), shown["traffic.announcement.remote.bytes"].Value)
	must.EqOp(t, 0, shown["traffic.announcement.local.bytes"].Value)
	must.EqOp(t, 500, shown["traffic.fetch.remote.bytes"].Value)
	for kind := range wire.KindCount {
		_, ok := shown["traffic."+kind.String()+".remote.bytes"]
		must.True(t, ok, must.Sprint(kind))
	}
}

// The cost of the count, which every forwarded packet pays.
func BenchmarkCount(b *testing.B) {
	var d Domains
	remote := make(map[[4]byte]bool)
	for i := range 200 {
		remote[[4]byte{10, 0, 1, byte(i)}] = true
	}
	d.SetRemote(remote)
	datagram, to := []byte{byte(wire.Forward), 0}, netip.MustParseAddr("10.0.1.7")
	b.ReportAllocs()
	for b.Loop() {
		d.count(datagram, to)
	}
}
