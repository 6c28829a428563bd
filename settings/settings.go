// Package settings reads and checks the JSON settings of a process as a whole.
package settings

import (
	"encoding/json"
	"net/netip"
	"os"
	"strings"
)

// Role is what a daemon does.
type Role string

const (
	// Balancer forwards datagrams between the fabric and the agents.
	Balancer Role = "balancer"
	// Agent ends the flows of the backend server beside it.
	Agent Role = "agent"
)

// Settings are the settings of one daemon.
type Settings struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	Role Role   `json:"role"`
	Keys []Key  `json:"keys"`
	// ResetKey ends flows that their owner has lost track of: 64 hexadecimal
	// digits, the same on every agent.
	ResetKey  string            `json:"reset_key"`
	TLS       TLS               `json:"tls"`
	Datagram  netip.AddrPort    `json:"datagram"`
	Control   netip.AddrPort    `json:"control"`
	Platform  *Platform         `json:"platform,omitempty"`
	Balancer  *BalancerSettings `json:"balancer,omitempty"`
	Agent     *AgentSettings    `json:"agent,omitempty"`
	LogLevel  string            `json:"log_level,omitempty"`
	Metrics   netip.AddrPort    `json:"metrics,omitzero"`
	TraceFile string            `json:"trace_file,omitempty"`
	TraceOTLP string            `json:"trace_otlp,omitempty"`
	// TraceShare is the share of flows traced, 0 to 1.
	TraceShare float64 `json:"trace_share,omitempty"`
}

// Key is one secret for owner tokens; the first of the list makes new ones.
type Key struct {
	ID     byte   `json:"id"`
	Secret string `json:"secret"`
}

// TLS names the files of the node's identity towards the system's processes.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
}

// Platform says where the configuration service is read.
type Platform struct {
	URL    string `json:"url"`
	Prefix string `json:"prefix"`
}

// BalancerSettings are the balancer's own.
type BalancerSettings struct {
	// Edge is where the fabric's datagrams arrive.
	Edge netip.AddrPort `json:"edge"`
	// Fabric is where datagrams for callers are handed to the fabric.
	Fabric netip.AddrPort `json:"fabric"`
	// Peers are control addresses of balancers asked while the list of VMs
	// is not known.
	Peers []netip.AddrPort `json:"peers,omitempty"`
}

// AgentSettings are the agent's own.
type AgentSettings struct {
	Service  string         `json:"service"`
	Endpoint string         `json:"endpoint"`
	Backend  netip.AddrPort `json:"backend"`
	// Balancers are the control addresses asked first.
	Balancers []netip.AddrPort `json:"balancers"`
	// CallerTLS names the certificate that callers see.
	CallerTLS TLS `json:"caller_tls"`
}

// ReadError reports settings that could not be read as JSON.
type ReadError struct {
	File  string
	Cause error
}

func (e *ReadError) Error() string { return "settings " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Load reads and checks a file. It fails with *ReadError or *CheckError.
func Load(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, &ReadError{File: file, Cause: err}
	}
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.DisallowUnknownFields()
	s := new(Settings)
	if err := decoder.Decode(s); err != nil {
		return nil, &ReadError{File: file, Cause: err}
	}
	if problems := Check(s); len(problems) > 0 {
		return nil, &CheckError{File: file, Problems: problems}
	}
	return s, nil
}
