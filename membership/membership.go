// Package membership tracks the system's own processes. It uses the platform's list
// of VMs, which lags behind, and adds this process until the list contains it.
package membership

import "net/netip"

// Roles of a node as they appear in the platform's list.
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
	// Leaving is true if the node is about to stop as planned.
	Leaving bool
}

// NodeList is the message that brings the platform's list to the control goroutine.
type NodeList struct {
	Nodes []Node
	// Refused are why entries of the list could not be read; the others hold.
	Refused []error
	// Err is why the list could not be read, or nil.
	Err error
}

// State stores the known nodes. It must be used by the control goroutine only.
type State struct {
	self    *Node
	nodes   []Node
	leaving map[string]bool
}

// NewState returns a state without nodes.
func NewState() *State { return &State{} }

// SetSelf sets the node of this process, which the platform may not list yet.
func (s *State) SetSelf(self Node) { s.self = &self }

// SetList replaces the platform's list. A list that could not be read is ignored.
func (s *State) SetList(list NodeList) {
	if list.Err != nil {
		return
	}
	s.nodes = list.Nodes
	s.leaving = make(map[string]bool)
	for _, n := range list.Nodes {
		if n.Leaving {
			s.leaving[n.Name] = true
		}
	}
}

// Nodes returns all nodes of the platform's list.
func (s *State) Nodes() []Node { return s.nodes }

// Balancers returns the listed balancers that are not leaving, and this process if
// SetSelf was called and the platform does not list it.
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

// Leaving reports whether the platform lists the named node as leaving.
func (s *State) Leaving(name string) bool { return s.leaving[name] }

// ParseAddress parses an address of the list; ok is false if it is malformed.
func ParseAddress(text string) (address netip.AddrPort, ok bool) {
	address, err := netip.ParseAddrPort(text)
	return address, err == nil
}
