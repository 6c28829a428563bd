package status

import (
	"slices"
	"time"

	"cactustray/control/meter"
	"cactustray/membership"
	"cactustray/ticket"
)

// InForce is the ticket that a node has in force for one service.
type InForce struct {
	Service string
	Number  ticket.Number
	// Content is the hash of the published document.
	Content uint64
	// Sealed is true if the ticket is accepted: final, no ticket with the same
	// number can replace it.
	Sealed bool
	// Age is the time since the ticket came into force on this node.
	Age time.Duration
	// Conflicts is the number of other contents seen under the same number.
	Conflicts int
	// Refused is the reason if the last published ticket was refused, else empty.
	Refused string
}

// KnownNode is a node that the reporting node knows.
type KnownNode struct {
	Name string
	Role string
	// Control is the address of the node's RPC server.
	Control string
	// Service is the service of an agent.
	Service string
	Leaving bool
}

// Load is the current load of a node.
type Load struct {
	// Flows is the number of callers' open connections.
	Flows int64
	// Requests is the number of requests running on the backend server.
	Requests int64
	// Queued is the number of requests waiting for a slot.
	Queued int64
}

// Cost is the control traffic of a node and the CPU time spent on it.
type Cost struct {
	// BytesPerSecond is the control traffic in both directions.
	BytesPerSecond float64
	// CoreShare is the CPU time spent on control, as a share of one core.
	CoreShare float64
}

// CostOf returns the cost for measured rates.
func CostOf(rates meter.Rates) Cost {
	return Cost{BytesPerSecond: rates.BytesPerSecond, CoreShare: rates.CoreShare}
}

// Report is the state of a node as it reports it.
type Report struct {
	Node    string
	Role    string
	Zone    string
	State   string
	Uptime  time.Duration
	Tickets []InForce
	Load    Load
	Cost    Cost
	Nodes   []KnownNode
}

// ReportRequested is the message that requests a report from the control goroutine.
type ReportRequested struct {
	// Services limits the report; empty means all.
	Services []ticket.ServiceKey
	// OmitNodes leaves the known nodes out of the report.
	OmitNodes bool
	Reply     chan<- Report
}

// TicketsInForce returns the register's tickets in force for the requested services. A
// service without a ticket is listed with number 0 if its published document was
// refused.
func (m ReportRequested) TicketsInForce(now time.Time, register *ticket.Register) []InForce {
	refused := make(map[string]string)
	for _, r := range register.Refusals() {
		refused[r.Service] = r.Cause.Error()
	}
	var list []InForce
	add := func(_ ticket.ServiceKey, e *ticket.Entry) {
		line := inForce(now, e)
		line.Refused = refused[line.Service]
		list = append(list, line)
		delete(refused, line.Service)
	}
	m.each(register, add)
	for service, cause := range refused {
		if len(m.Services) == 0 || slices.Contains(m.Services, ticket.ServiceKeyOf(service)) {
			list = append(list, InForce{Service: service, Refused: cause})
		}
	}
	return list
}

// KnownNodes returns the balancers, and the agents in the register's tickets for the
// requested services.
func (m ReportRequested) KnownNodes(balancers []membership.Node, register *ticket.Register) []KnownNode {
	if m.OmitNodes {
		return nil
	}
	var list []KnownNode
	for _, n := range balancers {
		list = append(list, KnownNode{Name: n.Name, Role: n.Role, Control: n.Control, Leaving: n.Leaving})
	}
	m.each(register, func(_ ticket.ServiceKey, e *ticket.Entry) {
		for _, endpoint := range e.Ticket.Endpoints {
			list = append(list, knownAgent(e.Ticket.Service, endpoint))
		}
	})
	return list
}

// each calls f for each ticket in force for the requested services.
func (m ReportRequested) each(register *ticket.Register, f func(ticket.ServiceKey, *ticket.Entry)) {
	if len(m.Services) == 0 {
		register.Each(f)
		return
	}
	for _, key := range m.Services {
		if entry := register.Entry(key); entry != nil {
			f(key, entry)
		}
	}
}

func inForce(now time.Time, e *ticket.Entry) InForce {
	return InForce{
		Service:   e.Ticket.Service,
		Number:    e.Ticket.Number,
		Content:   e.Content,
		Sealed:    e.Accepted(now),
		Age:       now.Sub(e.Since),
		Conflicts: e.Conflicts(),
	}
}

func knownAgent(service string, e ticket.Endpoint) KnownNode {
	return KnownNode{Name: e.Name, Role: membership.RoleAgent, Control: e.Control.String(), Service: service}
}
