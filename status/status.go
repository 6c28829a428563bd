// Package status holds the duty of telling operators how a node stands.
package status

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/membership"
	"cactustray/status/statuspb"
	"cactustray/status/statuspb/statuspbconnect"
	"cactustray/ticket"

	"connectrpc.com/connect"
)

// Asked asks the control goroutine for a report.
type Asked struct{ Reply chan<- Report }

// InForce is the ticket in force for one service.
type InForce struct {
	Service   string
	Number    ticket.Number
	Content   uint64
	Sealed    bool
	Age       time.Duration
	Conflicts int
	// Refused is why the published document is not in force, or empty.
	Refused string
}

// Report is how a node stands.
type Report struct {
	Node    string
	Role    string
	Zone    string
	State   string
	Uptime  time.Duration
	Tickets []InForce
	Flows   int64
	Nodes   []membership.Node
	// Control is what the node spends on control.
	Control meter.Rates
}

// InForceOf lists what a register has in force, and services whose published
// document was refused while they have no ticket: their number is 0.
func InForceOf(now time.Time, register *ticket.Register) []InForce {
	refused := make(map[string]string)
	for _, r := range register.Refusals() {
		refused[r.Service] = r.Cause.Error()
	}
	var list []InForce
	register.Each(func(_ ticket.ServiceKey, e *ticket.Entry) {
		list = append(list, InForce{
			Service:   e.Ticket.Service,
			Number:    e.Ticket.Number,
			Content:   e.Content,
			Sealed:    e.Accepted(now),
			Age:       now.Sub(e.Since),
			Conflicts: e.Conflicts(),
			Refused:   refused[e.Ticket.Service],
		})
		delete(refused, e.Ticket.Service)
	})
	for service, cause := range refused {
		list = append(list, InForce{Service: service, Refused: cause})
	}
	slices.SortFunc(list, func(a, b InForce) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// Server answers operators.
type Server struct{ loop *control.Loop }

// NewServer returns a server that asks the given control loop.
func NewServer(loop *control.Loop) *Server { return &Server{loop: loop} }

// Handler returns the path and the handler to mount.
func (s *Server) Handler() (string, http.Handler) {
	return statuspbconnect.NewStatusServiceHandler(s)
}

// Status reports how the node stands.
func (s *Server) Status(ctx context.Context, _ *statuspb.StatusRequest) (*statuspb.StatusResponse, error) {
	report, err := control.Ask(ctx, s.loop, func(reply chan<- Report) control.Message { return Asked{Reply: reply} })
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return encode(report), nil
}

func encode(r Report) *statuspb.StatusResponse {
	response := &statuspb.StatusResponse{
		Node:         r.Node,
		Role:         r.Role,
		Zone:         r.Zone,
		State:        r.State,
		UptimeMillis: r.Uptime.Milliseconds(),
		Flows:        r.Flows,

		ControlBytesPerSecond: r.Control.BytesPerSecond,
		ControlCoreShare:      r.Control.CoreShare,
	}
	for _, t := range r.Tickets {
		response.Tickets = append(response.Tickets, &statuspb.InForce{
			Service:   t.Service,
			Number:    uint64(t.Number),
			Content:   t.Content,
			Sealed:    t.Sealed,
			AgeMillis: t.Age.Milliseconds(),
			Conflicts: uint32(t.Conflicts),
			Refused:   t.Refused,
		})
	}
	for _, n := range r.Nodes {
		response.Nodes = append(response.Nodes, &statuspb.KnownNode{Name: n.Name, Role: n.Role, Control: n.Control, State: stateOf(n)})
	}
	return response
}

func stateOf(n membership.Node) string {
	if n.Leaving {
		return "leaving"
	}
	return "live"
}
