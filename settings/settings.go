// Package settings reads the JSON settings of a daemon and reports all of their
// problems at once.
package settings

import (
	"net/netip"
	"os"

	"cactustray/document"
)

// Role is the role that a daemon runs in.
type Role string

const (
	// Balancer forwards datagrams between the fabric and the agents.
	Balancer Role = "balancer"
	// Agent terminates the flows of the backend server on its machine.
	Agent Role = "agent"
	// PacketBalancer forwards callers' packets to the agents of endpoints that
	// implement the packet protocol themselves.
	PacketBalancer Role = "packet-balancer"
	// PacketAgent forwards packets between the system and its endpoint.
	PacketAgent Role = "packet-agent"
)

// Settings are the settings of one daemon.
type Settings struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	Role Role   `json:"role"`
	Keys []Key  `json:"keys"`
	// ResetKey is the key of QUIC stateless resets, which end flows whose owner no
	// longer has their state: 64 hexadecimal digits, the same on every agent.
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
	// TraceShare is the share of flows that are traced, 0 to 1.
	TraceShare float64 `json:"trace_share,omitempty"`
}

// Key is a secret for owner tokens. New tokens are made with the first key of the
// list.
type Key struct {
	ID     byte   `json:"id"`
	Secret string `json:"secret" secret:""`
}

// TLS has the paths of the files with a certificate, its key and the CA that peers
// are verified with.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
}

// Platform is the address of the platform's configuration service and the prefix of
// the keys to read.
type Platform struct {
	URL    string `json:"url"`
	Prefix string `json:"prefix"`
}

// BalancerSettings are the settings of the role balancer only.
type BalancerSettings struct {
	// Edge is the address where the fabric's datagrams arrive.
	Edge netip.AddrPort `json:"edge"`
	// Fabric is the fabric's address that datagrams to callers are sent to.
	Fabric netip.AddrPort `json:"fabric"`
	// Peers are control addresses of balancers to query until the list of VMs is
	// known.
	Peers []netip.AddrPort `json:"peers,omitempty"`
	// Health is the address of the fabric's HTTP health check, which decides
	// whether the fabric sends datagrams here.
	Health netip.AddrPort `json:"health"`
}

// AgentSettings are the settings of the role agent only.
type AgentSettings struct {
	Service  string         `json:"service"`
	Endpoint string         `json:"endpoint"`
	Backend  netip.AddrPort `json:"backend"`
	// Balancers are the control addresses of the balancers to contact first.
	Balancers []netip.AddrPort `json:"balancers"`
	// CallerTLS has the certificate that is presented to callers.
	CallerTLS TLS `json:"caller_tls"`
	// HedgePercent is the most second copies of requests that the backend server runs, in
	// 100 of its ordinary requests, and the most work for them in 100 of the work for those.
	// 0 means that none are sent or run.
	HedgePercent float64 `json:"hedge_percent,omitempty"`
	// HedgeFreePercent is the share of the slots that must be free for the backend server
	// to run a second copy.
	HedgeFreePercent float64 `json:"hedge_free_percent,omitempty"`
}

// ReadError reports a settings file that could not be read.
type ReadError struct {
	File  string
	Cause error
}

func (e *ReadError) Error() string { return "settings " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Load reads and checks a settings file. It fails with *ReadError, or with
// *CheckError, which lists all problems.
func Load(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, &ReadError{File: file, Cause: err}
	}
	s := new(Settings)
	decoding := document.Decode(raw, s)
	checking := append(Check(s), unreadableFiles(s)...)
	if problems := document.Merge(decoding, checking); len(problems) > 0 {
		return nil, &CheckError{File: file, Problems: problems}
	}
	return s, nil
}

// unreadableFiles returns a problem for each file in the settings that cannot be
// opened.
func unreadableFiles(s *Settings) []document.Problem {
	if s.Packets != nil {
		return nil // packet roles have no certificates
	}
	var c document.Checker
	requireReadable := func(field, file string) {
		if file == "" {
			return // Check reports a missing path
		}
		opened, err := os.Open(file)
		c.Require(err == nil, field, file, "a file that can be read")
		if err == nil {
			_ = opened.Close()
		}
	}
	requireReadable("tls.certificate", s.TLS.Certificate)
	requireReadable("tls.key", s.TLS.Key)
	requireReadable("tls.ca", s.TLS.CA)
	if s.Agent != nil {
		requireReadable("agent.caller_tls.certificate", s.Agent.CallerTLS.Certificate)
		requireReadable("agent.caller_tls.key", s.Agent.CallerTLS.Key)
	}
	return c.Problems
}
