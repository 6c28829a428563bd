// Package handover is the wire side of the admission slice between the agents
// of one service: it asks peers for slots and for what they know of a key.
package handover

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"cactustray/admission"
	"cactustray/admission/admissionpb"
	"cactustray/admission/admissionpb/admissionpbconnect"
	"cactustray/control"
	"cactustray/control/rpc"
	"cactustray/ticket"

	"connectrpc.com/connect"
)

// askTimeout bounds one request for a slot; a peer that hangs is given up.
const slotRequestTimeout = time.Second

// Server answers the agents of the service.
type Server struct {
	admissionpbconnect.UnimplementedHandOverServiceHandler
	loop        *control.Loop
	lastRequest atomic.Uint64
}

// NewServer returns a server that tells the given control loop.
func NewServer(loop *control.Loop) *Server { return &Server{loop: loop} }

// Handler returns the path and the handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return admissionpbconnect.NewHandOverServiceHandler(s)
}

// AskSlot waits until a slot is reserved for the sender.
func (s *Server) AskSlot(ctx context.Context, r *admissionpb.AskSlotRequest) (*admissionpb.AskSlotResponse, error) {
	id := admission.AskID(s.lastRequest.Add(1))
	granted, err := control.Ask(ctx, s.loop, func(reply chan<- admission.Granted) control.Message {
		return admission.SlotAsked{Ask: id, Waited: time.Duration(r.WaitedUs) * time.Microsecond, Reply: reply}
	})
	if err != nil {
		_ = s.loop.Send(context.WithoutCancel(ctx), admission.SlotWithdrawn{Ask: id})
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	if granted.Reservation == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, &NoSlotError{})
	}
	return &admissionpb.AskSlotResponse{Reservation: uint64(granted.Reservation)}, nil
}

// DeclineSlot frees a reservation.
func (s *Server) DeclineSlot(ctx context.Context, r *admissionpb.DeclineSlotRequest) (*admissionpb.DeclineSlotResponse, error) {
	message := admission.ReservationDeclined{Reservation: admission.ReservationID(r.Reservation)}
	if err := s.loop.Send(ctx, message); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &admissionpb.DeclineSlotResponse{}, nil
}

// Recall tells what this agent knows of a key.
func (s *Server) Recall(ctx context.Context, r *admissionpb.RecallRequest) (*admissionpb.RecallResponse, error) {
	status, err := control.Ask(ctx, s.loop, func(reply chan<- admission.KeyStatus) control.Message {
		return admission.Witnessed{Key: admission.Key(r.Key), Reply: reply}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &admissionpb.RecallResponse{Known: status.Known, Fresh: status.Fresh, AgeUs: status.Age.Microseconds()}, nil
}

// NoSlotError reports that a peer gives no slot: it drains.
type NoSlotError struct{}

func (*NoSlotError) Error() string { return "no slot to give" }

// Client asks peers on behalf of the control goroutine.
type Client struct {
	ctx     context.Context
	loop    *control.Loop
	client  *http.Client
	cancels map[ticket.EndpointKey]context.CancelFunc
}

// NewClient returns a client whose calls end with the context.
func NewClient(ctx context.Context, loop *control.Loop, client *http.Client) *Client {
	return &Client{ctx: ctx, loop: loop, client: client, cancels: make(map[ticket.EndpointKey]context.CancelFunc)}
}

// Ask asks a peer for a slot; the answer comes as a message. Only the control
// goroutine calls it.
func (c *Client) Ask(peer ticket.EndpointKey, address netip.AddrPort, waited time.Duration) {
	ctx, cancel := context.WithTimeout(c.ctx, slotRequestTimeout)
	c.cancels[peer] = cancel
	go func() {
		defer cancel()
		c.requestSlot(ctx, peer, address, waited)
	}()
}

// Withdraw tells a peer that no slot is wanted any more. Only the control
// goroutine calls it.
func (c *Client) Withdraw(peer ticket.EndpointKey) {
	if cancel := c.cancels[peer]; cancel != nil {
		cancel()
		delete(c.cancels, peer)
	}
}

func (c *Client) requestSlot(ctx context.Context, peer ticket.EndpointKey, address netip.AddrPort, waited time.Duration) {
	remote := admissionpbconnect.NewHandOverServiceClient(c.client, rpc.Base(address.String()))
	response, err := remote.AskSlot(ctx, &admissionpb.AskSlotRequest{WaitedUs: waited.Microseconds()})
	if err != nil {
		if context.Cause(ctx) != context.Canceled {
			_ = c.loop.Send(c.ctx, admission.AskEnded{Peer: peer, Failed: true})
		}
		return
	}
	used, err := control.Ask(c.ctx, c.loop, func(reply chan<- bool) control.Message {
		return admission.SlotOffered{Peer: peer, Reservation: admission.ReservationID(response.Reservation), Reply: reply}
	})
	if err == nil && !used {
		limited, cancel := context.WithTimeout(c.ctx, rpc.CallTimeout)
		defer cancel()
		_, _ = remote.DeclineSlot(limited, &admissionpb.DeclineSlotRequest{Reservation: response.Reservation})
	}
}

// Recall asks an agent what it knows of a key; an agent that does not answer
// is unreached.
func Recall(ctx context.Context, client *http.Client, address netip.AddrPort, key admission.Key) admission.KeyStatus {
	ctx, cancel := context.WithTimeout(ctx, rpc.CallTimeout)
	defer cancel()
	remote := admissionpbconnect.NewHandOverServiceClient(client, rpc.Base(address.String()))
	response, err := remote.Recall(ctx, &admissionpb.RecallRequest{Key: string(key)})
	if err != nil {
		return admission.KeyStatus{Unreachable: true}
	}
	age := time.Duration(response.AgeUs) * time.Microsecond
	return admission.KeyStatus{Known: response.Known, Age: age, Fresh: response.Fresh}
}
