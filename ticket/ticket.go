// Package ticket holds the duty of knowing which ticket is in force for every
// service: the tickets themselves, their check, and the register that joins
// them. Its decisions are free of encoding on the wire, sockets and clocks.
package ticket

import (
	"fmt"
	"net/netip"
	"strings"

	"cactustray/document"

	"github.com/cespare/xxhash/v2"
)

// Number orders the tickets of one service; operators give it.
type Number uint64

// ServiceKey names a service on the wire: the hash of its name.
type ServiceKey uint64

// EndpointKey names a backend server on the wire: the hash of its service's
// and its own name.
type EndpointKey uint64

// ServiceKeyOf returns the key of the service with the given name.
func ServiceKeyOf(name string) ServiceKey {
	return ServiceKey(xxhash.Sum64String(name))
}

// EndpointKeyOf returns the key of the named backend server of a service.
func EndpointKeyOf(service, endpoint string) EndpointKey {
	return EndpointKey(xxhash.Sum64String(service + "\x00" + endpoint))
}

// Ticket is the whole new state of one service, as operators publish it.
type Ticket struct {
	// Number orders the tickets of the service; it starts at 1.
	Number Number `json:"number"`
	// Service is the service's name.
	Service string `json:"service"`
	// Address is where callers reach the service.
	Address netip.AddrPort `json:"address"`
	// Removed takes the service out of use; the ticket is remembered.
	Removed bool `json:"removed,omitempty"`
	// Endpoints are the service's backend servers.
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	// Limits bound the work each backend server takes.
	Limits Limits `json:"limits"`
	// Feeds are path prefixes whose requests are long flows, not jobs.
	Feeds []string `json:"feeds,omitempty"`
	// Idempotent are path prefixes whose requests may be run more than once
	// whatever their method.
	Idempotent []string `json:"idempotent,omitempty"`
}

// Endpoint is one backend server with the agent beside it.
type Endpoint struct {
	// Name is unique within the service.
	Name string `json:"name"`
	// Zone is the failure domain.
	Zone string `json:"zone"`
	// Datagram is where the agent takes enveloped datagrams.
	Datagram netip.AddrPort `json:"datagram"`
	// Control is where the agent takes calls from the system's processes.
	Control netip.AddrPort `json:"control"`
	// Weight is the share of new flows relative to the other endpoints.
	Weight uint32 `json:"weight"`
	// Draining takes the backend server out of new work.
	Draining bool `json:"draining,omitempty"`
}

// Limits bound the work one backend server takes.
type Limits struct {
	// Slots is how many jobs run at once.
	Slots uint32 `json:"slots"`
	// Connections is how many connections are open at once.
	Connections uint32 `json:"connections"`
	// QueueMillis is the longest a job may wait for a slot, in milliseconds.
	QueueMillis uint32 `json:"queue_ms"`
	// DrainSeconds is how long feeds may go on after draining began.
	DrainSeconds uint32 `json:"drain_s"`
}

// Key returns the service's key.
func (t *Ticket) Key() ServiceKey { return ServiceKeyOf(t.Service) }

// IsFeed tells whether requests for path are long flows.
func (t *Ticket) IsFeed(path string) bool { return hasPrefix(t.Feeds, path) }

// IsIdempotent tells whether the ticket lets requests for path run again.
func (t *Ticket) IsIdempotent(path string) bool { return hasPrefix(t.Idempotent, path) }

func hasPrefix(prefixes []string, path string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// Parse reads and checks a ticket's JSON text. It fails with *CheckError, which
// names everything that is wrong.
func Parse(text []byte) (*Ticket, error) {
	if len(text) > MaxDocumentBytes {
		var c checker
		c.Require(false, "document", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("%d bytes or less", MaxDocumentBytes))
		return nil, &CheckError{Problems: c.Problems}
	}
	t := new(Ticket)
	decoding := document.Decode(text, t)
	if problems := document.Merge(decoding, Check(t)); len(problems) > 0 {
		return nil, &CheckError{Service: t.Service, Problems: problems}
	}
	return t, nil
}
