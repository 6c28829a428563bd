package status

import (
	"slices"
	"time"

	"cactustray/control/meter"
	"cactustray/membership"
	"cactustray/ticket"
)

// InForce is the ticket in force for one service.
type InForce struct {
	Service string
	Number  ticket.Number
	// Content is the hash of the published text.
	Content uint64
	// Sealed tells that the ticket was accepted.
	Sealed bool
	// Age is how long the ticket has been in force here.
	Age time.Duration
	// Conflicts counts other contents seen under the same number.
	Conflicts int
	// Refused is why the last ticket was refused, or empty.
	Refused string
}

// Known is a process that the reporting node knows of.
type Known struct {
	Name    string
	Role    string
	Control string
	// Service is the service of an agent.
	Service string
	Leaving bool
}

// Load is what a node carries at the moment.
type Load struct {
	// Flows is how many callers' connections are open.
	Flows int64
	// Requests is how many requests run on the backend server.
	Requests int64
	// Queued is how many requests wait for a slot.
	Queued int64
}

// Cost is what a node spends on control.
type Cost struct {
	// BytesPerSecond is the control traffic, both ways.
	BytesPerSecond float64
	// CoreShare is the share of one core.
	CoreShare float64
}

// CostOf returns the cost of a node with the given rates.
func CostOf(rates meter.Rates) Cost {
	return Cost{BytesPerSecond: rates.BytesPerSecond, CoreShare: rates.CoreShare}
}

// Report is how a node stands.
type Report struct {
	Node    string
	Role    string
	Zone    string
	State   string
	Uptime  time.Duration
	Tickets []InForce
	Load    Load
	Cost    Cost
	Nodes   []Known
}

// Asked asks the control goroutine for a report.
type Asked struct {
	// Services limits the report; empty means all.
	Services []ticket.ServiceKey
	// OmitNodes leaves the known nodes out.
	OmitNodes bool
	Reply     chan<- Report
}

// InForceOf lists what a register has in force for the services asked for, and
// those whose published document was refused while they have no ticket: their
// number is 0.
func (a Asked) InForceOf(now time.Time, register *ticket.Register) []InForce {
	refused := make(map[string]string)
	for _, r := range register.Refusals() {
		refused[r.Service] = r.Cause.Error()
	}
	var list []InForce
	take := func(_ ticket.ServiceKey, e *ticket.Entry) {
		line := inForce(now, e)
		line.Refused = refused[line.Service]
		list = append(list, line)
		delete(refused, line.Service)
	}
	a.each(register, take)
	for service, cause := range refused {
		if len(a.Services) == 0 || slices.Contains(a.Services, ticket.ServiceKeyOf(service)) {
			list = append(list, InForce{Service: service, Refused: cause})
		}
	}
	return list
}

// KnownOf lists the balancers, and the agents that the register's tickets for
// the services asked for name.
func (a Asked) KnownOf(balancers []membership.Node, register *ticket.Register) []Known {
	if a.OmitNodes {
		return nil
	}
	var list []Known
	for _, n := range balancers {
		list = append(list, Known{Name: n.Name, Role: n.Role, Control: n.Control, Leaving: n.Leaving})
	}
	a.each(register, func(_ ticket.ServiceKey, e *ticket.Entry) {
		for _, endpoint := range e.Ticket.Endpoints {
			list = append(list, knownAgent(e.Ticket.Service, endpoint))
		}
	})
	return list
}

func (a Asked) each(register *ticket.Register, f func(ticket.ServiceKey, *ticket.Entry)) {
	if len(a.Services) == 0 {
		register.Each(f)
		return
	}
	for _, key := range a.Services {
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

func knownAgent(service string, e ticket.Endpoint) Known {
	return Known{Name: e.Name, Role: membership.RoleAgent, Control: e.Control.String(), Service: service}
}
