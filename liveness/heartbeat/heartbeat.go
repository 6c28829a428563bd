// Package heartbeat implements the RPCs of the liveness slice: agents' heartbeats
// to balancers, and the gossip of facts between balancers.
package heartbeat

import (
	"context"
	"net/http"

	"cactustray/control"
	"cactustray/identity"
	"cactustray/liveness"
	"cactustray/liveness/livenesspb"
	"cactustray/liveness/livenesspb/livenesspbconnect"
	"cactustray/ticket"

	"connectrpc.com/connect"
)

// Report is the content of an agent's heartbeat to a balancer.
type Report struct {
	Fact    liveness.Fact
	Service ticket.ServiceKey
	// Ticket is the number of the ticket that the agent has in force.
	Ticket ticket.Number
	// Paths is the digest of the agent's list of balancers.
	Paths uint64
	// Last is true if the agent reports to another balancer from now on.
	Last bool
}

// ReportReceived is the message that brings a report to a balancer's control goroutine.
type ReportReceived struct {
	Report
	// Node is the agent's name from its certificate.
	Node  string
	Reply chan<- Answer
}

// Answer is a balancer's answer to a heartbeat.
type Answer struct {
	// Ticket is the number of the ticket that the balancer has in force for the
	// agent's service.
	Ticket ticket.Number
	// Content is the hash of that ticket's text.
	Content uint64
	// Believed is the fact that the balancer stores about the agent.
	Believed liveness.Fact
	// Leaving is true if the platform lists the agent's VM as leaving.
	Leaving bool
	// Balancers are the balancers that the agent may use; empty if the agent's list
	// is current or is to be replaced only later.
	Balancers []liveness.BalancerAddresses
}

// Server receives heartbeats and facts.
type Server struct{ loop *control.Loop }

// NewServer returns a server that sends what it receives to the given control loop.
func NewServer(loop *control.Loop) *Server { return &Server{loop: loop} }

// Handler returns the path and the handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return livenesspbconnect.NewLivenessServiceHandler(s)
}

// Heartbeat handles one heartbeat. It fails with CodeUnavailable if the control
// loop does not answer before ctx ends.
func (s *Server) Heartbeat(ctx context.Context, r *livenesspb.HeartbeatRequest) (*livenesspb.HeartbeatResponse, error) {
	peer, _ := identity.PeerFrom(ctx)
	report := decodeReport(r)
	answer, err := control.Call(ctx, s.loop, func(reply chan<- Answer) control.Message {
		return ReportReceived{Report: report, Node: peer.Name, Reply: reply}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &livenesspb.HeartbeatResponse{Ticket: uint64(answer.Ticket), Content: answer.Content, Leaving: answer.Leaving}
	if answer.Believed != report.Fact {
		response.Believed = encodeFact(answer.Believed)
	}
	for _, p := range answer.Balancers {
		response.Balancers = append(response.Balancers, encodePeer(p))
	}
	return response, nil
}

// Client calls one balancer.
type Client struct {
	remote livenesspbconnect.LivenessServiceClient
}

// NewClient returns a client for the balancer at the base URL.
func NewClient(client *http.Client, base string) *Client {
	return &Client{remote: livenesspbconnect.NewLivenessServiceClient(client, base)}
}

// Send sends a report to the balancer and returns its answer. Answer.Balancers omits
// balancers with a malformed address.
func (c *Client) Send(ctx context.Context, report Report) (Answer, error) {
	response, err := c.remote.Heartbeat(ctx, encodeReport(report))
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{
		Ticket:   ticket.Number(response.Ticket),
		Content:  response.Content,
		Believed: report.Fact,
		Leaving:  response.Leaving,
	}
	if response.Believed != nil {
		answer.Believed = decodeFact(response.Believed)
	}
	for _, p := range response.Balancers {
		if peer, ok := decodePeer(p); ok {
			answer.Balancers = append(answer.Balancers, peer)
		}
	}
	return answer, nil
}
