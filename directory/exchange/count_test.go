package exchange

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactustray/directory"
	"cactustray/directory/directorypb"
	"cactustray/directory/directorypb/directorypbconnect"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
)

type fixedDirectory struct {
	directorypbconnect.UnimplementedDirectoryServiceHandler
	size int
}

func (f fixedDirectory) Fetch(context.Context, *directorypb.FetchRequest) (*directorypb.FetchResponse, error) {
	// Digits of a fixed sequence, so that compression does not hide the size.
	var id strings.Builder
	for i, x := 0, uint32(1); i < f.size; i++ {
		x = x*1664525 + 1013904223
		id.WriteByte(byte(' ' + x>>26))
	}
	return &directorypb.FetchResponse{Revision: 1, Deleted: []*directorypb.Deleted{{Id: id.String()}}}, nil
}

// Guards against directories whose transfer operators cannot see: both directions are counted
// for the balancer that was called.
func TestFetchedBytesAreCounted(t *testing.T) {
	const size = 5000
	mux := http.NewServeMux()
	mux.Handle(directorypbconnect.NewDirectoryServiceHandler(fixedDirectory{size: size}, connect.WithCompressMinBytes(1<<20)))
	server := httptest.NewServer(mux)
	defer server.Close()
	peer := netip.MustParseAddrPort(server.Listener.Addr().String())
	var counted atomic.Int64
	client := NewClient(func(from netip.Addr, bytes int) {
		must.EqOp(t, peer.Addr(), from)
		counted.Add(int64(bytes))
	})
	_, err := client.Fetch(context.Background(), peer, directory.Request{})
	must.NoError(t, err)
	must.Between(t, size, counted.Load(), size+2000)
	t.Logf("request, response and headers beside a content of %d bytes: %d", size, counted.Load()-size)
}

type incrementOfOne struct {
	directorypbconnect.UnimplementedDirectoryServiceHandler
}

func (incrementOfOne) Fetch(context.Context, *directorypb.FetchRequest) (*directorypb.FetchResponse, error) {
	return encode(directory.Change{
		Era: 3, Revision: 123456, After: 123455, DesiredKnown: true, RouteHistory: time.Hour, Digest: 1 << 60, Complete: true,
		Endpoints: []directory.Endpoint{{
			ID: "i-0123456789abcdef", Incarnation: 1_767_225_600_000, Sequence: 1000, Service: "orders", Zone: "zone-a",
			Address: netip.MustParseAddrPort("10.200.100.100:8080"), Slots: 3, WarmUpTime: 2 * time.Second, ModRevision: 123456,
		}},
	}, 0), nil
}

// Guards against fetches of a single change that cost much more than the change: most of them
// cross failure domains when endpoints change often.
func TestFetchOfOneChangeIsSmall(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(directorypbconnect.NewDirectoryServiceHandler(incrementOfOne{}))
	server := httptest.NewServer(mux)
	defer server.Close()
	peer := netip.MustParseAddrPort(server.Listener.Addr().String())
	var counted atomic.Int64
	client := NewClient(func(_ netip.Addr, bytes int) { counted.Add(int64(bytes)) })
	for range 2 {
		before := counted.Load()
		_, err := client.Fetch(context.Background(), peer, directory.Request{Position: directory.Position{Era: 3, Revision: 123455}, Version: 99})
		must.NoError(t, err)
		must.Less(t, 800, counted.Load()-before)
		t.Logf("fetch of one endpoint's change: %d bytes", counted.Load()-before)
	}
}
