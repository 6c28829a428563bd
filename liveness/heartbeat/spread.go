package heartbeat

import (
	"context"

	"cactustray/control"
	"cactustray/identity"
	"cactustray/liveness"
	"cactustray/liveness/livenesspb"

	"connectrpc.com/connect"
)

// Passed brings the facts of another balancer to the control goroutine.
type Passed struct {
	// Node is the sender's name by its certificate.
	Node   string
	Sender liveness.Fact
	Facts  []liveness.Fact
	Reply  chan<- Beliefs
}

// Beliefs answer Passed.
type Beliefs struct {
	// Self is what the answering balancer says of itself.
	Self liveness.Fact
	// Sender is what it holds of the sender.
	Sender liveness.Fact
}

// Spread takes facts in; only balancers may send them.
func (s *Server) Spread(ctx context.Context, r *livenesspb.SpreadRequest) (*livenesspb.SpreadResponse, error) {
	peer, _ := identity.PeerFrom(ctx)
	if peer.Role != identity.Balancer {
		return nil, connect.NewError(connect.CodePermissionDenied, &RoleError{Role: peer.Role})
	}
	sender := decodeFact(r.Sender)
	beliefs, err := control.Ask(ctx, s.loop, func(reply chan<- Beliefs) control.Message {
		return Passed{Node: peer.Name, Sender: sender, Facts: decodeGroups(r.Groups), Reply: reply}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &livenesspb.SpreadResponse{Self: encodeFact(beliefs.Self)}
	if beliefs.Sender != sender {
		response.Believed = encodeFact(beliefs.Sender)
	}
	return response, nil
}

// Spread passes a batch on and returns what the neighbour believes.
func (c *Client) Spread(ctx context.Context, batch liveness.Batch) (Beliefs, error) {
	response, err := c.remote.Spread(ctx, &livenesspb.SpreadRequest{
		Sender: encodeFact(batch.Self),
		Groups: encodeGroups(batch.Facts),
	})
	if err != nil {
		return Beliefs{}, err
	}
	beliefs := Beliefs{Self: decodeFact(response.Self), Sender: batch.Self}
	if response.Believed != nil {
		beliefs.Sender = decodeFact(response.Believed)
	}
	return beliefs, nil
}

// RoleError reports a caller that may not spread facts.
type RoleError struct{ Role identity.Role }

func (e *RoleError) Error() string { return "facts from a caller with role " + string(e.Role) }
