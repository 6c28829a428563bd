package heartbeat

import (
	"context"

	"cactustray/control"
	"cactustray/identity"
	"cactustray/liveness"
	"cactustray/liveness/livenesspb"

	"connectrpc.com/connect"
)

// FactsReceived is the message that brings facts from another balancer to the control
// goroutine.
type FactsReceived struct {
	// Node is the sender's name from its certificate.
	Node   string
	Sender liveness.Fact
	Facts  []liveness.Fact
	Reply  chan<- SpreadAnswer
}

// SpreadAnswer is the answer to FactsReceived.
type SpreadAnswer struct {
	// Self is the answering balancer's fact about itself.
	Self liveness.Fact
	// Sender is the fact that the answering balancer stores about the sender.
	Sender liveness.Fact
}

// Spread handles facts from another balancer. Callers with another role get
// CodePermissionDenied.
func (s *Server) Spread(ctx context.Context, r *livenesspb.SpreadRequest) (*livenesspb.SpreadResponse, error) {
	peer, _ := identity.PeerFrom(ctx)
	if peer.Role != identity.Balancer {
		return nil, connect.NewError(connect.CodePermissionDenied, &RoleError{Role: peer.Role})
	}
	sender := decodeFact(r.Sender)
	answer, err := control.Call(ctx, s.loop, func(reply chan<- SpreadAnswer) control.Message {
		return FactsReceived{Node: peer.Name, Sender: sender, Facts: decodeGroups(r.Groups), Reply: reply}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &livenesspb.SpreadResponse{Self: encodeFact(answer.Self)}
	if answer.Sender != sender {
		response.Believed = encodeFact(answer.Sender)
	}
	return response, nil
}

// Spread sends a batch to the neighbour and returns its answer.
func (c *Client) Spread(ctx context.Context, batch liveness.Batch) (SpreadAnswer, error) {
	response, err := c.remote.Spread(ctx, &livenesspb.SpreadRequest{
		Sender: encodeFact(batch.Self),
		Groups: encodeGroups(batch.Facts),
	})
	if err != nil {
		return SpreadAnswer{}, err
	}
	answer := SpreadAnswer{Self: decodeFact(response.Self), Sender: batch.Self}
	if response.Believed != nil {
		answer.Sender = decodeFact(response.Believed)
	}
	return answer, nil
}

// RoleError is the error for a caller whose role may not send facts.
type RoleError struct{ Role identity.Role }

func (e *RoleError) Error() string { return "facts from a caller with role " + string(e.Role) }
