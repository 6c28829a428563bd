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
type State struct {
	self    *Node
	nodes   []Node
	leaving map[string]bool
}

// NewState returns a state that knows nobody.
func NewState() *State { return &State{} }

// SetSelf names this process, which may not be listed yet.
func (s *State) SetSelf(self Node) { s.self = &self }

// Learn takes the platform's list in; one that could not be read changes
// nothing.
func (s *State) Learn(listed Listed) {
	if listed.Refused != nil {
		return
	}
	s.nodes = listed.Nodes
	s.leaving = make(map[string]bool)
	for _, n := range listed.Nodes {
		if n.Leaving {
			s.leaving[n.Name] = true
		}
	}
}

// Nodes returns all known nodes.
func (s *State) Nodes() []Node { return s.nodes }

// Balancers returns the balancers that are not leaving, this process among
// them.
func (s *State) Balancers() []Node {
	var balancers []Node
	listed := s.self == nil
	for _, n := range s.nodes {
		listed = listed || n.Name == s.self.Name
		if n.Role == RoleBalancer && !n.Leaving {
			balancers = append(balancers, n)
		}
	}
	if !listed {
		balancers = append(balancers, *s.self)
	}
	return balancers
}

// Leaving tells whether the platform lists the named node as leaving.
func (s *State) Leaving(name string) bool { return s.leaving[name] }

// Address parses an address of the list; ok is false when it is none.
func Address(text string) (address netip.AddrPort, ok bool) {
	address, err := netip.ParseAddrPort(text)
	return address, err == nil
}
