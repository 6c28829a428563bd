// Package membership holds the duty of knowing the system's own processes: the
// platform's lagging list of VMs, and what the processes say themselves.
package membership

import "net/netip"

// Roles of a node as the platform's list writes them.
const (
	RoleBalancer = "balancer"
	RoleAgent    = "agent"
)

// Node is one process of the system.
type Node struct {
	Name     string
	Role     string
	Zone     string
	Datagram string
	Control  string
	// Leaving tells that the node stops soon as planned.
	Leaving bool
}

// Listed brings the platform's list to the control goroutine.
type Listed struct {
	Nodes []Node
	// Refused is why the list could not be read, or nil.
	Refused error
}

// State is what is known of the nodes. The control goroutine owns it.
type State struct{ nodes []Node }

// NewState returns a state that knows nobody.
func NewState() *State { return &State{} }

// Learn takes the platform's list in; one that could not be read changes
// nothing.
func (s *State) Learn(listed Listed) {
	if listed.Refused == nil {
		s.nodes = listed.Nodes
	}
}

// Nodes returns all known nodes.
func (s *State) Nodes() []Node { return s.nodes }

// Balancers returns the balancers that are not leaving.
func (s *State) Balancers() []Node {
	var balancers []Node
	for _, n := range s.nodes {
		if n.Role == RoleBalancer && !n.Leaving {
			balancers = append(balancers, n)
		}
	}
	return balancers
}

// Address parses an address of the list; ok is false when it is none.
func Address(text string) (address netip.AddrPort, ok bool) {
	address, err := netip.ParseAddrPort(text)
	return address, err == nil
}
