// Package exchange is the wire side of the directory slice: a balancer fetches
// what it lacks of the directory from another one.
package exchange

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"cactustray/control"
	"cactustray/control/clock"
	"cactustray/control/rpc"
	"cactustray/directory"
	"cactustray/directory/directorypb"
	"cactustray/directory/directorypb/directorypbconnect"

	"connectrpc.com/connect"
)

const (
	// callTimeout is how long nothing may arrive of a response, callLimit how long a call
	// may take as a whole. Balancers are milliseconds apart, and after a timeout another
	// one is queried.
	callTimeout = 400 * time.Millisecond
	callLimit   = 10 * time.Second
)

// SnapshotRequested requests what another balancer lacks from the control goroutine.
type SnapshotRequested struct {
	directory.Request
	Reply chan<- SnapshotReply
}

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

// Fetch returns what the sender of the request lacks.
func (s *Server) Fetch(ctx context.Context, r *directorypb.FetchRequest) (*directorypb.FetchResponse, error) {
	request := directory.Request{
		Position: directory.Position{Era: directory.Era(r.GetEra()), Revision: directory.Revision(r.GetKnownRevision())},
		Version:  r.GetKnownVersion(), AllDeparted: r.GetAllDeparted(),
	}
	snapshot, err := control.Call(ctx, s.loop, func(reply chan<- SnapshotReply) control.Message {
		return SnapshotRequested{Request: request, Reply: reply}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if !snapshot.Known {
		return nil, connect.NewError(connect.CodeUnavailable, &NoDirectoryError{})
	}
	return encode(snapshot.Change, clock.Now()), nil
}

// Handler returns the path and the handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return directorypbconnect.NewDirectoryServiceHandler(s)
}

// Client fetches the directory from other balancers.
type Client struct{ http *http.Client }

// NewClient returns a client that calls count with the bytes sent to and received from each
// balancer. A connection that no longer responds costs one call: its timeout closes it.
func NewClient(count CountFunc) *Client {
	transport := &http.Transport{DialContext: dialer(count), MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}
	return &Client{http: &http.Client{Transport: &rpc.ProgressTransport{Base: transport, Timeout: callTimeout, Limit: callLimit}}}
}

// Fetch returns what the sender of a request lacks of the directory of the balancer with
// the given control address. It fails with a *connect.Error.
func (c *Client) Fetch(ctx context.Context, peer netip.AddrPort, r directory.Request) (directory.Change, error) {
	client := directorypbconnect.NewDirectoryServiceClient(c.http, "http://"+peer.String())
	sentAt := clock.Now()
	response, err := client.Fetch(ctx, &directorypb.FetchRequest{
		Era: uint64(r.Era), KnownRevision: uint64(r.Revision), KnownVersion: r.Version, AllDeparted: r.AllDeparted,
	})
	if err != nil {
		return directory.Change{}, err
	}
	return decode(response, sentAt), nil
}
