// Package exchange is the wire side of the ticket slice: it carries tickets
// between the system's processes.
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

// Server answers other processes from the control goroutine's register.
type Server struct{ loop *control.Loop }

// NewServer returns a server that asks the given control loop.
func NewServer(loop *control.Loop) *Server { return &Server{loop: loop} }

// Handler returns the path and the handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return ticketpbconnect.NewTicketServiceHandler(s)
}

// Exchange takes pushed tickets in and answers what is newer here.
func (s *Server) Exchange(ctx context.Context, r *ticketpb.ExchangeRequest) (*ticketpb.ExchangeResponse, error) {
	if len(r.Held) > 0 {
		if err := s.loop.Send(ctx, offered(r.Held)); err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
	}
	answer, err := control.Ask(ctx, s.loop, func(reply chan<- ticket.Comparison) control.Message {
		return ticket.Compared{Digests: decodeDigests(r.Digests), Services: decodeKeys(r.Services), Reply: reply}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &ticketpb.ExchangeResponse{Held: encodeHeld(answer.Newer), Wanted: encodeKeys(answer.Wanted)}, nil
}

// Client asks one other process.
type Client struct {
	remote ticketpbconnect.TicketServiceClient
}

// NewClient returns a client of the process at a base URL.
func NewClient(client *http.Client, base string) *Client {
	return &Client{remote: ticketpbconnect.NewTicketServiceClient(client, base)}
}

// Fetch returns the tickets of the given services that are newer than digests.
func (c *Client) Fetch(ctx context.Context, sender string, digests []ticket.Digest, services []ticket.ServiceKey) (ticket.Offered, error) {
	request := &ticketpb.ExchangeRequest{Sender: sender, Digests: encodeDigests(digests), Services: encodeKeys(services)}
	response, err := c.remote.Exchange(ctx, request)
	if err != nil {
		return ticket.Offered{}, err
	}
	return offered(response.Held), nil
}

func offered(held []*ticketpb.Held) ticket.Offered {
	message := ticket.Offered{Source: ticket.FromPeer}
	for _, h := range held {
		parsed, err := ticket.NewHeld(h.Document, h.Index, h.Sealed)
		if err != nil {
			message.Refused = append(message.Refused, ticket.Refused{Cause: err})
			continue
		}
		message.Held = append(message.Held, parsed)
	}
	return message
}

func encodeHeld(held []ticket.Held) []*ticketpb.Held {
	encoded := make([]*ticketpb.Held, len(held))
	for i, h := range held {
		encoded[i] = &ticketpb.Held{Document: h.Document, Index: h.Index, Sealed: h.Sealed}
	}
	return encoded
}

func encodeDigests(digests []ticket.Digest) []*ticketpb.Digest {
	encoded := make([]*ticketpb.Digest, len(digests))
	for i, d := range digests {
		encoded[i] = &ticketpb.Digest{
			Service: uint64(d.Service),
			Number:  uint64(d.Number),
			Index:   d.Index,
			Sealed:  d.Sealed,
			Content: d.Content,
		}
	}
	return encoded
}

func decodeDigests(encoded []*ticketpb.Digest) []ticket.Digest {
	digests := make([]ticket.Digest, len(encoded))
	for i, d := range encoded {
		digests[i] = ticket.Digest{
			Service: ticket.ServiceKey(d.Service),
			Number:  ticket.Number(d.Number),
			Index:   d.Index,
			Sealed:  d.Sealed,
			Content: d.Content,
		}
	}
	return digests
}

func encodeKeys(keys []ticket.ServiceKey) []uint64 {
	encoded := make([]uint64, len(keys))
	for i, key := range keys {
		encoded[i] = uint64(key)
	}
	return encoded
}

func decodeKeys(encoded []uint64) []ticket.ServiceKey {
	keys := make([]ticket.ServiceKey, len(encoded))
	for i, key := range encoded {
		keys[i] = ticket.ServiceKey(key)
	}
	return keys
}
