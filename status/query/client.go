package query

import (
	"context"
	"net/http"
	"time"

	"cactustray/status"
	"cactustray/status/statuspb"
	"cactustray/status/statuspb/statuspbconnect"
	"cactustray/ticket"
)

// Query selects what a report contains.
type Query struct {
	// Services limits the report; empty means all.
	Services []string
	// OmitNodes leaves the known nodes out of the report.
	OmitNodes bool
}

// Client queries one node.
type Client struct {
	remote statuspbconnect.StatusServiceClient
}

// NewClient returns a client for the node at a base URL.
func NewClient(client *http.Client, base string) *Client {
	return &Client{remote: statuspbconnect.NewStatusServiceClient(client, base)}
}

// Report requests the node's report.
func (c *Client) Report(ctx context.Context, q Query) (*status.Report, error) {
	response, err := c.remote.Status(ctx, &statuspb.StatusRequest{Services: q.Services, OmitNodes: q.OmitNodes})
	if err != nil {
		return nil, err
	}
	return decode(response), nil
}

// Ticket returns the document of the service's ticket in force on the node, empty if
// there is none.
func (c *Client) Ticket(ctx context.Context, service string) ([]byte, error) {
	response, err := c.remote.Ticket(ctx, &statuspb.TicketRequest{Service: service})
	if err != nil {
		return nil, err
	}
	return response.Document, nil
}

func decode(r *statuspb.StatusResponse) *status.Report {
	report := &status.Report{
		Node:   r.Node,
		Role:   r.Role,
		Zone:   r.Zone,
		State:  r.State,
		Uptime: time.Duration(r.UptimeMillis) * time.Millisecond,
		Load:   status.Load{Flows: r.Flows, Requests: r.Requests, Queued: r.Queued},
		Cost:   status.Cost{BytesPerSecond: r.ControlBytesPerSecond, CoreShare: r.ControlCoreShare},
	}
	for _, t := range r.Tickets {
		report.Tickets = append(report.Tickets, decodeInForce(t))
	}
	for _, n := range r.Nodes {
		known := status.KnownNode{Name: n.Name, Role: n.Role, Control: n.Control, Service: n.Service, Leaving: n.State == stateLeaving}
		report.Nodes = append(report.Nodes, known)
	}
	return report
}

func decodeInForce(t *statuspb.InForce) status.InForce {
	return status.InForce{
		Service:   t.Service,
		Number:    ticket.Number(t.Number),
		Content:   t.Content,
		Sealed:    t.Sealed,
		Age:       time.Duration(t.AgeMillis) * time.Millisecond,
		Conflicts: int(t.Conflicts),
		Refused:   t.Refused,
	}
}
