// Package heartbeat is the wire side of the liveness slice: agents' heartbeats
// to balancers.
package heartbeat

import (
	"context"
	"net/http"

	"cactustray/control"
	"cactustray/liveness"
	"cactustray/liveness/livenesspb"
	"cactustray/liveness/livenesspb/livenesspbconnect"
	"cactustray/membership"
	"cactustray/steering"
	"cactustray/ticket"

	"connectrpc.com/connect"
)

// Heard brings a heartbeat to a balancer's control goroutine.
type Heard struct {
	Fact    liveness.Fact
	Service ticket.ServiceKey
	Ticket  ticket.Number
	Reply   chan<- Answer
}

// Answer is what a balancer tells an agent in return.
type Answer struct {
	// Ticket is the number in force on the balancer for the agent's service.
	Ticket ticket.Number
	// Balancers are live balancers.
	Balancers []membership.Node
}

// Server takes heartbeats.
type Server struct {
	livenesspbconnect.UnimplementedLivenessServiceHandler
	loop *control.Loop
}

// NewServer returns a server that tells the given control loop.
func NewServer(loop *control.Loop) *Server { return &Server{loop: loop} }

// Handler returns the path and the handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return livenesspbconnect.NewLivenessServiceHandler(s)
}

// Heartbeat takes one heartbeat in.
func (s *Server) Heartbeat(ctx context.Context, r *livenesspb.HeartbeatRequest) (*livenesspb.HeartbeatResponse, error) {
	answer, err := control.Ask(ctx, s.loop, func(reply chan<- Answer) control.Message {
		return Heard{
			Fact:    decodeFact(r.Fact),
			Service: ticket.ServiceKey(r.Service),
			Ticket:  ticket.Number(r.Ticket),
			Reply:   reply,
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &livenesspb.HeartbeatResponse{Ticket: uint64(answer.Ticket)}
	for _, n := range answer.Balancers {
		response.Balancers = append(response.Balancers, &livenesspb.Peer{Name: n.Name, Datagram: n.Datagram, Control: n.Control})
	}
	return response, nil
}

// Client sends heartbeats to one balancer.
type Client struct {
	remote livenesspbconnect.LivenessServiceClient
}

// NewClient returns a client of the balancer at a base URL.
func NewClient(client *http.Client, base string) *Client {
	return &Client{remote: livenesspbconnect.NewLivenessServiceClient(client, base)}
}

// Send reports a fact and returns the balancer's answer.
func (c *Client) Send(ctx context.Context, node string, service ticket.ServiceKey, number ticket.Number, fact liveness.Fact) (Answer, error) {
	response, err := c.remote.Heartbeat(ctx, &livenesspb.HeartbeatRequest{
		Node:    node,
		Service: uint64(service),
		Fact:    encodeFact(fact),
		Ticket:  uint64(number),
	})
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{Ticket: ticket.Number(response.Ticket)}
	for _, p := range response.Balancers {
		answer.Balancers = append(answer.Balancers, membership.Node{
			Name:     p.Name,
			Role:     membership.RoleBalancer,
			Datagram: p.Datagram,
			Control:  p.Control,
		})
	}
	return answer, nil
}

func encodeFact(f liveness.Fact) *livenesspb.Fact {
	return &livenesspb.Fact{
		Endpoint:    uint64(f.Endpoint),
		Incarnation: uint32(f.Incarnation),
		Version:     f.Version,
		State:       livenesspb.State(f.State),
		Suspected:   f.Suspected,
	}
}

func decodeFact(f *livenesspb.Fact) liveness.Fact {
	return liveness.Fact{
		Endpoint:    ticket.EndpointKey(f.GetEndpoint()),
		Incarnation: steering.Incarnation(f.GetIncarnation()),
		Version:     f.GetVersion(),
		State:       liveness.State(f.GetState()),
		Suspected:   f.GetSuspected(),
	}
}
