// Package exchange is the wire side of the directory slice: a balancer fetches
// the full directory from another one.
package exchange

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"cactustray/control"
	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/directory/directorypb"
	"cactustray/directory/directorypb/directorypbconnect"

	"connectrpc.com/connect"
)

// callTimeout bounds one call. Balancers are milliseconds apart, and after a
// timeout another one is queried.
const callTimeout = 400 * time.Millisecond

// SnapshotRequested requests the full directory from the control goroutine.
type SnapshotRequested struct{ Reply chan<- SnapshotReply }

// SnapshotReply is the reply to SnapshotRequested. Known is false while no
// directory was received.
type SnapshotReply struct {
	directory.Change
	Known bool
}

// NoDirectoryError reports that a balancer has not received a directory yet.
type NoDirectoryError struct{}

func (*NoDirectoryError) Error() string { return "no directory received yet" }

// Server answers requests from other balancers.
type Server struct {
	directorypbconnect.UnimplementedDirectoryServiceHandler
	loop *control.Loop
}

// NewServer returns a server that queries the given control loop.
func NewServer(loop *control.Loop) *Server { return &Server{loop: loop} }

// Handler returns the path and the handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return directorypbconnect.NewDirectoryServiceHandler(s)
}

// Fetch returns the full directory.
func (s *Server) Fetch(ctx context.Context, _ *directorypb.FetchRequest) (*directorypb.FetchResponse, error) {
	snapshot, err := control.Call(ctx, s.loop, func(reply chan<- SnapshotReply) control.Message { return SnapshotRequested{Reply: reply} })
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if !snapshot.Known {
		return nil, connect.NewError(connect.CodeUnavailable, &NoDirectoryError{})
	}
	return encode(snapshot.Change, clock.Now()), nil
}

// Client fetches the directory from other balancers.
type Client struct{ http *http.Client }

// NewClient returns a client. A connection that no longer responds costs one
// call: its timeout closes it.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}}
}

// Fetch returns the full directory of the balancer with the given control
// address. It fails with a *connect.Error.
func (c *Client) Fetch(ctx context.Context, peer netip.AddrPort) (directory.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := directorypbconnect.NewDirectoryServiceClient(c.http, "http://"+peer.String())
	sentAt := clock.Now()
	response, err := client.Fetch(ctx, &directorypb.FetchRequest{})
	if err != nil {
		return directory.Change{}, err
	}
	return decode(response, sentAt), nil
}
