// Package handover implements the RPCs of the admission slice between the
// agents of one service: requests for slots and queries about idempotency keys.
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

// slotRequestTimeout bounds one request for a slot, so that a peer that hangs
// does not hold it open.
const slotRequestTimeout = time.Second

// Server serves the calls of the service's other agents.
type Server struct {
	admissionpbconnect.UnimplementedHandOverServiceHandler
	loop        *control.Loop
	lastRequest atomic.Uint64
}

// NewServer returns a server that queries the given control loop.
func NewServer(loop *control.Loop) *Server { return &Server{loop: loop} }

// Handler returns the path and the handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return admissionpbconnect.NewHandOverServiceHandler(s)
}

// AskSlot waits until a slot is reserved for the calling agent and returns the
// reservation.
func (s *Server) AskSlot(ctx context.Context, r *admissionpb.AskSlotRequest) (*admissionpb.AskSlotResponse, error) {
	id := admission.SlotRequestID(s.lastRequest.Add(1))
	grant, err := control.Call(ctx, s.loop, func(reply chan<- admission.Grant) control.Message {
		return admission.SlotRequested{SlotRequest: id, Waited: time.Duration(r.WaitedUs) * time.Microsecond, Reply: reply}
	})
	if err != nil {
		_ = s.loop.Send(context.WithoutCancel(ctx), admission.SlotWithdrawn{SlotRequest: id})
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	if grant.Reservation == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, &NoSlotError{})
	}
	return &admissionpb.AskSlotResponse{Reservation: uint64(grant.Reservation)}, nil
}

// DeclineSlot frees a reservation that the calling agent will not use.
func (s *Server) DeclineSlot(ctx context.Context, r *admissionpb.DeclineSlotRequest) (*admissionpb.DeclineSlotResponse, error) {
	message := admission.ReservationDeclined{Reservation: admission.ReservationID(r.Reservation)}
	if err := s.loop.Send(ctx, message); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &admissionpb.DeclineSlotResponse{}, nil
}

// Recall returns what this agent knows about a key and stores a replica of its
// record: the calling agent owns the key.
func (s *Server) Recall(ctx context.Context, r *admissionpb.RecallRequest) (*admissionpb.RecallResponse, error) {
	status, err := control.Call(ctx, s.loop, func(reply chan<- admission.KeyStatus) control.Message {
		query := admission.KeyQuery{Owner: ticket.EndpointKey(r.Owner), ForwardID: admission.ForwardID(r.ForwardId)}
		return admission.ReplicaRequested{Key: admission.Key(r.Key), Query: query, Reply: reply}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if status.Unreachable {
		return nil, connect.NewError(connect.CodeResourceExhausted, &NoRoomError{})
	}
	return &admissionpb.RecallResponse{
		Known: status.Known, Fresh: status.Fresh, AgeUs: status.Age.Microseconds(), Departing: status.Departing,
	}, nil
}

// NoSlotError reports that the called agent reserves no slot because it is
// draining.
type NoSlotError struct{}

func (*NoSlotError) Error() string { return "no slot to give" }

// NoRoomError reports that the called agent has no room for the replica of a key's
// record.
type NoRoomError struct{}

func (*NoRoomError) Error() string { return "no room for the replica" }

// Client requests slots from peers on behalf of the control goroutine.
type Client struct {
	ctx     context.Context
	loop    *control.Loop
	client  *http.Client
	cancels map[ticket.EndpointKey]context.CancelFunc
}

// NewClient returns a client. Its calls end when the context is cancelled.
func NewClient(ctx context.Context, loop *control.Loop, client *http.Client) *Client {
	return &Client{ctx: ctx, loop: loop, client: client, cancels: make(map[ticket.EndpointKey]context.CancelFunc)}
}

// RequestSlot requests a slot from a peer without blocking. The result is sent
// to the control loop as SlotOffered or SlotRequestEnded; a call that Withdraw
// cancels sends none. Only the control goroutine calls it.
func (c *Client) RequestSlot(peer ticket.EndpointKey, address netip.AddrPort, waited time.Duration) {
	ctx, cancel := context.WithTimeout(c.ctx, slotRequestTimeout)
	c.cancels[peer] = cancel
	go func() {
		defer cancel()
		c.requestSlot(ctx, peer, address, waited)
	}()
}

// Withdraw cancels the open slot request to a peer, if there is one. Only the
// control goroutine calls it.
func (c *Client) Withdraw(peer ticket.EndpointKey) {
	if cancel := c.cancels[peer]; cancel != nil {
		cancel()
		delete(c.cancels, peer)
	}
}

func (c *Client) requestSlot(ctx context.Context, peer ticket.EndpointKey, address netip.AddrPort, waited time.Duration) {
	remote := admissionpbconnect.NewHandOverServiceClient(c.client, rpc.BaseURL(address.String()))
	response, err := remote.AskSlot(ctx, &admissionpb.AskSlotRequest{WaitedUs: waited.Microseconds()})
	if err != nil {
		if context.Cause(ctx) != context.Canceled {
			_ = c.loop.Send(c.ctx, admission.SlotRequestEnded{Peer: peer, Failed: true})
		}
		return
	}
	used, err := control.Call(c.ctx, c.loop, func(reply chan<- bool) control.Message {
		return admission.SlotOffered{Peer: peer, Reservation: admission.ReservationID(response.Reservation), Reply: reply}
	})
	if err == nil && !used {
		limited, cancel := context.WithTimeout(c.ctx, rpc.CallTimeout)
		defer cancel()
		_, _ = remote.DeclineSlot(limited, &admissionpb.DeclineSlotRequest{Reservation: response.Reservation})
	}
}

// Recall queries an agent about a key, and makes it store a replica of the
// key's record. If the agent does not answer or has no room, the result is Unreachable.
func Recall(ctx context.Context, client *http.Client, address netip.AddrPort, key admission.Key, query admission.KeyQuery) admission.KeyStatus {
	ctx, cancel := context.WithTimeout(ctx, rpc.CallTimeout)
	defer cancel()
	remote := admissionpbconnect.NewHandOverServiceClient(client, rpc.BaseURL(address.String()))
	response, err := remote.Recall(ctx, &admissionpb.RecallRequest{
		Key: string(key), Owner: uint64(query.Owner), ForwardId: uint64(query.ForwardID),
	})
	if err != nil {
		return admission.KeyStatus{Unreachable: true}
	}
	age := time.Duration(response.AgeUs) * time.Microsecond
	return admission.KeyStatus{Known: response.Known, Age: age, Fresh: response.Fresh, Departing: response.Departing}
}
