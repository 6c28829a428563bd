package exchange

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

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
