// Package query is the RPC service of the status slice: operators' clients request
// reports from nodes with it.
package query

import (
	"context"
	"net/http"

	"cactustray/control"
	"cactustray/status"
	"cactustray/status/statuspb"
	"cactustray/status/statuspb/statuspbconnect"
	"cactustray/ticket"

	"connectrpc.com/connect"
)

const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// Server serves status reports to operators' clients.
type Server struct{ loop *control.Loop }

// NewServer returns a server that gets its reports from the given control loop.
func NewServer(loop *control.Loop) *Server { return &Server{loop: loop} }

// Handler returns the handler and the path to register it under.
func (s *Server) Handler() (string, http.Handler) {
	return statuspbconnect.NewStatusServiceHandler(s)
}

// Status returns the node's report.
func (s *Server) Status(ctx context.Context, r *statuspb.StatusRequest) (*statuspb.StatusResponse, error) {
	services := make([]ticket.ServiceKey, len(r.Services))
	for i, name := range r.Services {
		services[i] = ticket.ServiceKeyOf(name)
	}
	report, err := control.Call(ctx, s.loop, func(reply chan<- status.Report) control.Message {
		return status.ReportRequested{Services: services, OmitNodes: r.OmitNodes, Reply: reply}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return encode(report), nil
}

// Ticket returns the document of the ticket in force for one service, empty if there
// is none.
func (s *Server) Ticket(ctx context.Context, r *statuspb.TicketRequest) (*statuspb.TicketResponse, error) {
	services := []ticket.ServiceKey{ticket.ServiceKeyOf(r.Service)}
	answer, err := control.Call(ctx, s.loop, func(reply chan<- ticket.Response) control.Message {
		return ticket.Query{Request: ticket.Request{Services: services}, Reply: reply}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := new(statuspb.TicketResponse)
	for _, record := range answer.Records {
		response.Document = record.Document
	}
	return response, nil
}

func encode(r status.Report) *statuspb.StatusResponse {
	response := &statuspb.StatusResponse{
		Node:                  r.Node,
		Role:                  r.Role,
		Zone:                  r.Zone,
		State:                 r.State,
		UptimeMillis:          r.Uptime.Milliseconds(),
		Flows:                 r.Load.Flows,
		Requests:              r.Load.Requests,
		Queued:                r.Load.Queued,
		ControlBytesPerSecond: r.Cost.BytesPerSecond,
		ControlCoreShare:      r.Cost.CoreShare,
	}
	for _, t := range r.Tickets {
		response.Tickets = append(response.Tickets, encodeInForce(t))
	}
	for _, n := range r.Nodes {
		response.Nodes = append(response.Nodes, encodeKnown(n))
	}
	return response
}

func encodeInForce(t status.InForce) *statuspb.InForce {
	return &statuspb.InForce{
		Service:   t.Service,
		Number:    uint64(t.Number),
		Content:   t.Content,
		Sealed:    t.Sealed,
		AgeMillis: t.Age.Milliseconds(),
		Conflicts: uint32(t.Conflicts),
		Refused:   t.Refused,
	}
}

func encodeKnown(n status.KnownNode) *statuspb.KnownNode {
	state := stateLive
	if n.Leaving {
		state = stateLeaving
	}
	return &statuspb.KnownNode{Name: n.Name, Role: n.Role, Control: n.Control, State: state, Service: n.Service}
}
