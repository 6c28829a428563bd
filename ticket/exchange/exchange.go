// Package exchange transfers tickets between the system's processes: it is the
// wire side of the ticket slice.
package exchange

import (
	"context"
	"net/http"

	"cactustray/control"
	"cactustray/ticket"
	"cactustray/ticket/ticketpb"
	"cactustray/ticket/ticketpb/ticketpbconnect"

	"connectrpc.com/connect"
)

// Server answers requests from other processes out of the control goroutine's
// register.
type Server struct{ loop *control.Loop }

// NewServer returns a server that queries the given control loop.
func NewServer(loop *control.Loop) *Server { return &Server{loop: loop} }

// Handler returns the path and the handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return ticketpbconnect.NewTicketServiceHandler(s)
}

// Exchange forwards one request to the control goroutine and returns its
// response. A request with an invalid ticket is refused.
func (s *Server) Exchange(ctx context.Context, r *ticketpb.ExchangeRequest) (*ticketpb.ExchangeResponse, error) {
	request, refused := DecodeRequest(r)
	if len(refused) > 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, refused[0].Cause)
	}
	answer, err := control.Call(ctx, s.loop, func(reply chan<- ticket.Response) control.Message {
		return ticket.Query{Request: request, Reply: reply}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return EncodeResponse(answer), nil
}

// Client sends requests to one other process.
type Client struct {
	remote ticketpbconnect.TicketServiceClient
}

// NewClient returns a client of the process at the given base URL.
func NewClient(client *http.Client, base string) *Client {
	return &Client{remote: ticketpbconnect.NewTicketServiceClient(client, base)}
}

// Exchange sends one request and returns the response and the invalid tickets
// in it.
func (c *Client) Exchange(ctx context.Context, request ticket.Request) (ticket.Response, []ticket.Refused, error) {
	encoded, err := c.remote.Exchange(ctx, EncodeRequest(request))
	if err != nil {
		return ticket.Response{}, nil, err
	}
	response, refused := DecodeResponse(encoded)
	return response, refused, nil
}

// Fetch returns the tickets of the given services that are newer than the
// digests.
func (c *Client) Fetch(ctx context.Context, sender string, digests []ticket.Digest, services []ticket.ServiceKey) (ticket.Update, error) {
	response, refused, err := c.Exchange(ctx, ticket.Request{Sender: sender, Digests: digests, Services: services})
	if err != nil {
		return ticket.Update{}, err
	}
	return ticket.Update{Source: ticket.FromPeer, Records: response.Records, Refused: refused, HigherRanked: response.HigherRanked}, nil
}
