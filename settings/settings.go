// Package settings reads and checks the JSON settings of a process as a whole.
package settings

import (
	"net/netip"
	"os"

	"cactustray/document"
)

// Role is what a daemon does.
type Role string

const (
	// Balancer forwards datagrams between the fabric and the agents.
	Balancer Role = "balancer"
	// Agent ends the flows of the backend server beside it.
	Agent Role = "agent"
	// PacketBalancer hands callers' packets to the agents of endpoints that
	// speak the packet protocol themselves.
	PacketBalancer Role = "packet-balancer"
	// PacketAgent hands packets between the system and the endpoint beside it.
	PacketAgent Role = "packet-agent"
)

// Settings are the settings of one daemon.
type Settings struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	Role Role   `json:"role"`
	Keys []Key  `json:"keys"`
	// ResetKey ends flows that their owner has lost track of: 64 hexadecimal
	// digits, the same on every agent.
	ResetKey  string            `json:"reset_key" secret:""`
	TLS       TLS               `json:"tls"`
	Datagram  netip.AddrPort    `json:"datagram"`
	Control   netip.AddrPort    `json:"control"`
	Platform  *Platform         `json:"platform,omitempty"`
	Balancer  *BalancerSettings `json:"balancer,omitempty"`
	Agent     *AgentSettings    `json:"agent,omitempty"`
	Packets   *PacketSettings   `json:"packets,omitempty"`
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
	Secret string `json:"secret" secret:""`
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
	// Health is where the fabric asks over HTTP whether to send datagrams.
	Health netip.AddrPort `json:"health"`
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

// ReadError reports settings that could not be read.
type ReadError struct {
	File  string
	Cause error
}

func (e *ReadError) Error() string { return "settings " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Load reads and checks a file. It fails with *ReadError or *CheckError; the
// latter names everything that is wrong.
func Load(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, &ReadError{File: file, Cause: err}
	}
	s := new(Settings)
	decoding := document.Decode(raw, s)
	checking := append(Check(s), missingFiles(s)...)
	if problems := document.Merge(decoding, checking); len(problems) > 0 {
		return nil, &CheckError{File: file, Problems: problems}
	}
	return s, nil
}

// missingFiles reports every named file that cannot be opened.
func missingFiles(s *Settings) []document.Problem {
	if s.Packets != nil {
		return nil // these roles have no identity
	}
	var c document.Checker
	readable := func(field, file string) {
		if file == "" {
			return // the check reports it
		}
		opened, err := os.Open(file)
		c.Require(err == nil, field, file, "a file that can be read")
		if err == nil {
			_ = opened.Close()
		}
	}
	readable("tls.certificate", s.TLS.Certificate)
	readable("tls.key", s.TLS.Key)
	readable("tls.ca", s.TLS.CA)
	if s.Agent != nil {
		readable("agent.caller_tls.certificate", s.Agent.CallerTLS.Certificate)
		readable("agent.caller_tls.key", s.Agent.CallerTLS.Key)
	}
	return c.Problems
}
