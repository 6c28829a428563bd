// Package exchange is the wire side of the directory slice between balancers:
// one hands the whole to another that asks for it.
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

// callTimeout bounds one call: balancers are milliseconds apart, and another is
// asked after it.
const callTimeout = 400 * time.Millisecond

// Asked asks the control goroutine for the whole directory; ok is false in the
// reply while nothing is known.
type Asked struct{ Reply chan<- Held }

// Held is the answer to Asked.
type Held struct {
	directory.Change
	Known bool
}

// UnknownError reports that a balancer has no directory yet.
type UnknownError struct{}

func (*UnknownError) Error() string { return "no directory received yet" }

// Server answers other balancers.
type Server struct {
	directorypbconnect.UnimplementedDirectoryServiceHandler
	loop *control.Loop
}

// NewServer returns a server that asks the given control loop.
func NewServer(loop *control.Loop) *Server { return &Server{loop: loop} }

// Handler returns the path and the handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return directorypbconnect.NewDirectoryServiceHandler(s)
}

// Fetch returns the whole directory.
func (s *Server) Fetch(ctx context.Context, _ *directorypb.FetchRequest) (*directorypb.FetchResponse, error) {
	held, err := control.Ask(ctx, s.loop, func(reply chan<- Held) control.Message { return Asked{Reply: reply} })
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if !held.Known {
		return nil, connect.NewError(connect.CodeUnavailable, &UnknownError{})
	}
	return encode(held.Change, clock.Now()), nil
}

// Client fetches from other balancers.
type Client struct{ http *http.Client }

// NewClient returns a client. A connection that went silent costs one call: the
// time-out closes it.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}}
}

// Fetch returns the whole directory of the balancer at a control address. It
// fails with a *connect.Error.
func (c *Client) Fetch(ctx context.Context, peer netip.AddrPort) (directory.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := directorypbconnect.NewDirectoryServiceClient(c.http, "http://"+peer.String())
	asked := clock.Now()
	response, err := client.Fetch(ctx, &directorypb.FetchRequest{})
	if err != nil {
		return directory.Change{}, err
	}
	return decode(response, asked), nil
}
